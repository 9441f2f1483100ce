"""Connections to other nodes, and what to do when they go silent.

Something between two VMs can lose track of a connection: nothing arrives any
more, no error comes either, while a new connection works at once. Symptom:
calls on old connections time out one after the other, each after its whole
timeout. Three bounds keep that short:

* an idle connection is closed after `IDLE_S`;
* when a call times out, all old connections to that peer are retired, and
  the next call opens a new one (a new one costs about 1 ms);
* a confirmation never goes over a connection of a peer that has not been
  heard from within `FRESH_S`.
"""

import asyncio
import dataclasses
import socket
import ssl
from collections.abc import Iterable
from collections.abc import Mapping

import aiohttp
import yarl

from burdockfront import errors
from burdockfront_client import sockets

IDLE_S = 5.0
FRESH_S = 2.0
_CONNECT_S = 0.5
_RETIRED_GRACE_S = 30.0


class UnreachableError(errors.DispatchError):
    """No connection could be made: the request was handed to nobody."""


class LostAnswerError(errors.DispatchError):
    """The request was sent, but no whole answer came: it may have run."""


class AnswerTooLargeError(errors.DispatchError):
    """The answer is larger than the policy allows; it did run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A whole HTTP answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first header of this name."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return None


@dataclasses.dataclass(slots=True)
class _Peer:
    session: aiohttp.ClientSession
    heard_at_s: float


class Peers:
    """Keeps one set of connections per peer address.

    Args:
        source_ip: Own IP number that connections come from; None lets the
            system choose.
    """

    def __init__(self, source_ip: str | None = None) -> None:
        self._source_ip = source_ip
        self._peers: dict[str, _Peer] = {}
        self._closing: set[asyncio.Task[None]] = set()
        self.retired = 0

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str] | Iterable[tuple[str, str]],
        body: bytes,
        timeout_s: float,
        limit_bytes: int,
        fresh: bool = False,
    ) -> Reply:
        """Sends a request and reads the whole answer.

        Args:
            address: `ip:port`.
            method: HTTP method.
            target: Path and query, already encoded.
            headers: Headers to send.
            body: Body to send.
            timeout_s: Time until the whole answer must be here.
            limit_bytes: Largest body that is accepted.
            fresh: Avoid connections that may have gone silent.

        Raises:
            UnreachableError: Nothing was sent.
            LostAnswerError: Something was sent, no whole answer came.
            AnswerTooLargeError: The body is larger than `limit_bytes`.
        """
        peer = self._peer(address, fresh)
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        try:
            async with asyncio.timeout(timeout_s):
                async with peer.session.request(
                    method,
                    url,
                    headers=headers,
                    data=body or None,
                    allow_redirects=False,
                ) as response:
                    data = await _read_whole(response, limit_bytes)
                    found = [
                        (k.decode("latin-1"), v.decode("latin-1"))
                        for k, v in response.raw_headers
                    ]
                    status = response.status
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as e:
            raise UnreachableError(
                f"no connection to {address} ({type(e).__name__}); nothing "
                f"was sent. Check that the process runs: 'show members'."
            ) from None
        except TimeoutError:
            self.retire(address)
            raise LostAnswerError(
                f"{address} gave no whole answer within {timeout_s:.3f} s; "
                f"its connections were retired. See 'timeline kind call'."
            ) from None
        except (aiohttp.ClientError, ConnectionError, ssl.SSLError) as e:
            raise LostAnswerError(
                f"the connection to {address} broke before the whole answer "
                f"came ({type(e).__name__}). See 'timeline kind call'."
            ) from None
        peer.heard_at_s = asyncio.get_running_loop().time()
        return Reply(status, found, data)

    def retire(self, address: str) -> None:
        """Uses no connection to this peer again that is open now."""
        peer = self._peers.pop(address, None)
        if peer is None:
            return
        self.retired += 1
        task = asyncio.create_task(_close_later(peer.session))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Closes everything."""
        for task in self._closing:
            task.cancel()
        for peer in self._peers.values():
            await peer.session.close()
        self._peers.clear()

    def _peer(self, address: str, fresh: bool) -> _Peer:
        now_s = asyncio.get_running_loop().time()
        peer = self._peers.get(address)
        if peer is not None and fresh and now_s - peer.heard_at_s > FRESH_S:
            self.retire(address)
            peer = None
        if peer is None:
            peer = _Peer(_new_session(self._source_ip), now_s)
            self._peers[address] = peer
        return peer


def _new_session(source_ip: str | None) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=IDLE_S,
        use_dns_cache=False,
        local_addr=(source_ip, 0) if source_ip else None,
        socket_factory=_new_socket,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_S),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )
    # The library sends GET, PUT and DELETE again by itself when a kept
    # connection breaks. No allowance knows of that retry, each layer would
    # add its own, and a confirmation by PUT could run twice. There is no
    # public switch; test_peers fails if this one stops working.
    session._retry_connection = False
    return session


def _new_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setblocking(False)
    sockets.watch_silence(sock)
    return sock


async def _close_later(session: aiohttp.ClientSession) -> None:
    """Lets calls that are still under way on old connections finish."""
    try:
        await asyncio.sleep(_RETIRED_GRACE_S)
    finally:
        await session.close()


async def _read_whole(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    stated = response.content_length
    if stated is None or stated > limit_bytes:
        return await _read_capped(response, limit_bytes)
    return await response.read()


async def _read_capped(
    response: aiohttp.ClientResponse, limit_bytes: int
) -> bytes:
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit_bytes:
            response.close()
            raise AnswerTooLargeError(
                f"expected an answer of at most {limit_bytes} bytes, got "
                f"more; raise body_limit_bytes in the policy of the service."
            )
        parts.append(part)
    return b"".join(parts)
