"""Admission at the guard: assigns the slots of the backend server to requests.

The queue is ordered by rank, then by whether work was already invested in the
request, then by ordinal. The rank comes first, so that browsing is shed before
confirmations. Within a rank, calls from upper layers precede new requests:
refusing such a call wastes the work already done in those layers, while
refusing a new request wastes nothing. The ordinal of a request is the same in
all layers, so that all layers refuse the same requests.

The kinds `limit` and `none` are baselines for comparison.
"""

import heapq
from typing import Protocol

from burdockfront import admission_queue
from burdockfront import context as context_lib
from burdockfront import demand_level
from burdockfront import fair_shares
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
# A hundred calls or more of a scarce service arrive in this time.
_DEMAND_WINDOW_S = 0.1
_TARGET_SHARE = 0.25
_SERVICE_TIME_WEIGHT = 0.1
_LONG_WAIT_FACTOR = 4
RETRY_AFTER_S = admission_queue.RETRY_AFTER_S


class Admission(Protocol):
    """Interface of admission for a guard.

    Attributes:
        in_use: Slots in use.
        service: Service of the backend server.
        spreads_level: Whether the level is sent with answers of other services,
            too.
        min_recorded_step: Smallest change of the level that is recorded as an
            event.
        shares: Measures the work of client accounts; None if unused.
    """

    in_use: int
    service: str
    spreads_level: bool
    min_recorded_step: int
    shares: fair_shares.ShareMeter | None

    def offer(
        self, item_id: str, context: context_lib.RequestContext, now_s: float
    ) -> admission_queue.Step:
        """Starts, queues or refuses a request that arrived."""

    def release(self, service_s: float, now_s: float) -> admission_queue.Step:
        """Releases the slot of a request that ended."""

    def cancel(self, item_id: str) -> None:
        """Removes a queued request whose caller disconnected."""

    def advance(self, now_s: float) -> admission_queue.Step:
        """Processes timeouts, and starts requests where slots are free."""

    def level(self) -> int:
        """Returns the highest admitted priority number."""

    def load(self, now_s: float) -> float:
        """Returns the number of running and queued requests, per slot."""

    def busy(self) -> float:
        """Returns the share of slots that was recently in use."""

    def record_service_time(
        self, class_name: str, service_s: float, waited_below_s: float
    ) -> None:
        """Records how much slot time a call of a class took.

        Args:
            class_name: The class.
            service_s: Time for which the slot was used.
            waited_below_s: Part of that time for which the calls of the request
                waited for slots of other services.
        """

    def shed_by_backend(self, now_s: float) -> None:
        """Records that the backend server itself refused a request."""

    def update_policy(self, new: policy.AdmissionPolicy) -> None:
        """Applies changed parameters."""


@KINDS.register("level")
class LevelAdmission(admission_queue.QueueAdmission):
    """Priority queue with a level above which new requests are refused at once.

    The level is returned on answers, so that entries refuse early as well.
    """

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
        """Also updates the level at the end of each window."""
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
        """Applies changed parameters."""
        super().update_policy(new)
        self._control.set_target(new.queue_s * _TARGET_SHARE)

    def _order(self, context: context_lib.RequestContext) -> tuple[int, ...]:
        new_work = 1 if context.depth == 0 else 0
        return (context.rank, new_work, context.ordinal)

    def _max_wait_s(self, context: context_lib.RequestContext) -> float:
        """Returns the wait limit, longer for upper-layer calls and top rank.

        Dropping a call of an upper layer fails the whole request and wastes
        the work done for it, while a longer wait only delays it.

        These requests are first in the queue, so they wait long only while the
        slots are held by requests that themselves wait in a deeper service.
        Dropping a confirmation then would shed it before the browsing that
        holds the slots.
        """
        if context.rank > 0 and context.depth == 0:
            return super()._max_wait_s(context)
        wait_limit_s = self._policy.queue_s * _LONG_WAIT_FACTOR
        return min(wait_limit_s, context.remaining_s / 2)

    def _above_level(self, context: context_lib.RequestContext) -> bool:
        # Calls from upper layers carry invested work: only the queue refuses
        # them.
        return context.depth == 0 and context.priority > self.level()

    def _record_offered(self, context: context_lib.RequestContext) -> None:
        self._limit_level.record_arrival(context)

    def _record_admitted(self, context: context_lib.RequestContext) -> None:
        self._control.record_admitted(context.priority)

    def _record_wait(self, delay_s: float) -> None:
        self._control.record_wait(delay_s)

    def _record_dropped(self, priority: int) -> None:
        self._control.record_dropped(priority)


@KINDS.register("flow")
class FlowAdmission(LevelAdmission):
    """Like `level`, with a level control for guards far from the entries."""

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
        """Also updates the level at the end of each window."""
        step = admission_queue.QueueAdmission.advance(self, now_s)
        self._limit_level.advance(now_s)
        if self._flow.is_window_over(now_s):
            slots = self._limit.current(now_s)
            self._flow.advance(slots, now_s)
            if self.shares is not None:
                self.shares.advance(self.level(), slots, now_s)
        return step

    def level(self) -> int:
        """Returns the highest admitted priority number."""
        return min(self._flow.level, self._limit_level.level)

    def busy(self) -> float:
        """Returns the share of the slot time that recent arrivals take."""
        return self._flow.busy

    def record_service_time(
        self, class_name: str, service_s: float, waited_below_s: float
    ) -> None:
        """Updates the mean slot time of the calls of a class."""
        before_s = self._work_s.get(class_name, service_s)
        updated_s = before_s + _SERVICE_TIME_WEIGHT * (service_s - before_s)
        self._work_s[class_name] = updated_s

    def _record_admitted(self, context: context_lib.RequestContext) -> None:
        work_s = self._work_s.get(context.class_name, self._service_s)
        self._flow.record_arrival(context.priority, work_s)
        if self.shares is not None and self.shares.active:
            self.shares.record(context, work_s)

    def _record_wait(self, delay_s: float) -> None:
        self._flow.record_wait(delay_s)

    def _record_dropped(self, priority: int) -> None:
        pass


@KINDS.register("demand")
class DemandAdmission(FlowAdmission):
    """Like `flow`, with a level from an estimate of the whole demand."""

    spreads_level = True
    # The level changes ten times a second, and each event costs a log line.
    min_recorded_step = context_lib.ORDINALS // 8

    def __init__(
        self,
        admission_policy: policy.AdmissionPolicy,
        limit: limits.ConcurrencyLimit,
        rate: rate_limits.RateLimit,
        now_s: float,
    ):
        super().__init__(admission_policy, limit, rate, now_s)
        self._demand = demand_level.DemandControl(_DEMAND_WINDOW_S, now_s)
        # Mean slot time of a call, without waits of deeper calls.
        self._used_s = self._service_s

    def advance(self, now_s: float) -> admission_queue.Step:
        """Also updates the level at the end of each window."""
        step = admission_queue.QueueAdmission.advance(self, now_s)
        self._limit_level.advance(now_s)
        if self._demand.is_window_over(now_s):
            slots = self._limit.current(now_s)
            self._demand.advance(slots, self._backlog_s(slots), now_s)
            if self.shares is not None:
                self.shares.advance(self.level(), slots, now_s)
        return step

    def record_service_time(
        self, class_name: str, service_s: float, waited_below_s: float
    ) -> None:
        """Updates the mean slot time of the calls of a class.

        Waits of deeper calls are left out. With them, all services above a
        short one appear to be short as well, and refuse requests that do not
        need the short one.
        """
        used_s = max(0.0, service_s - waited_below_s)
        super().record_service_time(class_name, used_s, 0.0)
        self._used_s += _SERVICE_TIME_WEIGHT * (used_s - self._used_s)

    def _backlog_s(self, slots: int) -> float:
        """Returns the work of the waiting calls, divided by the slots."""
        return len(self._by_id) * self._used_s / slots

    def level(self) -> int:
        """Returns the highest admitted priority number."""
        return min(self._demand.level, self._limit_level.level)

    def busy(self) -> float:
        """Returns the share of the slot time that recent arrivals take."""
        return self._demand.busy

    def _record_admitted(self, context: context_lib.RequestContext) -> None:
        work_s = self._work_s.get(context.class_name, self._service_s)
        # What another service cuts does not arrive here in any case.
        share = 1.0
        if context.limited_by == self.service:
            share = context.admitted_share
        self._demand.record_arrival(context.priority, work_s, share)
        if self.shares is not None and self.shares.active:
            self.shares.record(context, work_s)

    def _record_wait(self, delay_s: float) -> None:
        pass


@KINDS.register("limit")
class LimitAdmission(admission_queue.QueueAdmission):
    """Baseline: a concurrency limit per hop, first come first served."""

    def _order(self, context: context_lib.RequestContext) -> tuple[int, ...]:
        return ()


@KINDS.register("none")
class NoAdmission(admission_queue.QueueAdmission):
    """Baseline: all requests go to the backend server at once."""

    def _order(self, context: context_lib.RequestContext) -> tuple[int, ...]:
        return ()

    def _start(self, now_s: float) -> tuple[str, ...]:
        started = []
        while self._heap:
            _, _, waiting = self._heap[0]
            if not waiting.removed:
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
    """Creates admission of the kind that the policy names.

    Args:
        admission_policy: The kind and its parameters.
        limit: Limit on concurrent requests.
        now_s: The current time.
        rate: Rate limit that the backend server reports. Defaults to one that
            is never set.

    Raises:
        UnknownVariantError: The policy's kind is not registered.
    """
    kind = KINDS.get(admission_policy.kind)
    rate = rate or rate_limits.RateLimit()
    return kind(admission_policy, limit, rate, now_s)
