"""Pool of connections to one address.

The most recently used connection is reused first, so that the others exceed
their idle timeout and are closed. The server may close a connection that was
idle for long at any moment. A request sent on it then is lost, and it is
unknown whether it ran. Hence only requests that can be repeated use such a
connection.

A request that failed is not sent again on the connection that carried it. See
`connection.Connection.failed_requests`.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from burdockfront_client import answer_memory
from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages
from burdockfront_client import sockets

# Share of the idle timeout announced by the server after which a connection is
# no longer reused.
_IDLE_SHARE = 0.5
# Idle timeout if the server announces none; below the shortest common one.
_IDLE_UNSTATED_S = 2.0
# Idle timeout for requests that must run at most once. A new connection costs
# about a millisecond, while an unknown outcome costs the confirmation.
_FRESH_S = 0.5
_CONNECT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reuse:
    """Limits on the reuse of connections.

    Attributes:
        idle_unstated_s: Idle timeout if the server announces none.
        fresh_s: Idle timeout for a request whose outcome must not be lost.
        connect_s: Timeout for opening a connection.
        source_ip: Local IP address of outgoing connections; None lets the
            system choose.
    """

    idle_unstated_s: float = _IDLE_UNSTATED_S
    fresh_s: float = _FRESH_S
    connect_s: float = _CONNECT_S
    source_ip: str | None = None


_TO_BACKEND_SERVERS = Reuse()


class Pool:
    """Connections to one address.

    Args:
        address: `ip:port`.
        reuse: Limits on the reuse of connections.
        on_discarded: See `connection.Connection`.
        memory: See `connection.Connection`.

    Attributes:
        opened: Number of connections opened so far.
    """

    def __init__(
        self,
        address: str,
        reuse: Reuse = _TO_BACKEND_SERVERS,
        on_discarded: Callable[[http_messages.RawAnswer | None], None]
        | None = None,
        memory: answer_memory.AnswerMemory | None = None,
    ):
        self._reuse = reuse
        self._memory = memory
        self._on_discarded = on_discarded
        host, _, port = address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._idle: list[connection_lib.Connection] = []
        self._retired = False
        self.opened = 0

    async def exchange(
        self,
        request: http_messages.Encoded,
        is_own: Callable[[http_messages.RawAnswer], bool],
        limit_bytes: int,
        fresh: bool,
        timeout_s: float,
        request_id: str = "",
    ) -> http_messages.RawAnswer:
        """Sends a request on an idle or a new connection.

        Args:
            request: The encoded request.
            is_own: Returns whether an answer belongs to this request.
            limit_bytes: Maximum size of the answer's body.
            fresh: Whether to avoid connections that were idle for long.
            timeout_s: Time limit for connecting and receiving the complete
                answer.
            request_id: The id that `is_own` compares, if repeats of the request
                bear the same one.

        Raises:
            NotSentError: No connection could be opened within the timeout.
            AnswerLateError: The request was sent, but its answer was not
                complete within the timeout.
            AnswerTooLargeError: The answer's body is larger than `limit_bytes`.
            AnswerLostError: The request was sent, but no complete answer
                arrived.
        """
        connection = self._pop_idle(fresh, request_id)
        if connection is None:
            started_s = time.monotonic()
            connection = await self._open(timeout_s)
            timeout_s -= time.monotonic() - started_s
            if timeout_s <= 0.0:
                # The caller no longer waits. As nothing is sent, the request
                # provably does not run.
                self._idle.append(connection)
                raise connection_lib.NotSentError(
                    f"the timeout of a call to {self._host}:{self._port} was "
                    f"over when the connection was open; nothing was sent."
                )
        answer = await connection.exchange(
            request, is_own, limit_bytes, timeout_s, request_id
        )
        if not connection.usable:
            # Otherwise it would count toward the connections that the server
            # accepts until the server closes it.
            connection.close()
            return answer
        if self._retired:
            connection.close()
        else:
            self._idle.append(connection)
        return answer

    def close_idle(self) -> None:
        """Closes all idle connections.

        Needed when another server may have taken over the address.
        """
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def retire(self) -> None:
        """Closes idle connections now, and each busy one after its answer."""
        self._retired = True
        self.close_idle()

    def _pop_idle(
        self, fresh: bool, request_id: str
    ) -> connection_lib.Connection | None:
        """Takes the most recently used connection that suits a request."""
        now_s = asyncio.get_running_loop().time()
        avoided = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if not connection.usable:
                continue
            if request_id in connection.failed_requests:
                avoided.append(connection)
                continue
            idle_s = now_s - connection.idle_since_s
            if fresh:
                max_idle_s = self._reuse.fresh_s
            elif connection.keep_alive_s is None:
                max_idle_s = self._reuse.idle_unstated_s
            else:
                max_idle_s = connection.keep_alive_s * _IDLE_SHARE
            if idle_s <= max_idle_s:
                found = connection
            else:
                connection.close()
        if avoided:
            self._idle.extend(reversed(avoided))
        return found

    async def _open(self, timeout_s: float) -> connection_lib.Connection:
        loop = asyncio.get_running_loop()
        source_ip = self._reuse.source_ip
        try:
            async with asyncio.timeout(min(timeout_s, self._reuse.connect_s)):
                transport, connection = await loop.create_connection(
                    lambda: connection_lib.Connection(
                        self._on_discarded, self._memory
                    ),
                    self._host,
                    self._port,
                    local_addr=(source_ip, 0) if source_ip else None,
                )
        except (OSError, TimeoutError) as error:
            raise connection_lib.NotSentError(
                f"no connection to {self._host}:{self._port} ({error!r}); "
                f"nothing was sent. Check that the server is running."
            ) from None
        sock = transport.get_extra_info("socket")
        sockets.enable_keepalive(sock)
        sockets.limit_unacknowledged(sock)
        self.opened += 1
        connection.idle_since_s = loop.time()
        return connection
