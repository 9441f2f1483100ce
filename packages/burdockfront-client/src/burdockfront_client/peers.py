"""HTTP client for other nodes, with limits on silent connections.

The network between two VMs can lose track of a connection: neither data nor an
error arrives any more, while a new connection works immediately. Calls on old
connections then time out one after the other, each after its full timeout.
Three rules limit this:

* An idle connection is closed after `IDLE_S`.
* When a call times out, all connections to that peer are retired, and the next
  call opens a new one, which costs about 1 ms.
* A confirmation only uses a connection that has been idle for at most
  `FRESH_S`.
"""

import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from burdockfront import errors
from burdockfront_client import answer_memory
from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages
from burdockfront_client import pool as pool_lib

IDLE_S = 5.0
FRESH_S = 2.0
_CONNECT_S = 0.5
# Headers that the connection generates itself.
_FRAMING = frozenset(["host", "content-length", "transfer-encoding"])


class UnreachableError(errors.DispatchError):
    """No connection could be opened, so the request was not sent."""


class LostAnswerError(errors.DispatchError):
    """The request was sent and may have run, but no complete answer arrived."""


class AnswerTooLargeError(errors.DispatchError):
    """The answer is larger than the policy allows; the request did run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP answer."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first header of this name, or None."""
        lowered = name.lower()
        for key, value in self.headers:
            if key.lower() == lowered:
                return value
        return None


class Peers:
    """Keeps one connection pool per peer address.

    Args:
        source_ip: Local IP address of outgoing connections; None lets the
            system choose.
        memory: See `connection.Connection`.

    Attributes:
        retired: How often the connections to a peer were retired.
    """

    def __init__(
        self,
        source_ip: str | None = None,
        memory: answer_memory.AnswerMemory | None = None,
    ) -> None:
        self._memory = memory
        self._reuse = pool_lib.Reuse(
            idle_unstated_s=IDLE_S,
            fresh_s=FRESH_S,
            connect_s=_CONNECT_S,
            source_ip=source_ip,
        )
        self._pools: dict[str, pool_lib.Pool] = {}
        self.retired = 0

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str] | Iterable[tuple[str, str]],
        body: http_messages.Body,
        timeout_s: float,
        limit_bytes: int,
        fresh: bool = False,
        is_own: Callable[[http_messages.RawAnswer], bool] | None = None,
    ) -> Reply:
        """Sends a request and reads the complete answer.

        Args:
            address: `ip:port`.
            method: HTTP method.
            target: Path and query, already encoded.
            headers: Headers to send.
            body: Body to send.
            timeout_s: Time limit for receiving the complete answer.
            limit_bytes: Maximum size of the answer's body.
            fresh: Whether to avoid connections that may have become silent.
            is_own: Returns whether an answer belongs to this request; by
                default each one does.

        Raises:
            UnreachableError: Nothing was sent.
            LostAnswerError: The request was sent, but no complete answer
                arrived.
            AnswerTooLargeError: The answer's body is larger than `limit_bytes`.
        """
        pairs = headers.items() if isinstance(headers, Mapping) else headers
        request = http_messages.encode_request(
            method,
            target,
            address,
            [pair for pair in pairs if pair[0].lower() not in _FRAMING],
            body,
        )
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = pool_lib.Pool(
                address, self._reuse, memory=self._memory
            )
        try:
            answer = await pool.exchange(
                request, is_own or _any_answer, limit_bytes, fresh, timeout_s
            )
        except connection_lib.NotSentError as error:
            raise UnreachableError(
                f"{error} Check that the process is running: 'show members'."
            ) from None
        except connection_lib.AnswerTooLargeError:
            raise AnswerTooLargeError(
                f"expected an answer of at most {limit_bytes} bytes, got "
                f"more; increase body_limit_bytes in the policy of the service."
            ) from None
        except connection_lib.AnswerLateError:
            self.retire(address)
            raise LostAnswerError(
                f"no complete answer from {address} within {timeout_s:.3f} s; "
                f"its connections were retired. See 'timeline kind call'."
            ) from None
        except connection_lib.AnswerLostError as error:
            raise LostAnswerError(
                f"{address}: {error} See 'timeline kind call'."
            ) from None
        return Reply(answer.status, list(answer.headers), answer.body)

    def retire(self, address: str) -> None:
        """Stops the reuse of all open connections to a peer."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.retire()
            self.retired += 1

    async def close(self) -> None:
        """Closes idle connections now, and each busy one after its answer."""
        for pool in self._pools.values():
            pool.retire()
        self._pools.clear()


def _any_answer(answer: http_messages.RawAnswer) -> bool:
    """Accepts every answer: those of peers and the store carry no request id.

    A late answer can't be mistaken for that to the next request, because the
    connection is closed after a timeout.
    """
    return True
