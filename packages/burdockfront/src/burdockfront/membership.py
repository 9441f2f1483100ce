"""Who is there: members, their suspicion, death and return.

Each node owns its own entry in a versioned table. The version is
(incarnation, revision, rank of status). Only the node itself raises its
incarnation or revision; others may only raise the status within a version
(alive < suspect < dead). So

* an old message can never bring back a newer death, or kill a newer life;
* a live node that hears of its own suspicion refutes it by a new revision,
  which wins everywhere;
* a node restarted on the same address has a higher incarnation and wins.

Failure detection follows the SWIM papers (Das, Gupta, Motivala 2002): each
period one member is probed (`probe_order` says which); if it does not answer, a
few others are asked to probe it; if nobody reaches it, it is suspected, and
dead after a time in which it could have refuted. The load per node does not
depend on the number of members.
"""

import dataclasses
import math
import random
from typing import Any

from burdockfront import members as members_lib
from burdockfront import probe_order
from burdockfront import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How fast failures are found, and at what price.

    Attributes:
        period_s: One probe per period.
        suspicion_periods: Periods, times log10 of the members, in which a
            suspect may refute.
        remember_s: How long a dead member is remembered.
    """

    period_s: float = 1.0
    suspicion_periods: float = 3.0
    remember_s: float = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of belief, for the time line and the router."""

    member: members_lib.Member
    before: members_lib.Status | None


class Membership:
    """The members as one node knows them.

    Args:
        local_member: The node's own entry, alive.
        timing: Pace of failure detection.
        rng: Source of randomness.
    """

    def __init__(
        self,
        local_member: members_lib.Member,
        timing: Timing,
        rng: random.Random,
    ):
        self._local = local_member
        self._timing = timing
        self._rng = rng
        self._table = tables.Table()
        self._members: dict[str, members_lib.Member] = {}
        self._since_s: dict[str, float] = {}
        self._probe_order = probe_order.ProbeOrder(
            local_member.data_center, probe_order.ProbeRates(), rng
        )
        self._refuted = 0
        self._put(local_member, 0.0)

    @property
    def local_member(self) -> members_lib.Member:
        """The node's own entry."""
        return self._local

    @property
    def table(self) -> tables.Table:
        """The table that is exchanged with peers."""
        return self._table

    @property
    def refuted(self) -> int:
        """How often this node had to refute its own suspicion."""
        return self._refuted

    def members(self) -> list[members_lib.Member]:
        """Returns all remembered members."""
        return list(self._members.values())

    def get(self, node_id: str) -> members_lib.Member | None:
        """Returns one member."""
        return self._members.get(node_id)

    def usable(self) -> list[members_lib.Member]:
        """Returns members that are alive or merely suspected."""
        return [
            m
            for m in self._members.values()
            if m.status
            in (members_lib.Status.ALIVE, members_lib.Status.SUSPECT)
        ]

    def update_local_member(self, now_s: float, **changes: Any) -> Change:
        """Changes this node's own entry under a new revision."""
        self._local = dataclasses.replace(
            self._local, revision=self._local.revision + 1, **changes
        )
        return self._put(self._local, now_s)

    def merge(self, entry: tables.Entry, now_s: float) -> Change | None:
        """Takes an entry from a peer.

        Returns:
            The change of belief, or None when the entry was not news. For an
            entry about this node itself, the refutation.

        Raises:
            InvalidInputError: The entry does not describe a member.
        """
        member = members_lib.member_from_entry(entry)
        if member.node_id == self._local.node_id:
            return self._refute(member, now_s)
        before = self._members.get(member.node_id)
        if before is None and member.status in (
            members_lib.Status.DEAD,
            members_lib.Status.LEFT,
        ):
            # Still kept: a node that forgot a death would take an older
            # "alive" from a slow peer for news and resurrect the member.
            return self._put(member, now_s)
        if not self._table.merge(entry):
            return None
        return self._put(member, now_s)

    def suspect(self, node_id: str, now_s: float) -> Change | None:
        """Notes that nobody reached a member."""
        member = self._members.get(node_id)
        if member is not None:
            self._probe_order.record_failure(member)
        return self._demote(node_id, members_lib.Status.SUSPECT, now_s)

    def advance(self, now_s: float) -> list[Change]:
        """Lets time pass: suspects die, the long dead are forgotten."""
        changes = []
        for member in list(self._members.values()):
            age_s = now_s - self._since_s[member.node_id]
            if (
                member.status is members_lib.Status.SUSPECT
                and age_s > self._patience_s()
            ):
                change = self._demote(
                    member.node_id, members_lib.Status.DEAD, now_s
                )
                if change is not None:
                    changes.append(change)
            elif member.gone and age_s > self._timing.remember_s:
                self._forget(member.node_id)
        return changes

    def next_probe(self) -> members_lib.Member | None:
        """Returns the member to probe in this period."""
        mine = self._local.node_id
        others = [m for m in self._members.values() if m.node_id != mine]
        return self._probe_order.next(others)

    def record_probe_answer(self, member: members_lib.Member) -> None:
        """Notes that a member answered a probe."""
        self._probe_order.record_answer(member)

    def indirect_probers(
        self, node_id: str, most: int
    ) -> list[members_lib.Member]:
        """Returns members who may be asked to probe another one."""
        others = self._others(besides=node_id)
        return self._rng.sample(others, min(most, len(others)))

    def near_peers(self, most: int) -> list[members_lib.Member]:
        """Returns members of the own data centre, drawn at random."""
        return self._draw(self._near(), most)

    def far_peers(self, most: int) -> list[members_lib.Member]:
        """Returns members of other data centres, drawn at random."""
        return self._draw(self._far(), most)

    def far_fanout(self) -> float:
        """Returns how many far members a node tells its news on average.

        So many that the nodes of this data centre together tell one member of
        each other data centre. All data centres do so, so each hears a piece
        of news five times where there are six, and probes repair what is
        missed. With peers drawn from everywhere, and tables from anybody, 194
        nodes that started together in six data centres moved 0.7 MB each
        between them; so it is 7 KB each.
        """
        elsewhere = {member.data_center for member in self._far()}
        return len(elsewhere) / (len(self._near()) + 1)

    def longest_running(self, data_center: str) -> list[members_lib.Member]:
        """Returns the members of a data centre that are believed alive.

        The one that started first comes first. All nodes order them alike, so
        work that a few do for all finds its few without an agreement, and a
        node that restarts does not take its work back.
        """
        found = [
            member
            for member in self._members.values()
            if member.data_center == data_center
            and member.status is members_lib.Status.ALIVE
        ]
        found.sort(key=lambda member: (member.incarnation, member.node_id))
        return found

    def leave(self, now_s: float) -> Change:
        """Marks this node as gone for good, by its own will."""
        return self.update_local_member(
            now_s, status=members_lib.Status.LEFT, draining=True
        )

    def _patience_s(self) -> float:
        scale = max(1.0, math.log10(max(1, len(self._members))))
        periods = self._timing.suspicion_periods * scale
        return periods * self._timing.period_s

    def _refute(self, rumor: members_lib.Member, now_s: float) -> Change | None:
        mine = self._local
        if self._local.status is members_lib.Status.LEFT:
            return None
        if rumor.incarnation > mine.incarnation:
            # Our wall clock stepped back since the last start: the old
            # process's entry would win for ever. Go above it.
            self._local = dataclasses.replace(
                mine, incarnation=rumor.incarnation + 1
            )
            return self.update_local_member(now_s)
        same = rumor.to_entry().version <= mine.to_entry().version
        if same or rumor.incarnation < mine.incarnation:
            return None
        self._refuted += 1
        self._local = dataclasses.replace(
            mine, revision=max(mine.revision, rumor.revision)
        )
        return self.update_local_member(now_s)

    def _demote(
        self, node_id: str, status: members_lib.Status, now_s: float
    ) -> Change | None:
        member = self._members.get(node_id)
        if member is None or node_id == self._local.node_id:
            return None
        if members_lib.RANK[member.status] >= members_lib.RANK[status]:
            return None
        return self._put(dataclasses.replace(member, status=status), now_s)

    def _put(self, member: members_lib.Member, now_s: float) -> Change:
        before = self._members.get(member.node_id)
        self._table.merge(member.to_entry())
        self._members[member.node_id] = member
        if before is None or before.status is not member.status:
            self._since_s[member.node_id] = now_s
        return Change(member, before.status if before else None)

    def _forget(self, node_id: str) -> None:
        del self._members[node_id]
        del self._since_s[node_id]
        self._table.remove(node_id)

    def _draw(
        self, members: list[members_lib.Member], most: int
    ) -> list[members_lib.Member]:
        return self._rng.sample(members, min(most, len(members)))

    def _near(self) -> list[members_lib.Member]:
        mine = self._local.data_center
        return [m for m in self._others("") if m.data_center == mine]

    def _far(self) -> list[members_lib.Member]:
        mine = self._local.data_center
        return [m for m in self._others("") if m.data_center != mine]

    def _others(self, besides: str) -> list[members_lib.Member]:
        return [
            m
            for m in self.usable()
            if m.node_id not in (self._local.node_id, besides)
        ]
