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
period one member is probed, in a shuffled round so that each is probed within
one round; if it does not answer, a few others are asked to probe it; if
nobody reaches it, it is suspected, and dead after a time in which it could
have refuted. The load per node does not depend on the number of members.

Dead members are remembered and one of them is probed now and then: two
regions that lost each other find each other again without help.
"""

import dataclasses
import enum
import math
import random
from typing import Any

from burdockfront import errors
from burdockfront import guards
from burdockfront import tables


class Status(enum.StrEnum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


_RANK = {
    Status.ALIVE: 0,
    Status.SUSPECT: 1,
    Status.DEAD: 2,
    Status.LEFT: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node and the backend server beside it.

    Attributes:
        node_id: Name from the settings.
        boot_id: Names the process.
        incarnation: Grows with each start of the node.
        revision: Grows with each change that the node makes to its entry.
        status: What is believed of it.
        address: Where it takes calls of nodes, `ip:port`.
        data_center: Its data centre.
        region: Its region.
        service: Service of its backend server; empty while none announced.
        slots: Slots of its backend server that its guard believes.
        draining: It takes no new work.
    """

    node_id: str
    boot_id: str
    incarnation: int
    revision: int
    status: Status
    address: str
    data_center: str
    region: str
    service: str = ""
    slots: int = 0
    draining: bool = False

    def to_entry(self) -> tables.Entry:
        """Returns the table entry."""
        version = (self.incarnation, self.revision, _RANK[self.status])
        value = {
            "boot": self.boot_id,
            "status": self.status.value,
            "address": self.address,
            "dc": self.data_center,
            "region": self.region,
            "service": self.service,
            "slots": self.slots,
            "draining": self.draining,
        }
        return tables.Entry(self.node_id, version, value)

    def to_target(self) -> guards.Target:
        """Returns what a router needs of this member."""
        return guards.Target(
            node_id=self.node_id,
            boot_id=self.boot_id,
            service=self.service,
            address=self.address,
            data_center=self.data_center,
            slots=self.slots,
            draining=self.draining,
            suspect=self.status is Status.SUSPECT,
        )


def member_from_entry(entry: tables.Entry) -> Member:
    """Reads a member.

    Raises:
        InvalidInputError: The entry does not describe a member.
    """
    value = entry.value
    try:
        incarnation, revision, _ = entry.version
        return Member(
            node_id=entry.key,
            boot_id=value["boot"],
            incarnation=incarnation,
            revision=revision,
            status=Status(value["status"]),
            address=value["address"],
            data_center=value["dc"],
            region=value["region"],
            service=value["service"],
            slots=int(value["slots"]),
            draining=bool(value["draining"]),
        )
    except (KeyError, ValueError, TypeError) as error:
        raise errors.InvalidInputError(
            f"expected a member entry, got one without a valid {error}; all "
            f"nodes must run compatible releases."
        ) from None


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How fast failures are found, and at what price.

    Attributes:
        period_s: One probe per period.
        suspicion_periods: Periods, times log10 of the members, in which a
            suspect may refute.
        remember_s: How long a dead member is remembered.
        dead_probe_every: Every so many periods a dead member is probed.
    """

    period_s: float = 1.0
    suspicion_periods: float = 3.0
    remember_s: float = 86_400.0
    dead_probe_every: int = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of belief, for the time line and the router."""

    member: Member
    before: Status | None


class Membership:
    """The members as one node knows them.

    Args:
        me: The node's own entry, alive.
        timing: Pace of failure detection.
        rng: Source of randomness.
    """

    def __init__(self, me: Member, timing: Timing, rng: random.Random):
        self._me = me
        self._timing = timing
        self._rng = rng
        self._table = tables.Table()
        self._members: dict[str, Member] = {}
        self._since_s: dict[str, float] = {}
        self._round: list[str] = []
        self._periods = 0
        self._refuted = 0
        self._put(me, 0.0)

    @property
    def me(self) -> Member:
        """The node's own entry."""
        return self._me

    @property
    def table(self) -> tables.Table:
        """The table that is exchanged with peers."""
        return self._table

    @property
    def refuted(self) -> int:
        """How often this node had to refute its own suspicion."""
        return self._refuted

    def members(self) -> list[Member]:
        """Returns all remembered members."""
        return list(self._members.values())

    def get(self, node_id: str) -> Member | None:
        """Returns one member."""
        return self._members.get(node_id)

    def usable(self) -> list[Member]:
        """Returns members that are alive or merely suspected."""
        return [
            m
            for m in self._members.values()
            if m.status in (Status.ALIVE, Status.SUSPECT)
        ]

    def update_me(self, now_s: float, **changes: Any) -> Change:
        """Changes this node's own entry under a new revision."""
        self._me = dataclasses.replace(
            self._me, revision=self._me.revision + 1, **changes
        )
        return self._put(self._me, now_s)

    def merge(self, entry: tables.Entry, now_s: float) -> Change | None:
        """Takes an entry from a peer.

        Returns:
            The change of belief, or None when the entry was not news. For an
            entry about this node itself, the refutation.

        Raises:
            InvalidInputError: The entry does not describe a member.
        """
        member = member_from_entry(entry)
        if member.node_id == self._me.node_id:
            return self._refute(member, now_s)
        before = self._members.get(member.node_id)
        if before is None and member.status in (Status.DEAD, Status.LEFT):
            # Still kept: a node that forgot a death would take an older
            # "alive" from a slow peer for news and resurrect the member.
            return self._put(member, now_s)
        if not self._table.merge(entry):
            return None
        return self._put(member, now_s)

    def suspect(self, node_id: str, now_s: float) -> Change | None:
        """Notes that nobody reached a member."""
        return self._demote(node_id, Status.SUSPECT, now_s)

    def advance(self, now_s: float) -> list[Change]:
        """Lets time pass: suspects die, the long dead are forgotten."""
        changes = []
        for member in list(self._members.values()):
            age_s = now_s - self._since_s[member.node_id]
            if member.status is Status.SUSPECT and age_s > self._patience_s():
                change = self._demote(member.node_id, Status.DEAD, now_s)
                if change is not None:
                    changes.append(change)
            elif _gone(member) and age_s > self._timing.remember_s:
                self._forget(member.node_id)
        return changes

    def next_probe(self) -> Member | None:
        """Returns the member to probe in this period."""
        self._periods += 1
        if self._periods % self._timing.dead_probe_every == 0:
            dead = [m for m in self._members.values() if _gone(m)]
            if dead:
                return self._rng.choice(dead)
        while self._round or self._start_round():
            member = self._members.get(self._round.pop())
            if member is not None and not _gone(member):
                return member
        return None

    def helpers(self, node_id: str, most: int) -> list[Member]:
        """Returns members who may be asked to probe another one."""
        others = self._others(besides=node_id)
        return self._rng.sample(others, min(most, len(others)))

    def peers(self, most: int) -> list[Member]:
        """Returns members drawn at random, for pushes."""
        others = self._others(besides="")
        return self._rng.sample(others, min(most, len(others)))

    def leave(self, now_s: float) -> Change:
        """Marks this node as gone for good, by its own will."""
        return self.update_me(now_s, status=Status.LEFT, draining=True)

    def _patience_s(self) -> float:
        scale = max(1.0, math.log10(max(1, len(self._members))))
        periods = self._timing.suspicion_periods * scale
        return periods * self._timing.period_s

    def _refute(self, rumor: Member, now_s: float) -> Change | None:
        mine = self._me
        if self._me.status is Status.LEFT:
            return None
        if rumor.incarnation > mine.incarnation:
            # Our wall clock stepped back since the last start: the old
            # process's entry would win for ever. Go above it.
            self._me = dataclasses.replace(
                mine, incarnation=rumor.incarnation + 1
            )
            return self.update_me(now_s)
        same = rumor.to_entry().version <= mine.to_entry().version
        if same or rumor.incarnation < mine.incarnation:
            return None
        self._refuted += 1
        self._me = dataclasses.replace(
            mine, revision=max(mine.revision, rumor.revision)
        )
        return self.update_me(now_s)

    def _demote(
        self, node_id: str, status: Status, now_s: float
    ) -> Change | None:
        member = self._members.get(node_id)
        if member is None or node_id == self._me.node_id:
            return None
        if _RANK[member.status] >= _RANK[status]:
            return None
        return self._put(dataclasses.replace(member, status=status), now_s)

    def _put(self, member: Member, now_s: float) -> Change:
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

    def _start_round(self) -> bool:
        self._round = [m.node_id for m in self._others(besides="")]
        self._rng.shuffle(self._round)
        return bool(self._round)

    def _others(self, besides: str) -> list[Member]:
        return [
            m
            for m in self.usable()
            if m.node_id not in (self._me.node_id, besides)
        ]


def _gone(member: Member) -> bool:
    return member.status in (Status.DEAD, Status.LEFT)
