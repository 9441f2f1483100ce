"""Async admission gate in front of a backend server.

A call waits at the gate until it gets a slot or is refused, as decided by
`burdockfront.admission`. A slot is held from `enter` (if that returns no
refusal) to `leave`.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from burdockfront import admission as admission_lib
from burdockfront import admission_queue
from burdockfront import context as context_lib
from burdockfront import fair_shares
from burdockfront import levels
from burdockfront import limits
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import rate_limits
from burdockfront_node import backend as backend_lib


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    context: context_lib.RequestContext
    settled: asyncio.Future[outcomes.Answer | None]


class Gate:
    """Admits calls to the slots of one backend server.

    Args:
        announcement: The backend server's first announcement.
        policy_of: Returns the active policy of a service.
        rate: Token bucket for the rate limit that the backend server reports.
        shares: Measures the work of client accounts; None if unused.

    Attributes:
        cancelled: Number of calls whose callers left while they waited.
    """

    def __init__(
        self,
        announcement: backend_lib.Announcement,
        policy_of: Callable[[str], policy_lib.Policy],
        rate: rate_limits.RateLimit,
        shares: fair_shares.ShareMeter | None = None,
    ):
        now_s = time.monotonic()
        self._service = announcement.service
        self._rate = rate
        self._policy_of = policy_of
        self._policy = policy_of(announcement.service)
        self._is_scarce = False
        rules = self._rules_of(self._policy)
        self._limit = limits.ConcurrencyLimit(
            announcement.slots,
            rules.ramp_s,
            now_s,
            cold=announcement.state == "cold",
        )
        self._admission = admission_lib.create(rules, self._limit, now_s, rate)
        self._admission.service = announcement.service
        self._shares = shares
        self._admission.shares = shares
        self._waiting: dict[str, _Waiting] = {}
        self.cancelled = 0

    @property
    def in_flight(self) -> int:
        """Number of calls that wait or hold a slot."""
        return self._admission.in_use + len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether the next call would have to wait."""
        now_s = time.monotonic()
        if self._rate.per_s is not None and self._rate.wait_s(1, now_s) > 0.0:
            return True
        return self._admission.in_use >= self._limit.current(now_s)

    @property
    def under_pressure(self) -> bool:
        """Whether calls wait or are refused."""
        return bool(self._waiting) or self.level() < levels.OPEN

    @property
    def slots(self) -> int:
        """Accepted part of the slots that the backend server claims."""
        return self._limit.slots

    @property
    def spreads_level(self) -> bool:
        """Whether the level is sent with answers of other services, too."""
        return self._admission.spreads_level

    @property
    def min_recorded_step(self) -> int:
        """Smallest change of the level that is recorded as an event."""
        return self._admission.min_recorded_step

    def level(self) -> int:
        """Returns the highest admitted priority number."""
        return self._admission.level()

    def busy(self) -> float:
        """Returns the recent slot utilisation that the level is based on."""
        return self._admission.busy()

    def load(self) -> float:
        """Returns the calls that wait or hold a slot, per slot."""
        return self._admission.load(time.monotonic())

    def announce(self, slots: int, cold: bool) -> None:
        """Processes a further announcement of the same service."""
        self._limit.announce(slots, cold, time.monotonic())

    def on_restart(self) -> None:
        """Accepts the slots of the next announcement without proof."""
        self._limit.on_restart()

    def shed_by_backend(self) -> None:
        """Records that the backend server itself refused a request."""
        self._admission.shed_by_backend(time.monotonic())

    async def enter(
        self, context: context_lib.RequestContext
    ) -> outcomes.Answer | None:
        """Waits for a slot; returns a refusal, or None with a slot."""
        attempt_id = context.attempt_id
        step = self._admission.offer(attempt_id, context, time.monotonic())
        if step.started == (attempt_id,) and not step.refused:
            # Nearly always: a slot is free, and nothing has to be awaited.
            return None
        future = asyncio.get_running_loop().create_future()
        self._waiting[attempt_id] = _Waiting(context, future)
        self._apply(step)
        try:
            refusal: outcomes.Answer | None = await future
        except asyncio.CancelledError:
            self._on_cancelled(attempt_id, future)
            raise
        finally:
            self._waiting.pop(attempt_id, None)
        return refusal

    def leave(
        self,
        service_s: float,
        class_name: str = "",
        waited_below_s: float = 0.0,
    ) -> None:
        """Returns a slot.

        Args:
            service_s: Time for which it was used.
            class_name: Class of the request; empty if it was not served.
            waited_below_s: Part of that time for which the calls of the request
                waited for slots of other services.
        """
        now_s = time.monotonic()
        if class_name:
            self._admission.record_service_time(
                class_name, service_s, waited_below_s
            )
        self._apply(self._admission.release(service_s, now_s))

    def tick(self) -> None:
        """Advances time-based decisions and applies a changed policy."""
        policy = self._policy_of(self._service)
        if policy is not self._policy:
            self._apply_policy(policy)
        self._apply(self._admission.advance(time.monotonic()))

    def set_scarce(self, is_scarce: bool) -> None:
        """Sets whether the system has a scarce service."""
        if is_scarce is not self._is_scarce:
            self._is_scarce = is_scarce
            self._apply_policy(self._policy)

    def _rules_of(
        self, policy: policy_lib.Policy
    ) -> policy_lib.AdmissionPolicy:
        """Returns the rules of a policy, with the kind that is in force."""
        rules = policy.admission
        if self._is_scarce and rules.scarce_kind is not None:
            rules = dataclasses.replace(rules, kind=rules.scarce_kind)
        self._rules = rules
        return rules

    def _apply_policy(self, policy: policy_lib.Policy) -> None:
        before = self._rules
        self._policy = policy
        rules = self._rules_of(policy)
        if rules.kind == before.kind:
            self._admission.update_policy(rules)
            return
        # A policy has to take effect within seconds, but under load there may
        # never be a moment without requests. Requests that hold a slot keep it;
        # waiting ones are queued again.
        now_s = time.monotonic()
        fresh = admission_lib.create(rules, self._limit, now_s, self._rate)
        fresh.in_use = self._admission.in_use
        fresh.service = self._service
        fresh.shares = self._shares
        if self._shares is not None:
            # Only some kinds update it; another one would name the same
            # accounts for good.
            self._shares.reset()
        self._admission = fresh
        for attempt_id, waiting in list(self._waiting.items()):
            if not waiting.settled.done():
                self._apply(fresh.offer(attempt_id, waiting.context, now_s))

    def _on_cancelled(
        self,
        attempt_id: str,
        future: asyncio.Future[outcomes.Answer | None],
    ) -> None:
        self.cancelled += 1
        self._admission.cancel(attempt_id)
        # The call may have been granted a slot at the moment of its
        # cancellation; no other code would return that slot.
        has_slot = future.done() and not future.cancelled()
        if has_slot and future.result() is None:
            self.leave(0.0)

    def _apply(self, step: admission_queue.Step) -> None:
        """Resolves waiting calls as decided by the admission."""
        for item_id in step.started:
            self._settle(item_id, None)
        for refusal in step.refused:
            self._settle(refusal.item_id, refusal.answer)

    def _settle(self, item_id: str, refusal: outcomes.Answer | None) -> None:
        waiting = self._waiting.get(item_id)
        if waiting is not None and not waiting.settled.done():
            waiting.settled.set_result(refusal)
        elif refusal is None:
            # The caller has left; the slot goes to the next call.
            self.leave(0.0)
