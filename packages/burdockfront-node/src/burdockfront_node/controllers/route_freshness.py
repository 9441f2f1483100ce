"""Whether this node still knows that its table of routes is the newest."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from burdockfront import freshness
from burdockfront import routes
from burdockfront import timeline

# News of the store passes from node to node with their probes, one a second
# each: it is seldom older than a few seconds, with hundreds of nodes too.
UNCONFIRMED_S = 8.0
_LOOK_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """What a node believes of who asks the store.

    Attributes:
        watching: It is to watch the store itself.
        store_away: The store did not answer its last question.
    """

    watching: bool
    store_away: bool


class RouteFreshness:
    """Keeps the age of this node's knowledge, and notes when it gets old.

    Args:
        book: The table in force.
        recorder: Where events go.
        duty: Returns what this node believes of who asks the store.
    """

    def __init__(
        self,
        book: routes.RouteBook,
        recorder: timeline.Recorder,
        duty: Callable[[], Duty],
    ):
        self._book = book
        self._recorder = recorder
        self._duty = duty
        self._freshness = freshness.Freshness()
        # A process begins without knowing anything.
        self._unconfirmed = True

    def claim(self) -> freshness.Claim:
        """Returns what this node says of its table."""
        age_s = self._freshness.age_s(time.monotonic())
        rounded_s = None if age_s is None else round(age_s, 2)
        return freshness.Claim(self._book.version, rounded_s)

    def confirm(self, at_s: float, source: str) -> None:
        """Notes that the table in force was the newest at some time."""
        self._freshness.confirm(at_s, source)
        if self._unconfirmed and self._left_s() > 0.0:
            self._unconfirmed = False
            self._record("routes.confirmed")

    def heard(self, address: str, claim: freshness.Claim) -> None:
        """Takes what a peer says of its table."""
        if claim.age_s is None or claim.version != self._book.version:
            return
        self.confirm(time.monotonic() - claim.age_s, address)

    async def watch_forever(self) -> None:
        """Notes it when nobody has confirmed the table for long."""
        while True:
            left_s = self._left_s()
            if left_s <= 0.0 and not self._unconfirmed:
                self._unconfirmed = True
                self._record("routes.unconfirmed")
            await asyncio.sleep(max(_LOOK_S, left_s))

    def _left_s(self) -> float:
        """Returns how long the last confirmation is still good for."""
        age_s = self._freshness.age_s(time.monotonic())
        return 0.0 if age_s is None else UNCONFIRMED_S - age_s

    def _record(self, kind: str) -> None:
        duty = self._duty()
        claim = self.claim()
        self._recorder.record(
            time.time(),
            kind,
            version=claim.version,
            age_s=claim.age_s,
            source=self._freshness.source,
            watching=duty.watching,
            store_away=duty.store_away,
        )
