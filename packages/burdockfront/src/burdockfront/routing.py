"""Choice of the guard, and so of the backend server, that gets a call.

Work stays in its own data centre unless a higher probability of an answer in
time outweighs the cost of the transfer (see `Router._nearest_unless_late`).

Two candidates are drawn at random and the better one is taken: many routers
that each see only a part of the load would otherwise all send to the same best
server at once. The better candidate is the one that is more likely to answer in
time; where both are about equally likely, the one with the lower load per slot,
from the router's own calls in flight and the load that the guard reported on
its last answer, weighed by the learned latency and the pace of its server.

A near guard that is full gives way to a far one with room (see
`Router._gives_way`). What decides between data centres is at most 0.3 s old.
"""

import math
import random

from burdockfront import guard_estimates
from burdockfront import guards
from burdockfront import transfer_costs

# Load per slot at which all slots of a guard are in use: the next call waits.
_FULL_LOAD = 1.0
# Kilobytes between data centres that one more answer in time is worth: callers
# gain by answers, operators pay for transfer by the byte. By the prices of
# three deployments this is 8 KB where transfer costs most, and 67 KB where it
# costs least.
_KB_PER_ANSWER = 16.0
# Smaller differences in probability are noise: the estimates for a server that
# fails a part of its requests, and for one with few requests, are off by as
# much.
_MIN_GAIN = 0.1
# Kilobytes to save before a request leaves its data centre. In an overload of
# all data centres, calls leave each of them in varying numbers, and smaller
# differences are noise.
_MIN_SAVED_KB = 1.0
# Where at least this share of the transfer costs is saved, all requests leave.
_FULL_SAVED_SHARE = 0.33
# Largest loss in the probability of an answer in time, one answer in twenty,
# that is accepted to save transfer costs.
_MAX_LOSS = 0.05
# A near guard gives way from this share of its slots, before calls wait:
# machines whose slots are all in use work more slowly.
_FULL_SHARE = 0.95
# Share of its slots below which a far guard has room for calls from other data
# centres. The gap between both keeps calls from moving between guards that are
# about equally full.
_ROOM_SHARE = 0.85
_LEAVING_GAIN = 2.0
# Where a far guard has this share of its slots free, all calls that gain by it
# go there; fewer do where it has less.
_ROOM_RAMP = 0.3
# Difference in the share of failures for which calls also leave for a far guard
# that is full.
_FAILURES_WORTH_A_QUEUE = 0.3
# Typical answer time of a class without samples.
_DEFAULT_TYPICAL_S = 0.05


class Router(guards.GuardSet):
    """Chooses guards for calls.

    Args:
        data_center: Data centre of this router, which is preferred.
        rng: Source of randomness.

    Attributes:
        estimates: Latency, failure and size estimates.
        transfer_costs: Transfer costs that guards reported.
    """

    def __init__(self, data_center: str, rng: random.Random):
        super().__init__(data_center, rng)
        self.estimates = guard_estimates.GuardEstimates()
        self.transfer_costs = transfer_costs.ReportedTransferCosts()

    def forget(self, node_id: str) -> None:
        """Drops the estimates of a guard that has left or restarted."""
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
            service: The service to call.
            tried: Guards that this call has tried already.
            now_s: The current time.
            probe: Whether this call may probe an ejected guard. Not for
                tickets, which tie a confirmation to the guard.
            class_name: Class of the request, for its typical answer time.
            limit_s: Time after which the answer has little value.
            allow_limited: Whether a guard that refused for a limit is chosen
                if there is no other. Its server takes the most important
                requests first.
        """
        candidates = self.candidates(service, tried, now_s)
        if probe and candidates.probe_due is not None:
            self.begin_probe(candidates.probe_due, now_s)
            return candidates.probe_due
        if not candidates.near and not candidates.far:
            if not allow_limited or not candidates.limited:
                return None
            # If the first limit to end decided, one guard would get all calls.
            return self._rng.choice(candidates.limited)
        return self._nearest_unless_late(
            service, class_name, limit_s, candidates, now_s
        )

    def _nearest_unless_late(
        self,
        service: str,
        class_name: str,
        limit_s: float,
        candidates: guards.Candidates,
        now_s: float,
    ) -> guards.Target:
        """Returns a near guard, unless a far one is worth the transfer.

        Transfer between data centres is paid for by the byte. A call leaves
        its data centre only if the probability of an answer in time rises by
        more than the transfer costs. With a choice by time alone, a quarter of
        all requests with large bodies went to faster servers in other data
        centres, which few of them needed, and caused two thirds of all bytes on
        a quiet day. With a choice by distance alone, one data centre is
        overloaded, or always late, beside idle ones.
        """
        typical_s = (
            self.estimates.typical_s(service, class_name) or _DEFAULT_TYPICAL_S
        )
        if not candidates.near:
            return self._better_of_two(
                candidates.far, typical_s, limit_s, now_s
            )[0]
        best, probability = self._better_of_two(
            candidates.near, typical_s, limit_s, now_s
        )
        if not candidates.far:
            return best
        other = self._faster_of_two(candidates.far, typical_s, now_s)
        gain = self._success_probability(other, typical_s, limit_s, now_s)
        if probability is None:
            probability = self._success_probability(
                best, typical_s, limit_s, now_s
            )
        gain -= probability
        transfer_kb = self.estimates.kb_of(service, class_name)
        price = transfer_kb / _KB_PER_ANSWER
        if gain > max(_MIN_GAIN, price):
            if not self.balances_load:
                return other
            if self._fails_more(best, other, now_s):
                return other
            return other if self._has_room(best, other, now_s) else best
        gives_way = self.balances_load and gain >= -_MIN_GAIN
        if gives_way and self._gives_way(best, other, price, now_s):
            return other
        loses_answers = gain < -_MAX_LOSS
        if not loses_answers and self._saves_transfer(
            best, other, class_name, transfer_kb, now_s
        ):
            return other
        return best

    def _success_probability(
        self,
        target: guards.Target,
        typical_s: float,
        limit_s: float,
        now_s: float,
    ) -> float:
        """Returns the probability that a guard answers in time."""
        expected_s = self._expected_s(target, typical_s, now_s)
        return self.estimates.success_probability(
            target.node_id, expected_s, limit_s, now_s
        )

    def _fails_more(
        self, near: guards.Target, far: guards.Target, now_s: float
    ) -> bool:
        """Returns whether failures are worth a place in a far queue."""
        share = self.estimates.failure_rate(near.node_id, now_s)
        if share <= _FAILURES_WORTH_A_QUEUE:
            return False
        share -= self.estimates.failure_rate(far.node_id, now_s)
        return share > _FAILURES_WORTH_A_QUEUE

    def _has_room(
        self, near: guards.Target, far: guards.Target, now_s: float
    ) -> bool:
        """Returns whether a far guard takes one more call.

        Fewer calls go there the fuller it is: if all routers sent until they
        saw it full, it would have a queue when the reports reach them. Where
        only the near guard has a fresh report, calls go to the far one one at a
        time, and the first answer tells its load.
        """
        load = self.fresh_load(far, now_s)
        if load is not None:
            return self._rng.random() * _ROOM_RAMP < _FULL_SHARE - load
        return self.fresh_load(near, now_s) is None or self._asks_load(
            far, now_s
        )

    def _asks_load(self, far: guards.Target, now_s: float) -> bool:
        """Returns whether a call goes to a far guard to learn its load.

        One at a time, and only after a while where it was full last: in an
        overload of all data centres these calls cause transfers in vain.
        """
        if not self.is_idle(far.node_id):
            return False
        return self.recent_load(far.node_id, now_s) < _ROOM_SHARE

    def _gives_way(
        self,
        near: guards.Target,
        far: guards.Target,
        price: float,
        now_s: float,
    ) -> bool:
        """Returns whether a call leaves a full near guard for a far one.

        Calls leave in proportion to the difference in load, so that routers
        that see the same reports do not all choose the same far guard. Only
        fresh loads count. A router that has calls at the near guard and does
        not know the load of the far one sends one call at a time to learn it.

        Args:
            near: The guard in this data centre.
            far: The guard in another data centre.
            price: Cost of the transfer, in load per slot.
            now_s: The current time.
        """
        near_load = self.fresh_load(near, now_s)
        if near_load is None or near_load < _FULL_SHARE:
            return False
        far_load = self.fresh_load(far, now_s)
        if far_load is None:
            return not self.is_idle(near.node_id) and self._asks_load(
                far, now_s
            )
        if far_load >= _ROOM_SHARE:
            return False
        difference = near_load - far_load - price
        return self._rng.random() * near_load < difference * _LEAVING_GAIN

    def _saves_transfer(
        self,
        near: guards.Target,
        far: guards.Target,
        class_name: str,
        transfer_kb: float,
        now_s: float,
    ) -> bool:
        """Returns whether a request should leave to save transfer below.

        All requests leave where that saves a third of their transfer costs or
        more: a service is missing in this data centre, and its work is done
        elsewhere in any case. Below a third, requests leave in proportion to
        the saving. The reports of guards are up to a second old, and a data
        centre that received the requests of all others for a small saving would
        be the next one to be left.
        """
        near_kb = self.transfer_costs.kb_of(near.node_id, class_name, now_s)
        far_kb = transfer_kb + self.transfer_costs.kb_of(
            far.node_id, class_name, now_s
        )
        saved_kb = near_kb - far_kb - _MIN_SAVED_KB
        return self._rng.random() * _FULL_SAVED_SHARE * near_kb < saved_kb

    def _expected_s(
        self, target: guards.Target, typical_s: float, now_s: float
    ) -> float:
        """Returns the expected time to an answer of a guard."""
        waiting = max(0.0, self.score(target, now_s) - _FULL_LOAD)
        latency = self.estimates.relative_latency(target.node_id)
        if target.node_id in self._paced:
            latency *= self.pace(target.node_id, now_s)
        return typical_s * latency * (1.0 + waiting)

    def _faster_of_two(
        self, targets: list[guards.Target], typical_s: float, now_s: float
    ) -> guards.Target:
        """Draws two guards, and returns the one expected to answer sooner."""
        first, second = self._draw_two(targets)
        if second is first:
            return first
        first_s = self._expected_s(first, typical_s, now_s)
        second_s = self._expected_s(second, typical_s, now_s)
        return first if first_s <= second_s else second

    def _draw_two(
        self, targets: list[guards.Target]
    ) -> tuple[guards.Target, guards.Target]:
        """Draws two guards; the same one twice if there is only one."""
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
    ) -> tuple[guards.Target, float | None]:
        """Draws two guards, and returns the better one.

        That is the one more likely to answer in time; where the difference is
        small, the one with the lower load per slot, weighed by its speed.

        Returns:
            The guard, and its probability of an answer in time; None if there
            is only one guard.
        """
        first, second = self._draw_two(targets)
        if second is first:
            return first, None
        one = self._success_probability(first, typical_s, limit_s, now_s)
        other = self._success_probability(second, typical_s, limit_s, now_s)
        gain = one - other
        if gain > _MIN_GAIN:
            return first, one
        if gain < -_MIN_GAIN:
            return second, other
        if self.balances_load:
            is_first = self._is_sooner(first, second, now_s)
        else:
            is_first = self.score(first, now_s) <= self.score(second, now_s)
        return (first, one) if is_first else (second, other)

    def _is_sooner(
        self, first: guards.Target, second: guards.Target, now_s: float
    ) -> bool:
        """Returns whether the first guard has the lower load for its speed.

        Where only one of both has ever reported its load, the other one has
        just joined and seems idle to all routers. It gets its usual share, by
        the router's own calls, until its first answers. Where neither has a
        report that still has weight, loads are compared as they are.
        """
        first_at_s = self.load_at_s(first.node_id)
        second_at_s = self.load_at_s(second.node_id)
        if (first_at_s is None) != (second_at_s is None):
            return self.own_load(first) <= self.own_load(second)
        first_cost = self.score(first, now_s)
        second_cost = self.score(second, now_s)
        if first_at_s is not None and second_at_s is not None:
            age_s = now_s - max(first_at_s, second_at_s)
            if age_s < guards.LOAD_DECAY_S:
                first_cost = self._weighed(first, first_cost, now_s)
                second_cost = self._weighed(second, second_cost, now_s)
        return first_cost <= second_cost

    def _weighed(
        self, target: guards.Target, load: float, now_s: float
    ) -> float:
        """Returns a load in relative time to an answer."""
        node_id = target.node_id
        latency = self.estimates.relative_latency(node_id)
        if node_id in self._paced:
            latency *= self.pace(node_id, now_s)
        return (1.0 + load) * latency
