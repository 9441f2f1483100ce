"""Connection to the platform's store, with backoff and call counts.

The clients define the requests: `platform` those of the product's own service,
`store` those of the key-value store of routed nodes.
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
    """A call on the wire."""

    method: str
    target: str
    body: dict[str, Any] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReply:
    """An answer of status 200, or a refusal that the client handles."""

    status: int
    data: dict[str, Any]


class StoreLink:
    """Connections to the store.

    Args:
        address: `ip:port`.
        backoff: Determines when to retry after failures.
        fresh: Do not reuse connections that were idle for a while.
        read_era: Returns from a reply how often the store was restored from an
            older copy of itself; None if the reply has no era.

    Attributes:
        era: The highest era that was read; None before the first.
        on_new_era: Called when the era rises: the latest writes are lost, and
            the store reuses revisions and lease ids.
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
        # By the first segment of the path.
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.failures = 0

    async def ask(
        self,
        request: StoreRequest,
        timeout_s: float,
        refusals: Set[int] = frozenset(),
    ) -> StoreReply:
        """Sends a request.

        Args:
            request: The request.
            timeout_s: Time within which it must be answered.
            refusals: Statuses besides 200 that are valid answers.

        Raises:
            PlatformUnavailableError: No valid answer; the request may have
                taken effect, or may do so later.
        """
        body = b"" if request.body is None else orjson.dumps(request.body)
        self.calls += 1
        self.calls_by_kind[_kind_of(request)] += 1
        try:
            reply = await self._peers.request(
                self._address,
                request.method,
                request.target,
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
            raise self.failed(f"invalid JSON: {error}") from None
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
        """Records a failure, and returns the error to raise."""
        self.failures += 1
        self.backoff.failed(time.monotonic())
        # A connection on which an answer was lost delivers no further ones.
        self._peers.retire(self._address)
        return errors.PlatformUnavailableError(
            f"the store at {self._address} did not answer as expected "
            f"({why}); the active configuration stays. Nodes retry by "
            f"themselves; after a command, try again in seconds."
        )

    async def close(self) -> None:
        """Closes connections."""
        await self._peers.close()


def _kind_of(request: StoreRequest) -> str:
    path = request.target.partition("?")[0]
    return path.strip("/").partition("/")[0]


def _details_of(body: bytes) -> dict[str, Any]:
    """Returns the body of a refusal, or nothing if it cannot be decoded."""
    try:
        data = orjson.loads(body or b"{}")
    except orjson.JSONDecodeError:
        return {}
    return data if isinstance(data, dict) else {}
