"""Whether this node still knows that its table of routes is the newest.

Few nodes watch the store for all. Which ones follows from what each node knows
of the others, and for a while each may believe that another one watches. A node
to which nobody has confirmed its table for long does not trust in that, and
asks the store itself.
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

# News of the store passes from node to node with their probes, one a second
# each: it is seldom older than a few seconds, with hundreds of nodes too.
CONFIRMATION_TTL_S = 6.0
_LOOK_S = 1.0
# Where the store answers nobody, nobody is confirmed anything: all nodes
# together ask it twenty times a second then, however many they are.
_ASKS_APART_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Duty:
    """What a node believes of who asks the store.

    Attributes:
        watching: It is to watch the store itself.
        store_away: The store did not answer its last question.
        nodes: How many nodes it knows.
    """

    watching: bool
    store_away: bool
    nodes: int


class RouteFreshness:
    """Keeps the age of this node's knowledge, and notes when it gets old.

    Args:
        book: The table in force.
        recorder: Where events go.
        duty: Returns what this node believes of who asks the store.
        ask: Asks the store whether there is a newer table.
        rng: Source of randomness.
    """

    def __init__(
        self,
        book: routes.RouteResolver,
        recorder: timeline.Recorder,
        duty: Callable[[], Duty],
        ask: Callable[[], Awaitable[None]],
        rng: random.Random,
    ):
        self._ask = ask
        self._rng = rng
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

    def on_claim(self, address: str, claim: freshness.Claim) -> None:
        """Takes what a peer says of its table."""
        if claim.age_s is None or claim.version != self._book.version:
            return
        self.confirm(time.monotonic() - claim.age_s, address)

    async def watch_forever(self) -> None:
        """Asks when nobody has confirmed the table for long."""
        while True:
            left_s = self._left_s()
            if left_s > 0.0:
                await asyncio.sleep(max(_LOOK_S, left_s))
                continue
            if not self._unconfirmed:
                self._unconfirmed = True
                self._record("routes.unconfirmed")
            await self._ask_in_turn()

    async def _ask_in_turn(self) -> None:
        """Asks after a wait, unless somebody confirms the table meanwhile."""
        longest_s = _ASKS_APART_S * self._duty().nodes
        await asyncio.sleep(self._rng.uniform(0.0, longest_s))
        if self._left_s() <= 0.0:
            await self._ask()
        if self._left_s() <= 0.0:
            await asyncio.sleep(_LOOK_S)

    def _left_s(self) -> float:
        """Returns how long the last confirmation is still good for."""
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
