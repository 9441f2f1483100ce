"""Which member is probed next.

Each member is probed within one round, in shuffled order. Most probes stay in
the own data centre, because ways between data centres are paid for by the byte;
one in four leaves it, so that the loss of a whole data centre is found, and
what the pushes between them missed is repaired. Where a member of another data
centre was not reached, the others of that data centre come first, until one of
them answers: found out one by one, the members of a lost data centre of 194
nodes in six were all known to be gone after 33 s, and so after 11 s.

The dead are probed now and then, so that regions that lost each other find each
other again.
"""

import dataclasses
import random
from collections.abc import Callable
from collections.abc import Iterable

from burdockfront import members as members_lib


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRates:
    """How often a probe goes to whom.

    Attributes:
        dead_every: Every so many periods a dead member is probed.
        far_every: Every so many periods a member of another data centre is
            probed: each of them is then asked once in four seconds even if
            nobody else of its own is left, well before callers' deadlines.
    """

    dead_every: int = 5
    far_every: int = 4


class ProbeOrder:
    """The order in which one node probes the members.

    Args:
        data_center: Where this node runs.
        rates: How often a probe goes to whom.
        rng: Source of randomness.
    """

    def __init__(self, data_center: str, rates: ProbeRates, rng: random.Random):
        self._data_center = data_center
        self._rates = rates
        self._rng = rng
        # Nodes that start together would send their far probes together.
        self._periods = rng.randrange(rates.far_every)
        self._near_round: list[str] = []
        self._far_round: list[str] = []
        # A data centre of which a member was not reached, if there is one.
        self._doubted = ""

    def next(
        self, others: Iterable[members_lib.Member]
    ) -> members_lib.Member | None:
        """Returns the member to probe in this period.

        Args:
            others: All remembered members but this node.
        """
        self._periods += 1
        by_name = {member.node_id: member for member in others}
        living = [m for m in by_name.values() if not m.gone]
        dead = [m for m in by_name.values() if m.gone]
        if dead and self._periods % self._rates.dead_every == 0:
            return self._rng.choice(dead)
        return self._next_doubted(living) or self._next_living(by_name, living)

    def record_failure(self, member: members_lib.Member) -> None:
        """Notes that nobody reached a member."""
        if self._is_far(member):
            self._doubted = member.data_center

    def record_answer(self, member: members_lib.Member) -> None:
        """Notes that a member answered."""
        if member.data_center == self._doubted:
            self._doubted = ""

    def _next_doubted(
        self, living: list[members_lib.Member]
    ) -> members_lib.Member | None:
        """Returns another member of a data centre that did not answer."""
        found = [
            member
            for member in living
            if member.data_center == self._doubted
            and member.status is members_lib.Status.ALIVE
        ]
        if found:
            return self._rng.choice(found)
        self._doubted = ""
        return None

    def _next_living(
        self,
        by_name: dict[str, members_lib.Member],
        living: list[members_lib.Member],
    ) -> members_lib.Member | None:
        far_turn = self._periods % self._rates.far_every == 0
        near = self._next_of(self._near_round, by_name, living, self._is_near)
        if near is not None and not far_turn:
            return near
        far = self._next_of(self._far_round, by_name, living, self._is_far)
        return far or near

    def _next_of(
        self,
        names: list[str],
        by_name: dict[str, members_lib.Member],
        living: list[members_lib.Member],
        belongs: Callable[[members_lib.Member], bool],
    ) -> members_lib.Member | None:
        """Returns the next member of a round, which begins anew at its end."""
        if not names:
            names += [m.node_id for m in living if belongs(m)]
            self._rng.shuffle(names)
        while names:
            member = by_name.get(names.pop())
            if member is not None and not member.gone:
                return member
        return None

    def _is_near(self, member: members_lib.Member) -> bool:
        return member.data_center == self._data_center

    def _is_far(self, member: members_lib.Member) -> bool:
        return member.data_center != self._data_center
