"""Tells other nodes that a newer table of routes is in force here.

Each node that puts a table in force tells some, who fetch it and tell on. In a
moment in which many nodes are lost, most of those who are told may be gone: so
whoever does not answer soon is made up for by another one. Whom nobody tells
finds out by a probe, a second or more later.

Two rounds: members drawn at random spread news fastest, but leave some out; the
next ones in the order of names leave nobody out to whom one of the few before
it lives. Ways between data centres are paid for by the byte. A node that did
not hear from its own data centre may be the first one there who knows, and
tells a member of each other one; the others together tell about one of each.
"""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

from burdockfront import members as members_lib
from burdockfront import membership as membership_lib
from burdockfront import timeline

# A node that hears of a newer table fetches it before it tells others.
ROUND_INTERVAL_S = 0.3
# A way to and fro between regions takes less.
PUSH_WAIT_S = 0.15
# Of those who are to be told; a node that reaches nobody stops trying.
_MOST_TRIES = 4

Push = Callable[[members_lib.Member], Coroutine[Any, Any, bool]]


class RouteAnnouncer:
    """Tells a few members, and makes up for those who don't answer.

    Args:
        membership: Members as this node knows them.
        push: Sends a message that tells of the table in force; returns
            whether the member answered.
        fanout: How many of the own data centre are told in a round.
        recorder: Where events go.
        rng: Source of randomness.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        push: Push,
        fanout: int,
        recorder: timeline.Recorder,
        rng: random.Random,
    ):
        self._membership = membership
        self._push = push
        self._fanout = fanout
        self._recorder = recorder
        self._rng = rng
        self._telling: asyncio.Task[None] | None = None
        self._pushes: set[asyncio.Task[bool]] = set()
        self._silent: set[str] = set()
        self._has_told = False

    def announce(self, version: int, first: bool) -> None:
        """Tells others at once, and no longer of the version before.

        Args:
            version: In force here.
            first: Nobody of the own data centre told this node.
        """
        if self._telling is not None:
            self._telling.cancel()
        # Of nodes that start together each reads its first table from the
        # store; were each to tell all data centres, a start would cost most.
        first = first and self._has_told
        self._has_told = True
        self._telling = asyncio.create_task(self._announce(version, first))

    async def _announce(self, version: int, first: bool) -> None:
        self._silent = set()
        everybody = len(self._membership.members())
        near = self._membership.near_peers(everybody)
        await self._round(near, self._far_places(first))
        await asyncio.sleep(ROUND_INTERVAL_S)
        await self._round(self._following(), self._far_places(False))
        if self._silent:
            self._recorder.record(
                time.time(),
                "routes.told",
                version=version,
                silent=sorted(self._silent),
            )

    async def _round(
        self, near: list[members_lib.Member], places: list[str]
    ) -> None:
        """Tells some of the own data centre, and one of each other place."""
        told = [self._some_of(near, self._fanout)]
        told += [self._some_of(self._members_of(name), 1) for name in places]
        await asyncio.gather(*told)

    async def _some_of(
        self, members: Iterable[members_lib.Member], enough: int
    ) -> None:
        """Tells members in their order until enough of them have answered."""
        left = itertools.islice(members, enough * _MOST_TRIES)
        await asyncio.gather(*(self._one_of(left) for _ in range(enough)))

    async def _one_of(self, members: Iterator[members_lib.Member]) -> None:
        for member in members:
            if await self._answers_soon(member):
                return
            self._silent.add(member.node_id)

    async def _answers_soon(self, member: members_lib.Member) -> bool:
        push = asyncio.create_task(self._push(member))
        self._pushes.add(push)
        push.add_done_callback(self._pushes.discard)
        done, _ = await asyncio.wait({push}, timeout=PUSH_WAIT_S)
        return push in done and push.result()

    def _following(self) -> list[members_lib.Member]:
        """Returns the own data centre, from the one whose name comes next."""
        mine = self._membership.local_member.node_id
        near = self._membership.near_peers(len(self._membership.members()))
        return sorted(near, key=lambda m: (m.node_id <= mine, m.node_id))

    def _far_places(self, first: bool) -> list[str]:
        """Returns the data centres of which one member is told in a round."""
        far = self._membership.far_peers(len(self._membership.members()))
        names = sorted({member.data_center for member in far})
        if first:
            return names
        share = self._membership.far_fanout() + self._rng.random()
        return self._rng.sample(names, min(len(names), int(share)))

    def _members_of(self, data_center: str) -> list[members_lib.Member]:
        far = self._membership.far_peers(len(self._membership.members()))
        return [m for m in far if m.data_center == data_center]
