"""Announces to peers that a newer route table has been activated here.

Each node that activates a table announces it to a few peers, which fetch it and
announce it in turn. When many nodes fail at once, most of the chosen peers may
have failed, so each peer that does not answer in time is replaced by another
one. A node that receives no announcement learns of the table from a probe, a
second or more later.

There are two rounds. Peers drawn at random spread an update fastest, but leave
some nodes out; the peers that follow in the order of names leave out no node
that has a live node among the few before it. Traffic between data centres is
paid for by the byte. A node that received no announcement from its own data
centre may be the first one there with the update, and announces it to one
member of each other data centre; all the other nodes of a data centre together
announce it to about one member of each.
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

# Pause between rounds: a node that learns of a newer table fetches it before it
# announces it.
ROUND_INTERVAL_S = 0.3
# How long a push may take before another peer is tried. A round trip between
# regions takes less.
PUSH_WAIT_S = 0.15
# Multiple of the peers to reach in a round. A node that no peer answers stops
# trying.
_MAX_TRIES = 4

Push = Callable[[members_lib.Member], Coroutine[Any, Any, bool]]


class RouteAnnouncer:
    """Announces a table to a few peers, replacing those that do not answer.

    Args:
        membership: Members as this node knows them.
        push: Announces the active table to a member; returns whether the
            member answered.
        fanout: How many peers of the own data centre to reach in a round.
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
        self._announcing: asyncio.Task[None] | None = None
        self._pushes: set[asyncio.Task[bool]] = set()
        self._unanswered: set[str] = set()
        self._has_announced = False

    def announce(self, version: int, first: bool) -> None:
        """Announces a version, and stops announcing the version before it.

        Args:
            version: The version that is active here.
            first: Whether no node of the own data centre announced it to this
                node.
        """
        if self._announcing is not None:
            self._announcing.cancel()
        # Nodes that start together each read their first table from the store.
        # If each announced it to all data centres, a restart of all nodes would
        # be the most expensive event of all.
        first = first and self._has_announced
        self._has_announced = True
        self._announcing = asyncio.create_task(self._announce(version, first))

    async def _announce(self, version: int, first: bool) -> None:
        self._unanswered = set()
        member_count = len(self._membership.members())
        near = self._membership.near_peers(member_count)
        await self._round(near, self._far_data_centers(first))
        await asyncio.sleep(ROUND_INTERVAL_S)
        await self._round(self._successors(), self._far_data_centers(False))
        if self._unanswered:
            self._recorder.record(
                time.time(),
                "routes.told",
                version=version,
                silent=sorted(self._unanswered),
            )

    async def _round(
        self, near: list[members_lib.Member], far_data_centers: list[str]
    ) -> None:
        """Reaches some near peers, and one member of each far data centre."""
        pushes = [self._push_to(near, self._fanout)]
        pushes += [
            self._push_to(self._members_of(name), 1)
            for name in far_data_centers
        ]
        await asyncio.gather(*pushes)

    async def _push_to(
        self, members: Iterable[members_lib.Member], wanted: int
    ) -> None:
        """Pushes to members in order until the wanted number has answered."""
        candidates = itertools.islice(members, wanted * _MAX_TRIES)
        await asyncio.gather(
            *(self._push_to_one(candidates) for _ in range(wanted))
        )

    async def _push_to_one(
        self, candidates: Iterator[members_lib.Member]
    ) -> None:
        for member in candidates:
            if await self._answers_in_time(member):
                return
            self._unanswered.add(member.node_id)

    async def _answers_in_time(self, member: members_lib.Member) -> bool:
        push = asyncio.create_task(self._push(member))
        self._pushes.add(push)
        push.add_done_callback(self._pushes.discard)
        done, _ = await asyncio.wait({push}, timeout=PUSH_WAIT_S)
        return push in done and push.result()

    def _successors(self) -> list[members_lib.Member]:
        """Returns the near peers in the order of names after the own name."""
        own_id = self._membership.local_member.node_id
        near = self._membership.near_peers(len(self._membership.members()))
        return sorted(near, key=lambda m: (m.node_id <= own_id, m.node_id))

    def _far_data_centers(self, first: bool) -> list[str]:
        """Returns the data centres of which to reach one member in a round."""
        far = self._membership.far_peers(len(self._membership.members()))
        names = sorted({member.data_center for member in far})
        if first:
            return names
        share = self._membership.far_fanout() + self._rng.random()
        return self._rng.sample(names, min(len(names), int(share)))

    def _members_of(self, data_center: str) -> list[members_lib.Member]:
        far = self._membership.far_peers(len(self._membership.members()))
        return [m for m in far if m.data_center == data_center]
