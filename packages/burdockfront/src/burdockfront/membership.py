"""SWIM membership: alive, suspected and dead members, and members that left.

Each node owns its own entry in a versioned table. The version is
(incarnation, revision, rank of status). Only the node itself raises its
incarnation or revision; other nodes may only raise the status within a version
(alive < suspect < dead). Therefore

* an old message can neither revive a member after a newer death nor declare a
  newer incarnation dead;
* a live node that receives its own suspicion refutes it by a new revision,
  which wins on all nodes;
* a node restarted on the same address has a higher incarnation and wins.

Failure detection follows the SWIM paper (Das, Gupta, Motivala 2002): in each
period one member is probed (`probe_order` selects it). If it does not answer, a
few other members probe it indirectly. If none of them reaches it, it is
suspected, and declared dead after a timeout in which it could have refuted the
suspicion. The load per node does not depend on the number of members.
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
    """Timing of failure detection: shorter times cost more probes.

    Attributes:
        period_s: Length of a period; one probe is sent per period.
        suspicion_periods: Suspicion timeout in periods, to be multiplied by
            log10 of the number of members.
        remember_s: Time for which a member that died or left is retained.
    """

    period_s: float = 1.0
    suspicion_periods: float = 3.0
    remember_s: float = 86_400.0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A changed view of a member, for the time line and the router.

    Attributes:
        member: The member as it is now.
        before: Its status before; None if the member was unknown.
    """

    member: members_lib.Member
    before: members_lib.Status | None


class Membership:
    """One node's view of the members.

    Args:
        local_member: The node's own entry, alive.
        timing: Timing of failure detection.
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
        """Number of times this node refuted its own suspicion."""
        return self._refuted

    def members(self) -> list[members_lib.Member]:
        """Returns all members, including retained ones that died or left."""
        return list(self._members.values())

    def get(self, node_id: str) -> members_lib.Member | None:
        """Returns one member."""
        return self._members.get(node_id)

    def usable(self) -> list[members_lib.Member]:
        """Returns the members that are alive or suspected."""
        return [
            m
            for m in self._members.values()
            if m.status
            in (members_lib.Status.ALIVE, members_lib.Status.SUSPECT)
        ]

    def update_local_member(self, now_s: float, **changes: Any) -> Change:
        """Changes fields of this node's own entry under a new revision."""
        self._local = dataclasses.replace(
            self._local, revision=self._local.revision + 1, **changes
        )
        return self._put(self._local, now_s)

    def merge(self, entry: tables.Entry, now_s: float) -> Change | None:
        """Merges an entry received from a peer.

        Returns:
            The change, or None if the entry was not newer than the known one.
            For an entry about this node itself, the refutation.

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
            # Stored although the member is unknown: without the death, a later
            # message from a slow peer with an older "alive" would be accepted
            # and revive the member.
            return self._put(member, now_s)
        if not self._table.merge(entry):
            return None
        return self._put(member, now_s)

    def suspect(self, node_id: str, now_s: float) -> Change | None:
        """Suspects a member that neither probe nor indirect probers reached."""
        member = self._members.get(node_id)
        if member is not None:
            self._probe_order.record_failure(member)
        return self._demote(node_id, members_lib.Status.SUSPECT, now_s)

    def advance(self, now_s: float) -> list[Change]:
        """Declares overdue suspects dead and removes expired members.

        Returns:
            The changes to dead.
        """
        changes = []
        for member in list(self._members.values()):
            age_s = now_s - self._since_s[member.node_id]
            if (
                member.status is members_lib.Status.SUSPECT
                and age_s > self._suspicion_timeout_s()
            ):
                change = self._demote(
                    member.node_id, members_lib.Status.DEAD, now_s
                )
                if change is not None:
                    changes.append(change)
            elif member.ended and age_s > self._timing.remember_s:
                self._remove(member.node_id)
        return changes

    def next_probe(self) -> members_lib.Member | None:
        """Returns the member to probe in this period."""
        local_id = self._local.node_id
        peers = [m for m in self._members.values() if m.node_id != local_id]
        return self._probe_order.next(peers)

    def record_probe_answer(self, member: members_lib.Member) -> None:
        """Records that a member answered a probe."""
        self._probe_order.record_answer(member)

    def indirect_probers(
        self, node_id: str, limit: int
    ) -> list[members_lib.Member]:
        """Returns random members to probe another member indirectly.

        Args:
            node_id: The member to probe.
            limit: Maximum number of members returned.
        """
        peers = self._peers(excluding=node_id)
        return self._rng.sample(peers, min(limit, len(peers)))

    def near_peers(self, limit: int) -> list[members_lib.Member]:
        """Returns random members of this node's data centre."""
        return self._sample(self._near(), limit)

    def far_peers(self, limit: int) -> list[members_lib.Member]:
        """Returns random members of other data centres."""
        return self._sample(self._far(), limit)

    def far_fanout(self) -> float:
        """Returns the mean number of far members that a node pushes changes to.

        With this number, the nodes of this data centre together push a change
        to one member of each other data centre. All data centres do the same,
        so with six data centres each one receives a change five times, and
        probes sync the entries that were missed. When 194 nodes in six data
        centres started together, with push peers drawn from all data centres
        and tables fetched from any node, each node transferred 0.7 MB between
        data centres; with this fanout it is 7 KB.
        """
        data_centers = {member.data_center for member in self._far()}
        return len(data_centers) / (len(self._near()) + 1)

    def longest_running(self, data_center: str) -> list[members_lib.Member]:
        """Returns the alive members of a data centre, oldest first.

        All nodes compute the same order, so tasks that a few nodes do for all
        are assigned without a consensus protocol. A node that restarts has a
        higher incarnation, so it does not take its tasks back.
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
        """Marks this node as having left on purpose."""
        return self.update_local_member(
            now_s, status=members_lib.Status.LEFT, draining=True
        )

    def _suspicion_timeout_s(self) -> float:
        scale = max(1.0, math.log10(max(1, len(self._members))))
        periods = self._timing.suspicion_periods * scale
        return periods * self._timing.period_s

    def _refute(
        self, claimed: members_lib.Member, now_s: float
    ) -> Change | None:
        local = self._local
        if self._local.status is members_lib.Status.LEFT:
            return None
        if claimed.incarnation > local.incarnation:
            # This VM's wall clock was set back since the previous process
            # started. That process's entry would win for ever, so the
            # incarnation is raised above it.
            self._local = dataclasses.replace(
                local, incarnation=claimed.incarnation + 1
            )
            return self.update_local_member(now_s)
        not_newer = claimed.to_entry().version <= local.to_entry().version
        if not_newer or claimed.incarnation < local.incarnation:
            return None
        self._refuted += 1
        self._local = dataclasses.replace(
            local, revision=max(local.revision, claimed.revision)
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

    def _remove(self, node_id: str) -> None:
        del self._members[node_id]
        del self._since_s[node_id]
        self._table.remove(node_id)

    def _sample(
        self, members: list[members_lib.Member], limit: int
    ) -> list[members_lib.Member]:
        return self._rng.sample(members, min(limit, len(members)))

    def _near(self) -> list[members_lib.Member]:
        local_dc = self._local.data_center
        return [m for m in self._peers("") if m.data_center == local_dc]

    def _far(self) -> list[members_lib.Member]:
        local_dc = self._local.data_center
        return [m for m in self._peers("") if m.data_center != local_dc]

    def _peers(self, excluding: str) -> list[members_lib.Member]:
        return [
            m
            for m in self.usable()
            if m.node_id not in (self._local.node_id, excluding)
        ]
