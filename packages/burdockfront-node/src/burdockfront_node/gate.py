"""The gate before a backend server: waits for a slot, or is refused.

Decisions are `burdockfront.admission`; this turns them into awaits. A slot is
held from `enter` (when it returns no refusal) to `leave`.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from burdockfront import admission as admission_lib
from burdockfront import admission_queue
from burdockfront import context as context_lib
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
    """Slots of one backend server.

    Args:
        announcement: What the backend server said of itself first.
        policy_of: Returns the policy in force of a service.
        rate: The rate that the backend server names on its answers.
    """

    def __init__(
        self,
        announcement: backend_lib.Announcement,
        policy_of: Callable[[str], policy_lib.Policy],
        rate: rate_limits.RateLimit,
    ):
        now_s = time.monotonic()
        self._service = announcement.service
        self._rate = rate
        self._policy_of = policy_of
        self._policy = policy_of(announcement.service)
        rules = self._policy.admission
        self._limit = limits.ConcurrencyLimit(
            announcement.slots,
            rules.ramp_s,
            now_s,
            cold=announcement.state == "cold",
        )
        self._admission = admission_lib.create(rules, self._limit, now_s, rate)
        self._waiting: dict[str, _Waiting] = {}
        self.cancelled = 0

    @property
    def in_flight(self) -> int:
        """Calls that wait or hold a slot."""
        return self._admission.in_use + len(self._waiting)

    @property
    def full(self) -> bool:
        """Whether the next call waits."""
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
        """Slots of the backend server, as far as its claim is believed."""
        return self._limit.slots

    def level(self) -> int:
        """Returns the highest admitted priority number."""
        return self._admission.level()

    def busy(self) -> float:
        """Returns the share of slots in use lately, as the level sees it."""
        return self._admission.busy()

    def load(self) -> float:
        """Returns slots used and waited for, per slot."""
        return self._admission.load(time.monotonic())

    def announce(self, slots: int, cold: bool) -> None:
        """Takes a further announcement of the same service."""
        self._limit.announce(slots, cold, time.monotonic())

    def on_restart(self) -> None:
        """Takes the next announcement at its word."""
        self._limit.on_restart()

    def shed_by_backend(self) -> None:
        """Learns that the backend server itself refused."""
        self._admission.shed_by_backend(time.monotonic())

    async def enter(
        self, context: context_lib.RequestContext
    ) -> outcomes.Answer | None:
        """Waits for a slot; returns a refusal, or None with a slot."""
        attempt_id = context.attempt_id
        future = asyncio.get_running_loop().create_future()
        self._waiting[attempt_id] = _Waiting(context, future)
        now_s = time.monotonic()
        self._follow(self._admission.offer(attempt_id, context, now_s))
        try:
            refusal: outcomes.Answer | None = await future
        except asyncio.CancelledError:
            self._give_back(attempt_id, future)
            raise
        finally:
            self._waiting.pop(attempt_id, None)
        return refusal

    def leave(self, service_s: float, class_name: str = "") -> None:
        """Gives a slot back.

        Args:
            service_s: How long it was used.
            class_name: Class of the request, if it was served.
        """
        now_s = time.monotonic()
        if class_name:
            self._admission.record_service_time(class_name, service_s)
        self._follow(self._admission.release(service_s, now_s))

    def tick(self) -> None:
        """Lets time pass, and takes a changed policy."""
        policy = self._policy_of(self._service)
        if policy is not self._policy:
            self._adopt(policy)
        self._follow(self._admission.advance(time.monotonic()))

    def _adopt(self, policy: policy_lib.Policy) -> None:
        before = self._policy
        self._policy = policy
        if policy.admission.kind == before.admission.kind:
            self._admission.update_policy(policy.admission)
            return
        # Under load there may never be a moment without requests, and a
        # policy has to be in force within seconds: those that hold a slot
        # keep it, those that wait queue up once more.
        now_s = time.monotonic()
        fresh = admission_lib.create(
            policy.admission, self._limit, now_s, self._rate
        )
        fresh.in_use = self._admission.in_use
        self._admission = fresh
        for attempt_id, waiting in list(self._waiting.items()):
            if not waiting.settled.done():
                self._follow(fresh.offer(attempt_id, waiting.context, now_s))

    def _give_back(
        self,
        attempt_id: str,
        future: asyncio.Future[outcomes.Answer | None],
    ) -> None:
        self.cancelled += 1
        self._admission.cancel(attempt_id)
        # It may have been given a slot in the very moment of the cancel;
        # then nobody else would ever return that slot.
        has_slot = future.done() and not future.cancelled()
        if has_slot and future.result() is None:
            self.leave(0.0)

    def _follow(self, step: admission_queue.Step) -> None:
        """Tells waiting calls what was decided."""
        for item_id in step.started:
            self._settle(item_id, None)
        for refusal in step.refused:
            self._settle(refusal.item_id, refusal.answer)

    def _settle(self, item_id: str, refusal: outcomes.Answer | None) -> None:
        waiting = self._waiting.get(item_id)
        if waiting is not None and not waiting.settled.done():
            waiting.settled.set_result(refusal)
        elif refusal is None:
            # Its caller has gone: the slot goes to the next one.
            self.leave(0.0)
