"""Tracks whether the route table of this node is known to be the newest.

Few nodes watch the store for all. Each node derives the watchers from its own
view of the members, so for a while each node may assume that another one
watches. A node whose table has not been confirmed for long reads the store
itself instead of relying on the watchers.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import freshness
from burdockfront import routes
from burdockfront import timeline

# How long a confirmation is valid. Confirmations spread by the probes between
# nodes, one a second each, so the latest one is seldom older than a few
# seconds, even with hundreds of nodes.
CONFIRMATION_TTL_S = 6.0
_CHECK_INTERVAL_S = 1.0
# Mean interval between the reads of all unconfirmed nodes together. While the
# store answers no node, no table is confirmed, and all nodes together read the
# store twenty times a second, however many they are.
_READ_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """A node's current view of its part in watching the store.

    Attributes:
        watching: Whether it is one of the watchers.
        store_away: Whether the store did not answer its last request.
        nodes: How many nodes it knows.
    """

    watching: bool
    store_away: bool
    nodes: int


class RouteFreshness:
    """Tracks when the active table was last confirmed to be the newest.

    When the confirmation expires, records an event and reads the store.

    Args:
        resolver: Holds the active table.
        recorder: Where events go.
        duty: Returns this node's current view of its part in watching.
        read: Reads the table from the store.
        rng: Source of randomness.
    """

    def __init__(
        self,
        resolver: routes.RouteResolver,
        recorder: timeline.Recorder,
        duty: Callable[[], Duty],
        read: Callable[[], Awaitable[None]],
        rng: random.Random,
    ):
        self._read = read
        self._rng = rng
        self._resolver = resolver
        self._recorder = recorder
        self._duty = duty
        self._freshness = freshness.Freshness()
        # A process starts without any confirmation.
        self._unconfirmed = True

    def claim(self) -> freshness.Claim:
        """Returns the active version and the age of its last confirmation."""
        age_s = self._freshness.age_s(time.monotonic())
        rounded_s = None if age_s is None else round(age_s, 2)
        return freshness.Claim(self._resolver.version, rounded_s)

    def confirm(self, at_s: float, source: str) -> None:
        """Records that the active table was the newest at a given time."""
        self._freshness.confirm(at_s, source)
        if self._unconfirmed and self._valid_for_s() > 0.0:
            self._unconfirmed = False
            self._record("routes.confirmed")

    def on_claim(self, address: str, claim: freshness.Claim) -> None:
        """Confirms the active table by a peer's claim about its version."""
        if claim.age_s is None or claim.version != self._resolver.version:
            return
        self.confirm(time.monotonic() - claim.age_s, address)

    async def watch_forever(self) -> None:
        """Reads the store whenever the last confirmation has expired."""
        while True:
            valid_for_s = self._valid_for_s()
            if valid_for_s > 0.0:
                await asyncio.sleep(max(_CHECK_INTERVAL_S, valid_for_s))
                continue
            if not self._unconfirmed:
                self._unconfirmed = True
                self._record("routes.unconfirmed")
            await self._read_after_delay()

    async def _read_after_delay(self) -> None:
        """Reads after a random delay unless a confirmation arrives first."""
        max_delay_s = _READ_INTERVAL_S * self._duty().nodes
        await asyncio.sleep(self._rng.uniform(0.0, max_delay_s))
        if self._valid_for_s() <= 0.0:
            await self._read()
        if self._valid_for_s() <= 0.0:
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def _valid_for_s(self) -> float:
        """Returns for how long the last confirmation is still valid."""
        age_s = self._freshness.age_s(time.monotonic())
        return 0.0 if age_s is None else CONFIRMATION_TTL_S - age_s

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
