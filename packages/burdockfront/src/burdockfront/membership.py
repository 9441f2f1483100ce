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

Most probes stay in the own data centre, because ways between data centres are
paid for by the byte; one in four leaves it, so that the loss of a whole data
centre is found, and what the pushes between them missed is repaired.

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
        store_away: The store does not answer this node.
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
    store_away: bool = False

    def to_entry(self) -> tables.Entry:
        """Returns the table entry."""
        version = (self.incarnation, self.revision, _RANK[self.status])
        value: dict[str, Any] = {
            "boot": self.boot_id,
            "status": self.status.value,
            "address": self.address,
            "dc": self.data_center,
            "region": self.region,
            "service": self.service,
            "slots": self.slots,
            "draining": self.draining,
        }
        if self.store_away:
            value["store_away"] = True
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
            store_away=bool(value.get("store_away", False)),
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
        far_probe_every: Every so many periods a member of another data centre
            is probed: each of them is then asked once in four seconds even if
            nobody else of its own is left, well before callers' deadlines.
    """

    period_s: float = 1.0
    suspicion_periods: float = 3.0
    remember_s: float = 86_400.0
    dead_probe_every: int = 5
    far_probe_every: int = 4


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
        self._near_round: list[str] = []
        self._far_round: list[str] = []
        # A data centre of which a member was not reached, if there is one.
        self._doubted_data_center = ""
        # Nodes that start together would send their far probes together.
        self._periods = rng.randrange(timing.far_probe_every)
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
        member = self._members.get(node_id)
        if member is not None and member.data_center != self._me.data_center:
            self._doubted_data_center = member.data_center
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
        doubted = self._next_doubted()
        if doubted is not None:
            return doubted
        far_first = self._periods % self._timing.far_probe_every == 0
        rounds = [self._near_round, self._far_round]
        for names in reversed(rounds) if far_first else rounds:
            member = self._next_of(names, far=names is self._far_round)
            if member is not None:
                return member
        return None

    def answered(self, member: Member) -> None:
        """Notes that a member answered a probe."""
        if member.data_center == self._doubted_data_center:
            self._doubted_data_center = ""

    def helpers(self, node_id: str, most: int) -> list[Member]:
        """Returns members who may be asked to probe another one."""
        others = self._others(besides=node_id)
        return self._rng.sample(others, min(most, len(others)))

    def near_peers(self, most: int) -> list[Member]:
        """Returns members of the own data centre, drawn at random."""
        return self._draw(self._near(), most)

    def far_peers(self, most: int) -> list[Member]:
        """Returns members of other data centres, drawn at random."""
        return self._draw(self._far(), most)

    def far_share(self) -> float:
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

    def longest_running(self, data_center: str) -> list[Member]:
        """Returns the members of a data centre that are believed alive.

        The one that started first comes first. All nodes order them alike, so
        work that a few do for all finds its few without an agreement, and a
        node that restarts does not take its work back.
        """
        found = [
            member
            for member in self._members.values()
            if member.data_center == data_center
            and member.status is Status.ALIVE
        ]
        found.sort(key=lambda member: (member.incarnation, member.node_id))
        return found

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

    def _next_doubted(self) -> Member | None:
        """Returns another member of a data centre that did not answer.

        One of four probes leaves the data centre, so the members of one that
        is lost would be found out one by one: of 194 nodes in six, all that
        were lost were known after 33 s.
        """
        names = [
            member.node_id
            for member in self._members.values()
            if member.data_center == self._doubted_data_center
            and member.status is Status.ALIVE
        ]
        if not names:
            self._doubted_data_center = ""
            return None
        return self._members[self._rng.choice(names)]

    def _next_of(self, names: list[str], far: bool) -> Member | None:
        """Returns the next member of a round, which begins anew at its end."""
        if not names:
            drawn = self._far() if far else self._near()
            names += [member.node_id for member in drawn]
            self._rng.shuffle(names)
        while names:
            member = self._members.get(names.pop())
            if member is not None and not _gone(member):
                return member
        return None

    def _draw(self, members: list[Member], most: int) -> list[Member]:
        return self._rng.sample(members, min(most, len(members)))

    def _near(self) -> list[Member]:
        mine = self._me.data_center
        return [m for m in self._others("") if m.data_center == mine]

    def _far(self) -> list[Member]:
        mine = self._me.data_center
        return [m for m in self._others("") if m.data_center != mine]

    def _others(self, besides: str) -> list[Member]:
        return [
            m
            for m in self.usable()
            if m.node_id not in (self._me.node_id, besides)
        ]


def _gone(member: Member) -> bool:
    return member.status in (Status.DEAD, Status.LEFT)
