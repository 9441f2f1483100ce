"""The one way to the platform's store: sends a question, backs off, counts.

What a question says is up to whoever asks: `platform` speaks the product's own
interface, `store` that of a place with routes.
"""

import collections
import dataclasses
import time
from collections.abc import Callable
from collections.abc import Set
from typing import Any

import orjson

from burdockfront import errors
from burdockfront import platform_budget
from burdockfront_client import peers as peers_lib

_LIMIT_BYTES = 4_000_000
_OK = 200

EraReader = Callable[[peers_lib.Reply], int | None]


def _no_era(reply: peers_lib.Reply) -> int | None:
    return None


def _do_nothing() -> None:
    pass


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRequest:
    """A call as it goes on the wire."""

    method: str
    target: str
    body: dict[str, Any] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReply:
    """An answer that the asking side knows what to do with."""

    status: int
    data: dict[str, Any]


class StoreLink:
    """Connections to the store.

    Args:
        address: `ip:port`.
        backoff: When to ask again after failures.
        fresh: Use no connection that was idle for a while.
        read_era: Reads from an answer how often the store has come back from
            an older copy of itself; None where it does not say.

    Attributes:
        era: The highest that was read; None before the first.
        on_new_era: Called when it rises: what was written lately is gone, and
            revisions and leases are given out again.
    """

    def __init__(
        self,
        address: str,
        backoff: platform_budget.Backoff,
        fresh: bool = False,
        read_era: EraReader = _no_era,
    ):
        self._address = address
        self._read_era = read_era
        self.era: int | None = None
        self.on_new_era: Callable[[], None] = _do_nothing
        self._fresh = fresh
        self._peers = peers_lib.Peers()
        self.backoff = backoff
        self.calls = 0
        # By the first word of the path.
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.failures = 0

    async def ask(
        self,
        question: StoreRequest,
        timeout_s: float,
        refusals: Set[int] = frozenset(),
    ) -> StoreReply:
        """Asks, and takes an answer of status 200 or a known refusal.

        Raises:
            PlatformUnavailableError: No answer that makes sense; what was
                asked for may have taken effect, or may do so later.
        """
        body = b"" if question.body is None else orjson.dumps(question.body)
        self.calls += 1
        self.calls_by_kind[_kind_of(question)] += 1
        try:
            reply = await self._peers.request(
                self._address,
                question.method,
                question.target,
                {"Content-Type": "application/json"},
                body,
                timeout_s,
                _LIMIT_BYTES,
                fresh=self._fresh,
            )
        except errors.DispatchError as error:
            raise self.failed(str(error)) from None
        self._note_era(reply)
        if reply.status in refusals:
            self.backoff.succeeded()
            return StoreReply(reply.status, _details_of(reply.body))
        if reply.status != _OK:
            raise self.failed(f"status {reply.status}")
        try:
            data: dict[str, Any] = orjson.loads(reply.body or b"{}")
        except orjson.JSONDecodeError as error:
            raise self.failed(f"what is no JSON: {error}") from None
        self.backoff.succeeded()
        return StoreReply(reply.status, data)

    def _note_era(self, reply: peers_lib.Reply) -> None:
        era = self._read_era(reply)
        if era is None or (self.era is not None and era <= self.era):
            return
        first = self.era is None
        self.era = era
        if not first:
            self.on_new_era()

    def failed(self, why: str) -> errors.PlatformUnavailableError:
        """Notes a failure, and returns the error that tells of it."""
        self.failures += 1
        self.backoff.failed(time.monotonic())
        # A connection on which one answer was lost gives no other.
        self._peers.retire(self._address)
        return errors.PlatformUnavailableError(
            f"the store at {self._address} did not answer as expected "
            f"({why}); what is in force stays as it is. Nodes ask again by "
            f"themselves; whoever gave a command, try again in seconds."
        )

    async def close(self) -> None:
        """Closes connections."""
        await self._peers.close()


def _kind_of(question: StoreRequest) -> str:
    path = question.target.partition("?")[0]
    return path.strip("/").partition("/")[0]


def _details_of(body: bytes) -> dict[str, Any]:
    """Returns what a refusal says besides its status, if it can be read."""
    try:
        data = orjson.loads(body or b"{}")
    except orjson.JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}
