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

import dataclasses
from collections.abc import Iterable
from collections.abc import Mapping

from burdockfront import errors
from burdockfront_client import connection as connection_lib
from burdockfront_client import pool as pool_lib

IDLE_S = 5.0
FRESH_S = 2.0
_CONNECT_S = 0.5
# What a connection writes by itself.
_FRAMING = frozenset(["host", "content-length", "transfer-encoding"])


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


class Peers:
    """Keeps one set of connections per peer address.

    Args:
        source_ip: Own IP number that connections come from; None lets the
            system choose.
    """

    def __init__(self, source_ip: str | None = None) -> None:
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
        pairs = headers.items() if isinstance(headers, Mapping) else headers
        request = connection_lib.encode_request(
            method,
            target,
            address,
            [pair for pair in pairs if pair[0].lower() not in _FRAMING],
            body,
        )
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = pool_lib.Pool(address, self._reuse)
        try:
            answer = await pool.exchange(
                request, _any_answer, limit_bytes, fresh, timeout_s
            )
        except connection_lib.NotSentError as error:
            raise UnreachableError(
                f"{error} Check that the process runs: 'show members'."
            ) from None
        except connection_lib.AnswerTooLargeError:
            raise AnswerTooLargeError(
                f"expected an answer of at most {limit_bytes} bytes, got "
                f"more; raise body_limit_bytes in the policy of the service."
            ) from None
        except connection_lib.AnswerLateError:
            self.retire(address)
            raise LostAnswerError(
                f"{address} gave no whole answer within {timeout_s:.3f} s; "
                f"its connections were retired. See 'timeline kind call'."
            ) from None
        except connection_lib.AnswerLostError as error:
            raise LostAnswerError(
                f"{address}: {error} See 'timeline kind call'."
            ) from None
        return Reply(answer.status, list(answer.headers), answer.body)

    def retire(self, address: str) -> None:
        """Uses no connection to this peer again that is open now."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.retire()
            self.retired += 1

    async def close(self) -> None:
        """Closes everything that is idle, and the rest when it ends."""
        for pool in self._pools.values():
            pool.retire()
        self._pools.clear()


def _any_answer(answer: connection_lib.RawAnswer) -> bool:
    """Takes what comes: peers and the store do not repeat an id.

    A late answer can't be taken for the next one: after a timeout its
    connection is closed.
    """
    return True
