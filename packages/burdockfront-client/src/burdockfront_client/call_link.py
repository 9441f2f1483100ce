"""Connections on which calls go from node to node.

Calls are nearly all of a node's work, and a general HTTP client was a third of
what each one cost on the asking side: 0.75 ms of processor time a call with it,
0.5 ms with the connections that serve backend servers as well (`connection`),
measured as processor time of the asking node over 4,000 calls.

Something between two VMs can lose track of a connection: nothing arrives any
more, no error comes either, while a new connection works at once. So a call
that times out gives up all idle connections to that peer, and a confirmation
goes only over one that was used a moment ago.
"""

from collections.abc import Callable

from burdockfront_client import connection as connection_lib
from burdockfront_client import peers as peers_lib
from burdockfront_client import pool as pool_lib

# A node that was cut off does not answer, and a call that waits for a
# connection to it can still go to another node. A connection takes one way to
# and fro, at most a tenth of a second between regions; a packet that opens one
# and is lost is sent again only after a second. With 1.0 s in place of 0.5 s a
# fifth more calls failed while a third of the nodes was cut off for 12 s.
_CONNECT_S = 0.25


class CallLink:
    """Keeps connections to the internal ports of other nodes.

    Args:
        source_ip: Own IP number that connections come from; None lets the
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

    async def ask(
        self,
        address: str,
        request: bytes,
        is_own: Callable[[connection_lib.RawAnswer], bool],
        timeout_s: float,
        limit_bytes: int,
        fresh: bool = False,
    ) -> connection_lib.RawAnswer:
        """Sends a call and reads the whole answer.

        Args:
            address: `ip:port`.
            request: The request as it goes on the wire.
            is_own: Tells whether an answer is the one to this request.
            timeout_s: Time until the whole answer must be here.
            limit_bytes: Largest body that is accepted.
            fresh: Avoid connections that may have gone silent.

        Raises:
            UnreachableError: Nothing was sent.
            LostAnswerError: Something was sent, no whole answer came.
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
                f"{error} Check that the process runs: 'show members'."
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
