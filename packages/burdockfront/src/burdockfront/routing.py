"""Which backend server gets a call.

Work stays in its own data centre unless answers in time pay for the way (see
`Router._nearest_unless_late`). Two candidates are drawn at random and the
better one is taken: with many routers that each see only a part of the load,
"the best of all" would send all of them to the same server at once. Better
means likelier to answer in time; where two are alike in that, fewer calls of
ours in flight plus the load that its guard told on its last answer, per slot.
"""

import math
import random

from burdockfront import guard_estimates
from burdockfront import guards
from burdockfront import transfer_costs

# A guard at 1.0 has all slots in use: the next call waits.
_PRESSED = 1.0
# Kilobytes between data centres that one more answer in time is worth. Callers
# count answers, those who pay for the way count bytes; where ways cost most
# this is 8 KB, where they cost least 67 KB, by the prices of three deployments.
_KB_PER_ANSWER = 16.0
# Smaller differences are chance: what is known of a server that fails a part of
# its requests, and of one that was hardly asked, is off by as much.
_LEAST_GAIN = 0.1
# Kilobytes to save before a request leaves. In an overload of all data centres
# calls leave each of them, now more, now less; that difference is chance.
_LEAST_SAVED_KB = 1.0
# From this share on all requests leave for the sake of what is saved.
_SAVED_SHARE = 0.33
# No bytes are saved for more than one answer in twenty.
_HARM = 0.05
_UNKNOWN_S = 0.05


class Router(guards.GuardSet):
    """Chooses guards.

    Args:
        data_center: Where this router runs; its own data centre is preferred.
        rng: Source of randomness.
    """

    def __init__(self, data_center: str, rng: random.Random):
        super().__init__(data_center, rng)
        self.estimates = guard_estimates.GuardEstimates()
        self.transfer_costs = transfer_costs.ReportedTransferCosts()

    def forget(self, node_id: str) -> None:
        """Drops what is known of a guard that is gone."""
        self.estimates.forget(node_id)
        self.transfer_costs.forget(node_id)

    def choose(
        self,
        service: str,
        tried: frozenset[str],
        now_s: float,
        probe: bool = True,
        class_name: str = "",
        limit_s: float = math.inf,
        allow_limited: bool = True,
    ) -> guards.Target | None:
        """Returns the guard for a call, or None when there is none left.

        Args:
            service: The wanted service.
            tried: Guards that this call has tried already.
            now_s: The current time.
            probe: Whether this call may find out if an ejected guard is
                back. Not for tickets, which tie a confirmation to it.
            class_name: Class of the request, to know how long it takes.
            limit_s: After this the answer is of little value.
            allow_limited: Whether it goes to a guard that refused for a limit, if
                there is no other: what matters most there goes first.
        """
        view = self.candidates(service, tried, now_s)
        if probe and view.due is not None:
            self.begin_probe(view.due, now_s)
            return view.due
        if not view.near and not view.far:
            if not allow_limited or not view.limited:
                return None
            # The one that opens first would get all of them.
            return self._rng.choice(view.limited)
        return self._nearest_unless_late(
            service, class_name, limit_s, view, now_s
        )

    def _nearest_unless_late(
        self,
        service: str,
        class_name: str,
        limit_s: float,
        view: guards.Candidates,
        now_s: float,
    ) -> guards.Target:
        """Returns a guard of our data centre, unless another one is worth it.

        Ways between data centres are paid for by the byte. So work leaves its
        own only if the chance of an answer in time rises by more than the way
        costs. Judged by time alone, a quarter of all requests with large
        bodies went to quicker servers elsewhere that few of them needed, two
        thirds of all bytes on a quiet day. Judged by nearness alone, one data
        centre drowns, or is always late, beside idle ones.
        """
        typical_s = self.estimates.typical_s(service, class_name) or _UNKNOWN_S
        if not view.near:
            return self._better_of_two(view.far, typical_s, limit_s, now_s)
        best = self._better_of_two(view.near, typical_s, limit_s, now_s)
        if not view.far:
            return best
        other = self._sooner_of_two(view.far, typical_s, now_s)
        gained = self._chance(other, typical_s, limit_s, now_s)
        gained -= self._chance(best, typical_s, limit_s, now_s)
        way_kb = self.estimates.kb_of(service, class_name)
        if gained > max(_LEAST_GAIN, way_kb / _KB_PER_ANSWER):
            return other
        harms = gained < -_HARM
        if not harms and self._saves_ways(
            best, other, class_name, way_kb, now_s
        ):
            return other
        return best

    def _chance(
        self,
        target: guards.Target,
        typical_s: float,
        limit_s: float,
        now_s: float,
    ) -> float:
        """Returns how likely a guard's answer comes, and in time."""
        expected_s = self._expected_s(target, typical_s, now_s)
        return self.estimates.success_probability(
            target.node_id, expected_s, limit_s, now_s
        )

    def _saves_ways(
        self,
        near: guards.Target,
        far: guards.Target,
        class_name: str,
        way_kb: float,
        now_s: float,
    ) -> bool:
        """Whether a request should leave here, since its calls would below.

        All of them where it saves a third of what a request costs or more: a
        service is missing here, and its work is done elsewhere in any case.
        Below that in proportion to what is saved. What guards say is a second
        old, and a data centre that got everybody's requests for a small gain
        would be the next to be left.
        """
        stays_kb = self.transfer_costs.kb_of(near.node_id, class_name, now_s)
        goes_kb = way_kb + self.transfer_costs.kb_of(
            far.node_id, class_name, now_s
        )
        saved_kb = stays_kb - goes_kb - _LEAST_SAVED_KB
        return self._rng.random() * _SAVED_SHARE * stays_kb < saved_kb

    def _expected_s(
        self, target: guards.Target, typical_s: float, now_s: float
    ) -> float:
        """Returns how long an answer of a guard will take from now on."""
        waiting = max(0.0, self.score(target, now_s) - _PRESSED)
        return (
            typical_s
            * self.estimates.relative_latency(target.node_id)
            * (1.0 + waiting)
        )

    def _sooner_of_two(
        self, targets: list[guards.Target], typical_s: float, now_s: float
    ) -> guards.Target:
        """Draws two, and returns the one that answers sooner."""
        first, second = self._two_of(targets)
        if second is first:
            return first
        first_s = self._expected_s(first, typical_s, now_s)
        second_s = self._expected_s(second, typical_s, now_s)
        return first if first_s <= second_s else second

    def _two_of(
        self, targets: list[guards.Target]
    ) -> tuple[guards.Target, guards.Target]:
        """Draws two; the same one twice if there is no other."""
        count = len(targets)
        if count == 1:
            return targets[0], targets[0]
        index = int(self._rng.random() * count)
        step = 1 + int(self._rng.random() * (count - 1))
        return targets[index], targets[(index + step) % count]

    def _better_of_two(
        self,
        targets: list[guards.Target],
        typical_s: float,
        limit_s: float,
        now_s: float,
    ) -> guards.Target:
        """Draws two, and returns the better one.

        The one whose answer is more likely to come, and in time; where that
        is about the same, the one with more room.
        """
        first, second = self._two_of(targets)
        if second is first:
            return first
        gained = self._chance(first, typical_s, limit_s, now_s)
        gained -= self._chance(second, typical_s, limit_s, now_s)
        if gained > _LEAST_GAIN:
            return first
        if gained < -_LEAST_GAIN:
            return second
        if self.score(first, now_s) <= self.score(second, now_s):
            return first
        return second
