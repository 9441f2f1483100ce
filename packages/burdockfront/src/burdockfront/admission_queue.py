"""Base of all kinds of admission: slots with a bounded queue.

The queue is bounded by time, not by length: a request waits at most `queue_s`,
and a request whose deadline can't be met is refused at once. When a request
arrives while the queue holds more than can be served in `queue_s`, the requests
that are last in the queue's order are refused at once.
"""

import dataclasses
import heapq
import itertools

from burdockfront import context as context_lib
from burdockfront import fair_shares
from burdockfront import levels
from burdockfront import limits
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import rate_limits

_SERVICE_TIME_WEIGHT = 0.1
_MIN_QUEUE = 2
# Retry delay sent with a refusal: long enough that repeats don't add to the
# load that caused the refusal, short enough to recover within seconds.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request and the answer that it gets."""

    item_id: str
    answer: outcomes.Answer


@dataclasses.dataclass(slots=True)
class Step:
    """Result of an event: requests that start and that are refused.

    Instances are never modified. The class is not frozen, because a frozen one
    takes three times as long to create.
    """

    started: tuple[str, ...] = ()
    refused: tuple[Refusal, ...] = ()


@dataclasses.dataclass(slots=True)
class _Waiting:
    item_id: str
    order: tuple[int, ...]
    priority: int
    arrived_s: float
    expires_s: float
    long_wait: bool
    removed: bool = False


class QueueAdmission:
    """Slots with a time-bounded queue, in an order that subclasses define."""

    spreads_level = False
    min_recorded_step = 1

    def __init__(
        self,
        admission_policy: policy.AdmissionPolicy,
        limit: limits.ConcurrencyLimit,
        rate: rate_limits.RateLimit,
        now_s: float,
    ):
        self.in_use = 0
        self.service = ""
        self.shares: fair_shares.ShareMeter | None = None
        self._policy = admission_policy
        self._limit = limit
        self._rate = rate
        self._heap: list[tuple[tuple[int, ...], int, _Waiting]] = []
        self._by_id: dict[str, _Waiting] = {}
        self._sequence = itertools.count()
        self._service_s = 0.05
        self._busy_slot_s = 0.0
        self._counted_s = now_s
        self._window_begin_s = now_s

    def offer(
        self, item_id: str, context: context_lib.RequestContext, now_s: float
    ) -> Step:
        """Starts, queues or refuses a request."""
        if self._above_level(context):
            return self._refuse_new(item_id, outcomes.Reason.SHED)
        if context.remaining_s <= 0.0:
            return self._refuse_new(item_id, outcomes.Reason.DEADLINE)
        max_wait_s = self._max_wait_s(context)
        if self._rate.per_s is not None:
            self._record_offered(context)
            if self._token_wait_s(context, now_s) > max_wait_s:
                return Step(refused=(Refusal(item_id, self._limit_refusal()),))
        self._record_admitted(context)
        waiting = _Waiting(
            item_id,
            self._order(context),
            context.priority,
            now_s,
            now_s + max_wait_s,
            max_wait_s > self._policy.queue_s,
        )
        self._by_id[item_id] = waiting
        heapq.heappush(
            self._heap, (waiting.order, next(self._sequence), waiting)
        )
        started = self._start(now_s)
        return Step(started, self._trim(now_s))

    def release(self, service_s: float, now_s: float) -> Step:
        """Frees a slot, records the service time and starts queued requests."""
        assert self.in_use > 0, "a slot is released once"
        self._count_busy(now_s)
        self._limit.completed(service_s, self.in_use, now_s)
        self.in_use -= 1
        self._service_s += _SERVICE_TIME_WEIGHT * (service_s - self._service_s)
        refused = self._refuse_expired(now_s)
        return Step(self._start(now_s), refused)

    def cancel(self, item_id: str) -> None:
        """Removes a queued request whose caller disconnected."""
        waiting = self._by_id.pop(item_id, None)
        if waiting is not None:
            waiting.removed = True

    def advance(self, now_s: float) -> Step:
        """Refuses requests past their wait limit and starts what slots allow.

        The number of slots grows with time during a ramp.
        """
        refused = self._refuse_expired(now_s)
        return Step(self._start(now_s), refused)

    def level(self) -> int:
        """Returns the highest admitted priority number."""
        return levels.OPEN

    def load(self, now_s: float) -> float:
        """Returns the number of running and queued requests, per slot."""
        return (self.in_use + len(self._by_id)) / self._limit.current(now_s)

    def busy(self) -> float:
        """Returns 1.0; kinds without a level do not measure utilization."""
        return 1.0

    def record_service_time(
        self, class_name: str, service_s: float, waited_below_s: float
    ) -> None:
        """Does nothing; only kinds that follow the flow need service times."""

    def shed_by_backend(self, now_s: float) -> None:
        """Lowers the concurrency limit below the number of slots in use."""
        self._limit.shed_by_backend(self.in_use, now_s)

    def update_policy(self, new: policy.AdmissionPolicy) -> None:
        """Applies changed parameters."""
        self._policy = new
        self._limit.set_ramp(new.ramp_s)

    def _max_wait_s(self, context: context_lib.RequestContext) -> float:
        return min(self._policy.queue_s, context.remaining_s)

    def _order(self, context: context_lib.RequestContext) -> tuple[int, ...]:
        raise NotImplementedError

    def _above_level(self, context: context_lib.RequestContext) -> bool:
        return False

    def _record_offered(self, context: context_lib.RequestContext) -> None:
        """Records a request that arrived while a rate limit applies."""

    def _record_admitted(self, context: context_lib.RequestContext) -> None:
        pass

    def _record_wait(self, delay_s: float) -> None:
        pass

    def _record_dropped(self, priority: int) -> None:
        pass

    def _token_wait_s(
        self, context: context_lib.RequestContext, now_s: float
    ) -> float:
        """Returns how long a request would wait for a rate limit token."""
        order = self._order(context)
        ahead = sum(w.order <= order for w in self._by_id.values())
        return self._rate.wait_s(ahead + 1, now_s)

    def _limit_refusal(self) -> outcomes.Answer:
        """Returns the refusal of a request beyond the server's rate limit.

        It carries the time for which a router should avoid the server.
        """
        return outcomes.not_run(
            outcomes.Reason.LIMITED, self._rate.record_refusal()
        )

    def _refuse_new(self, item_id: str, reason: outcomes.Reason) -> Step:
        answer = outcomes.not_run(reason, RETRY_AFTER_S)
        return Step(refused=(Refusal(item_id, answer),))

    def _start(self, now_s: float) -> tuple[str, ...]:
        if not self._heap:
            return ()
        started = []
        self._count_busy(now_s)
        limit = self._limit.current(now_s)
        limited = self._rate.per_s is not None
        while self._heap and self.in_use < limit:
            _, _, waiting = self._heap[0]
            if waiting.removed:
                heapq.heappop(self._heap)
                continue
            if limited and not self._rate.take(now_s):
                break
            heapq.heappop(self._heap)
            del self._by_id[waiting.item_id]
            self.in_use += 1
            if not limited:
                self._record_wait(now_s - waiting.arrived_s)
            started.append(waiting.item_id)
        return tuple(started)

    def _count_busy(self, now_s: float) -> None:
        self._busy_slot_s += self.in_use * (now_s - self._counted_s)
        self._counted_s = now_s

    def _busy_share(self, now_s: float) -> float:
        """Returns the share of slots in use since the previous call."""
        self._count_busy(now_s)
        elapsed_s = max(1e-6, now_s - self._window_begin_s)
        share = self._busy_slot_s / elapsed_s / self._limit.current(now_s)
        self._busy_slot_s = 0.0
        self._window_begin_s = now_s
        return share

    def _refuse_expired(self, now_s: float) -> tuple[Refusal, ...]:
        if not self._by_id:
            return ()
        expired = [w for w in self._by_id.values() if w.expires_s <= now_s]
        return tuple(self._refuse(waiting) for waiting in expired)

    def _trim(self, now_s: float) -> tuple[Refusal, ...]:
        if len(self._by_id) <= _MIN_QUEUE:
            return ()
        limit = self._limit.current(now_s)
        bound = int(limit * self._policy.queue_s / max(self._service_s, 1e-3))
        excess = len(self._by_id) - max(_MIN_QUEUE, bound)
        if excess <= 0:
            return ()
        # Requests with a longer wait limit are not dropped for queue length.
        droppable = [w for w in self._by_id.values() if not w.long_wait]
        last = heapq.nlargest(
            excess, droppable, key=lambda w: (w.order, w.arrived_s)
        )
        return tuple(self._refuse(waiting) for waiting in last)

    def _refuse(self, waiting: _Waiting) -> Refusal:
        del self._by_id[waiting.item_id]
        waiting.removed = True
        if self._rate.per_s is not None:
            # Requests in this queue wait for tokens, not for slots, so a drop
            # is no sign of pressure on the slots.
            return Refusal(waiting.item_id, self._limit_refusal())
        self._record_dropped(waiting.priority)
        answer = outcomes.not_run(outcomes.Reason.OVERLOAD, RETRY_AFTER_S)
        return Refusal(waiting.item_id, answer)
