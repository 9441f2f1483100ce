"""JSON client for the internal ports of peers, with traffic counters."""

import collections
from typing import Any

import orjson

from burdockfront import errors
from burdockfront_client import peers as peers_lib
from burdockfront_node.internal import compression

_LIMIT_BYTES = 4_000_000


class PeerLink:
    """Sends requests to peers.

    All counters start at zero with the process.

    Attributes:
        messages: Number of requests sent.
        sent_bytes: Size of the request bodies.
        received_bytes: Size of the answers' bodies.
        transferred: Size of the bodies in both directions, by the last segment
            of the path and `near` or `far`, e.g. `probe.far`.
        far_addresses: Addresses of the peers in other data centres.

    Args:
        headers: Headers that authenticate this node; updated in place when
            the keys change.
        source_ip: Local IP address to connect from; None to let the system
            choose.
    """

    def __init__(self, headers: dict[str, str], source_ip: str | None):
        self._headers = headers
        self._peers = peers_lib.Peers(source_ip)
        self.messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.transferred: collections.Counter[str] = collections.Counter()
        self.far_addresses: frozenset[str] = frozenset()

    async def ask(
        self,
        address: str,
        path: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        """Sends a message and returns the answer.

        Raises:
            DispatchError: The peer did not answer, answered with another
                status than 200, or with a body that is not JSON.
        """
        body, encoding = compression.pack(orjson.dumps(message))
        headers = {**self._headers, "Accept-Encoding": compression.ENCODING}
        if encoding:
            headers["Content-Encoding"] = encoding
        self.messages += 1
        self.sent_bytes += len(body)
        reply = await self._peers.request(
            address, "POST", path, headers, body, timeout_s, _LIMIT_BYTES
        )
        self.received_bytes += len(reply.body)
        kind = path.rpartition("/")[2]
        distance = "far" if address in self.far_addresses else "near"
        self.transferred[f"{kind}.{distance}"] += len(body) + len(reply.body)
        if reply.status != 200:
            raise errors.DispatchError(
                f"{address} answered {reply.status} to {path}; check that "
                f"both nodes share the same peer_keys."
            )
        try:
            body = compression.unpack(
                reply.body,
                reply.header("content-encoding") or "",
                _LIMIT_BYTES,
            )
            data: dict[str, Any] = orjson.loads(body)
        except (errors.InvalidInputError, orjson.JSONDecodeError) as error:
            raise errors.DispatchError(
                f"{address} answered {path} with a body that is not JSON "
                f"({error}); "
                f"check that the address is a node's internal port."
            ) from None
        return data

    @property
    def transferred_bytes(self) -> int:
        """Size of all bodies in both directions since the start."""
        return self.sent_bytes + self.received_bytes

    async def close(self) -> None:
        """Closes all connections to peers."""
        await self._peers.close()
