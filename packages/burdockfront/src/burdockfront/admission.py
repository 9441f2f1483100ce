"""Admission at the guard: who gets the next slot of the backend server.

The queue is ordered by (rank, paid for, ordinal). Rank first: browsing goes
before confirmations. Within a rank, work already paid for comes first: a call
from an upper layer carries the work done there, and refusing it wastes that
work, while refusing a new request wastes nothing. Then the ordinal, which is
the same in all layers, so that layers refuse the same requests.

The kinds `limit` and `none` are the baselines to compare with.
"""

import heapq
from typing import Protocol

from burdockfront import admission_queue
from burdockfront import context as context_lib
from burdockfront import flow_level
from burdockfront import levels
from burdockfront import limit_level
from burdockfront import limits
from burdockfront import policy
from burdockfront import rate_limits
from burdockfront import registry

KINDS = registry.Registry("admission kind")

_WINDOW_S = 0.2
_FLOW_WINDOW_S = 0.25
_TARGET_SHARE = 0.25
_SERVICE_TIME_WEIGHT = 0.1
_TOP_RANK_PATIENCE = 4
RETRY_AFTER_S = admission_queue.RETRY_AFTER_S


class Admission(Protocol):
    """What a guard asks; see `LevelAdmission` for the meaning."""

    in_use: int

    def offer(
        self, item_id: str, context: context_lib.RequestContext, now_s: float
    ) -> admission_queue.Step:
        """Takes a request that arrived."""

    def release(self, service_s: float, now_s: float) -> admission_queue.Step:
        """Takes back a slot."""

    def cancel(self, item_id: str) -> None:
        """Drops a queued request whose caller has gone."""

    def advance(self, now_s: float) -> admission_queue.Step:
        """Lets time pass."""

    def level(self) -> int:
        """Returns the highest admitted priority number."""

    def load(self, now_s: float) -> float:
        """Returns slots used and waited for, per slot."""

    def busy(self) -> float:
        """Returns the share of slots in use lately."""

    def record_service_time(self, class_name: str, service_s: float) -> None:
        """Learns how much slot time a call of a class takes."""

    def shed_by_backend(self, now_s: float) -> None:
        """Learns that the backend server itself refused."""

    def update_policy(self, new: policy.AdmissionPolicy) -> None:
        """Takes changed parameters."""


@KINDS.register("level")
class LevelAdmission(admission_queue.QueueAdmission):
    """Priority order, with a level that refuses at once and flows back."""

    def __init__(
        self,
        admission_policy: policy.AdmissionPolicy,
        limit: limits.ConcurrencyLimit,
        rate: rate_limits.RateLimit,
        now_s: float,
    ):
        super().__init__(admission_policy, limit, rate, now_s)
        self._control = levels.LevelControl(
            admission_policy.queue_s * _TARGET_SHARE, _WINDOW_S, now_s
        )
        self._limit_level = limit_level.LimitLevel(rate)

    def advance(self, now_s: float) -> admission_queue.Step:
        """Also sets the level at the end of each window."""
        step = super().advance(now_s)
        self._limit_level.advance(now_s)
        if self._control.is_window_over(now_s):
            slots = self._limit.current(now_s)
            self._control.advance(self._busy_share(now_s), slots, now_s)
        return step

    def level(self) -> int:
        """Returns the highest admitted priority number."""
        return min(self._control.level, self._limit_level.level)

    def busy(self) -> float:
        """Returns the share of slots in use, smoothed over windows."""
        return self._control.busy

    def update_policy(self, new: policy.AdmissionPolicy) -> None:
        """Takes changed parameters."""
        super().update_policy(new)
        self._control.set_target(new.queue_s * _TARGET_SHARE)

    def _order(self, context: context_lib.RequestContext) -> tuple[int, ...]:
        new_work = 1 if context.depth == 0 else 0
        return (context.rank, new_work, context.ordinal)

    def _patience_s(self, context: context_lib.RequestContext) -> float:
        """Paid work and the most important requests may wait longer.

        To drop a call of an upper layer fails the whole request, with all
        that was done for it; a wait merely makes it later.

        They are first in the queue, so they wait long only while slots are
        held by requests that wait in a deeper service themselves. Dropping
        a confirmation for that would shed it before the browsing that holds
        the slots.
        """
        if context.rank > 0 and context.depth == 0:
            return super()._patience_s(context)
        longest_s = self._policy.queue_s * _TOP_RANK_PATIENCE
        return min(longest_s, context.remaining_s / 2)

    def _above_level(self, context: context_lib.RequestContext) -> bool:
        # Calls from upper layers are paid for: only the queue refuses them.
        return context.depth == 0 and context.priority > self.level()

    def _count_offered(self, context: context_lib.RequestContext) -> None:
        self._limit_level.record_arrival(context)

    def _count_admitted(self, context: context_lib.RequestContext) -> None:
        self._control.record_admitted(context.priority)

    def _waited(self, delay_s: float) -> None:
        self._control.record_wait(delay_s)

    def _dropped(self, priority: int) -> None:
        self._control.record_dropped(priority)


@KINDS.register("flow")
class FlowAdmission(LevelAdmission):
    """Like `level`, with the level of a guard that is far from the entries."""

    def __init__(
        self,
        admission_policy: policy.AdmissionPolicy,
        limit: limits.ConcurrencyLimit,
        rate: rate_limits.RateLimit,
        now_s: float,
    ):
        super().__init__(admission_policy, limit, rate, now_s)
        self._flow = flow_level.FlowControl(_FLOW_WINDOW_S, now_s)
        self._work_s: dict[str, float] = {}

    def advance(self, now_s: float) -> admission_queue.Step:
        """Also sets the level at the end of each window."""
        step = admission_queue.QueueAdmission.advance(self, now_s)
        self._limit_level.advance(now_s)
        if self._flow.is_window_over(now_s):
            self._flow.advance(self._limit.current(now_s), now_s)
        return step

    def level(self) -> int:
        """Returns the highest admitted priority number."""
        return min(self._flow.level, self._limit_level.level)

    def busy(self) -> float:
        """Returns the share of the slots that is spoken for."""
        return self._flow.busy

    def record_service_time(self, class_name: str, service_s: float) -> None:
        """Learns how much slot time a call of a class takes."""
        before_s = self._work_s.get(class_name, service_s)
        learned_s = before_s + _SERVICE_TIME_WEIGHT * (service_s - before_s)
        self._work_s[class_name] = learned_s

    def _count_admitted(self, context: context_lib.RequestContext) -> None:
        work_s = self._work_s.get(context.class_name, self._service_s)
        self._flow.record_arrival(context.priority, work_s)

    def _waited(self, delay_s: float) -> None:
        self._flow.record_wait(delay_s)

    def _dropped(self, priority: int) -> None:
        pass


@KINDS.register("limit")
class LimitAdmission(admission_queue.QueueAdmission):
    """Baseline: a limit per hop, first come first served."""

    def _order(self, context: context_lib.RequestContext) -> tuple[int, ...]:
        return ()


@KINDS.register("none")
class NoAdmission(admission_queue.QueueAdmission):
    """Baseline: everything goes to the backend server at once."""

    def _order(self, context: context_lib.RequestContext) -> tuple[int, ...]:
        return ()

    def _start(self, now_s: float) -> tuple[str, ...]:
        started = []
        while self._heap:
            _, _, waiting = self._heap[0]
            if not waiting.gone:
                if not self._rate.take(now_s):
                    break
                del self._by_id[waiting.item_id]
                started.append(waiting.item_id)
            heapq.heappop(self._heap)
        self.in_use += len(started)
        return tuple(started)


def create(
    admission_policy: policy.AdmissionPolicy,
    limit: limits.ConcurrencyLimit,
    now_s: float,
    rate: rate_limits.RateLimit | None = None,
) -> Admission:
    """Returns admission of the policy's kind.

    Args:
        admission_policy: Names the kind, and its parameters.
        limit: How many requests may run at once.
        now_s: The current time.
        rate: The rate that the backend server names; by default none, ever.

    Raises:
        UnknownVariantError: The policy names no registered kind.
    """
    kind = KINDS.get(admission_policy.kind)
    rate = rate or rate_limits.RateLimit()
    return kind(admission_policy, limit, rate, now_s)
