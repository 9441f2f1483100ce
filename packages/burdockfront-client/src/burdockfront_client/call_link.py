"""Connections that carry calls between nodes.

Calls are nearly all of a node's work, and a general HTTP client accounted for a
third of their cost on the calling side. The calling node's processor time per
call, over 4,000 calls, was 0.75 ms with that client and is 0.5 ms with the
connections that also serve backend servers (`connection`).

The network between two VMs can lose track of a connection: neither data nor an
error arrives any more, while a new connection works immediately. Hence a call
that times out closes all idle connections to its peer, and a confirmation uses
only a connection that was active a moment ago.
"""

from collections.abc import Callable

from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages
from burdockfront_client import peers as peers_lib
from burdockfront_client import pool as pool_lib

# Connection timeout. A partitioned node does not answer, and a call that waits
# for a connection to it can still be sent to another node. Connecting takes one
# round trip, at most 0.1 s between regions; a lost SYN is retransmitted only
# after 1 s. With 1.0 s instead of 0.5 s, a fifth more calls failed while a
# third of the nodes was partitioned for 12 s.
_CONNECT_S = 0.25


class CallLink:
    """Keeps connections to the internal ports of other nodes.

    Args:
        source_ip: Local IP address of outgoing connections; None lets the
            system choose.
    """

    def __init__(self, source_ip: str | None = None):
        self._reuse = pool_lib.Reuse(
            idle_unstated_s=peers_lib.IDLE_S,
            fresh_s=peers_lib.FRESH_S,
            connect_s=_CONNECT_S,
            source_ip=source_ip,
        )
        self._pools: dict[str, pool_lib.Pool] = {}
        self.retired = 0

    async def request(
        self,
        address: str,
        request: http_messages.Encoded,
        is_own: Callable[[http_messages.RawAnswer], bool],
        timeout_s: float,
        limit_bytes: int,
        fresh: bool = False,
    ) -> http_messages.RawAnswer:
        """Sends a call and reads the complete answer.

        Args:
            address: `ip:port`.
            request: The encoded request.
            is_own: Returns whether an answer belongs to this request.
            timeout_s: Time limit for receiving the complete answer.
            limit_bytes: Maximum size of the answer's body.
            fresh: Whether to avoid connections that may have become silent.

        Raises:
            UnreachableError: Nothing was sent.
            LostAnswerError: The call was sent, but no complete answer arrived.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = pool_lib.Pool(address, self._reuse)
        try:
            return await pool.exchange(
                request, is_own, limit_bytes, fresh, timeout_s
            )
        except connection_lib.NotSentError as error:
            raise peers_lib.UnreachableError(
                f"{error} Check that the process is running: 'show members'."
            ) from None
        except connection_lib.AnswerLateError as error:
            pool.close_idle()
            self.retired += 1
            raise peers_lib.LostAnswerError(
                f"{address}: {error} Its idle connections were closed. See "
                f"'timeline kind call'."
            ) from None
        except connection_lib.AnswerLostError as error:
            raise peers_lib.LostAnswerError(
                f"{address}: {error} See 'timeline kind call'."
            ) from None

    def close(self) -> None:
        """Closes idle connections."""
        for pool in self._pools.values():
            pool.close_idle()
        self._pools.clear()
