"""The guard: everything that reaches the backend server passes here.

A call is first matched with the ledger (if it must not repeat), then waits
for admission, and is handed over. Because the guard is in the data path, the
promises hold without trusting any other node's view: at most once, the
shedding order, and no new work for a backend server that is leaving.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from burdockfront import admission as admission_lib
from burdockfront import context as context_lib
from burdockfront import ledger as ledger_lib
from burdockfront import limits
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import stalls
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import attempts as attempts_lib
from burdockfront_client import calls
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_client import peers as peers_lib
from burdockfront_node import backend as backend_lib
from burdockfront_node import handover as handover_lib

# After the announcement of a drain, calls of routers that have not heard of
# it yet are still served this long; the promise is "after a few seconds".
_DRAIN_GRACE_S = 2.0
_TICK_S = 0.02


@dataclasses.dataclass(slots=True)
class GuardCounters:
    """What a guard did, for metrics."""

    handed_over: int = 0
    refused: int = 0
    replayed: int = 0
    cancelled: int = 0
    unknown: int = 0


class Guard:
    """Protects one backend server.

    Args:
        node_id: This node.
        boot_id: This process.
        ledger: Tickets of this process.
        dispatcher: For the path level and for successor tickets.
        attempts: Open attempts, for the backend server's deeper calls.
        policy_of: Returns the policy in force of a service.
        recorder: Where events go.
        wall_s: A wall clock that never steps back.
    """

    def __init__(
        self,
        node_id: str,
        boot_id: str,
        ledger: ledger_lib.Ledger,
        dispatcher: dispatcher_lib.Dispatcher,
        attempts: attempts_lib.AttemptBook,
        policy_of: Callable[[str], policy_lib.Policy],
        recorder: timeline.Recorder,
        wall_s: Callable[[], float],
    ):
        self.node_id = node_id
        self.boot_id = boot_id
        self.ledger = ledger
        self.counters = GuardCounters()
        self.announcement: backend_lib.Announcement | None = None
        self._dispatcher = dispatcher
        self._handover = handover_lib.Handover(
            peers_lib.Peers(), dispatcher.sender.keys, attempts
        )
        self._policy_of = policy_of
        self._recorder = recorder
        self._wall_s = wall_s
        self._admission: admission_lib.Admission | None = None
        self._policy: policy_lib.Policy | None = None
        self._limit: limits.ConcurrencyLimit | None = None
        self._waiting: dict[str, asyncio.Future[outcomes.Answer | None]] = {}
        self._running: dict[str, asyncio.Task[outcomes.Answer]] = {}
        self._draining_since_s: float | None = None
        self._stalls = stalls.StallDetector()

    @property
    def in_flight(self) -> int:
        """Calls that wait or run here."""
        in_use = self._admission.in_use if self._admission else 0
        return in_use + len(self._waiting)

    @property
    def draining(self) -> bool:
        """Whether it is leaving."""
        return self._draining_since_s is not None

    @property
    def takes_work(self) -> bool:
        """Whether routers should send anything here."""
        return not self.draining and not self._stalls.stalled

    def level(self) -> int:
        """Returns the level of this guard alone."""
        return self._admission.level() if self._admission else 0

    def load(self) -> float:
        """Returns slots used and waited for, per slot."""
        if self._admission is None:
            return 0.0
        return self._admission.load(time.monotonic())

    def announce(self, announcement: backend_lib.Announcement) -> None:
        """Takes an announcement of the backend server."""
        now_s = time.monotonic()
        before = self.announcement
        self.announcement = announcement
        self._stalls.announced(now_s)
        if announcement.draining:
            self.drain()
        elif before is not None and before.draining:
            self._draining_since_s = None
        cold = announcement.state == "cold" and (
            before is None or before.state != "cold"
        )
        if self._limit is None or self._admission is None:
            self._create_admission(announcement, now_s)
        assert self._limit is not None
        self._limit.announce(announcement.slots, cold, now_s)

    def withdraw(self) -> None:
        """Notes that the backend server has gone silent."""
        self.announcement = None

    def drain(self) -> None:
        """Takes no new work from now on, after a short grace."""
        if self._draining_since_s is None:
            self._draining_since_s = time.monotonic()

    def resume(self) -> None:
        """Takes work again after an operator's drain was taken back."""
        announced = self.announcement
        if announced is None or not announced.draining:
            self._draining_since_s = None

    async def handle(self, attempt: calls.Attempt) -> outcomes.Answer:
        """Serves one attempt, from the network or from this node."""
        if attempt.ticket is not None:
            answer = await self._with_ticket(attempt, attempt.ticket)
        elif attempt.call.idempotent:
            answer = await self._run(attempt)
        else:
            answer = outcomes.not_run(outcomes.Reason.TICKET_NEEDED)
        return self._with_state(attempt.context, answer)

    def look_up(self, ticket: tickets.Ticket) -> ledger_lib.Verdict:
        """Tells what is known of a ticket, without running anything."""
        return self.ledger.look_up(ticket, self._wall_s())

    async def tick_forever(self) -> None:
        """Lets queued calls expire and the level move."""
        while True:
            await asyncio.sleep(_TICK_S)
            self._tick()

    def _tick(self) -> None:
        admission = self._admission
        if admission is None:
            return
        self._adopt_policy(admission)
        now_s = time.monotonic()
        self._stalls.check(now_s)
        self._follow(admission.advance(now_s))

    def _adopt_policy(self, admission: admission_lib.Admission) -> None:
        if self.announcement is None or self._policy is None:
            return
        policy = self._policy_of(self.announcement.service)
        if policy is self._policy:
            return
        changed_kind = policy.admission.kind != self._policy.admission.kind
        self._policy = policy
        if changed_kind and self.in_flight == 0:
            self._create_admission(self.announcement, time.monotonic())
        else:
            admission.adopt(policy.admission)

    def _create_admission(
        self, announcement: backend_lib.Announcement, now_s: float
    ) -> None:
        self._policy = self._policy_of(announcement.service)
        rules = self._policy.admission
        cold = announcement.state == "cold"
        self._limit = limits.ConcurrencyLimit(
            announcement.slots, rules.ramp_s, now_s, cold
        )
        self._admission = admission_lib.create(rules, self._limit, now_s)

    async def _with_ticket(
        self, attempt: calls.Attempt, ticket: tickets.Ticket
    ) -> outcomes.Answer:
        verdict = self.ledger.begin(ticket, self._wall_s())
        match verdict.decision:
            case ledger_lib.Decision.RUN:
                return await self._start_ticket(attempt, ticket)
            case ledger_lib.Decision.WAIT:
                return await self._wait_for(ticket, attempt.context)
            case ledger_lib.Decision.FORWARD:
                moved = outcomes.unknown(outcomes.Reason.DRAINING)
                return dataclasses.replace(moved, moved_to=verdict.moved_to)
            case _:
                assert verdict.answer is not None
                self.counters.replayed += 1
                return dataclasses.replace(verdict.answer, unspent=0)

    async def _start_ticket(
        self, attempt: calls.Attempt, ticket: tickets.Ticket
    ) -> outcomes.Answer:
        """Runs a ticket in a task of its own.

        A caller that hangs up must not cancel it: the confirmation may be
        under way, and the caller's repeat wants its answer.
        """
        task = asyncio.create_task(self._run_ticket(attempt, ticket))
        self._running[ticket.nonce] = task
        task.add_done_callback(
            lambda done: self._running.pop(ticket.nonce, None)
        )
        return await asyncio.shield(task)

    async def _wait_for(
        self, ticket: tickets.Ticket, context: context_lib.RequestContext
    ) -> outcomes.Answer:
        task = self._running.get(ticket.nonce)
        if task is not None:
            done, _ = await asyncio.wait([task], timeout=context.remaining_s)
            if done:
                return dataclasses.replace(task.result(), unspent=0)
        return outcomes.unknown(
            outcomes.Reason.STILL_RUNNING, admission_lib.RETRY_AFTER_S
        )

    async def _run_ticket(
        self, attempt: calls.Attempt, ticket: tickets.Ticket
    ) -> outcomes.Answer:
        refusal = await self._admit(attempt)
        if refusal is not None:
            return self._refuse_ticket(attempt, ticket, refusal)
        self.ledger.hand_over(ticket.nonce)
        answer = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
        try:
            answer = await self._hand_over(attempt, ticket.nonce)
        finally:
            if answer.outcome is outcomes.Outcome.NOT_RUN:
                self.ledger.vouched(ticket.nonce, answer)
            else:
                self.ledger.finish(ticket.nonce, answer)
        return answer

    def _refuse_ticket(
        self,
        attempt: calls.Attempt,
        ticket: tickets.Ticket,
        refusal: outcomes.Answer,
    ) -> outcomes.Answer:
        """Moves a ticket of a leaving backend server, or closes it."""
        leaving = refusal.reason in (
            outcomes.Reason.DRAINING,
            outcomes.Reason.NO_BACKEND,
        )
        if leaving:
            successor = self._dispatcher.mint(
                ticket.service, frozenset([self.node_id])
            )
            if successor is not None and successor.owner != self.node_id:
                text = tickets.encode(successor, self._dispatcher.sender.keys)
                self.ledger.move(ticket.nonce, text)
                moved = outcomes.unknown(outcomes.Reason.DRAINING)
                return dataclasses.replace(moved, moved_to=text)
        self.ledger.close(ticket.nonce, refusal)
        return refusal

    async def _run(self, attempt: calls.Attempt) -> outcomes.Answer:
        refusal = await self._admit(attempt)
        if refusal is not None:
            return refusal
        return await self._hand_over(attempt, None)

    async def _admit(self, attempt: calls.Attempt) -> outcomes.Answer | None:
        """Waits for a slot; returns a refusal, or None when it has one."""
        refusal = self._unwilling(attempt)
        if refusal is not None:
            return self._refused(attempt, refusal)
        assert self._admission is not None
        attempt_id = attempt.context.attempt_id
        future = asyncio.get_running_loop().create_future()
        self._waiting[attempt_id] = future
        step = self._admission.offer(
            attempt_id, attempt.context, time.monotonic()
        )
        self._follow(step)
        try:
            refusal = await future
        except asyncio.CancelledError:
            self._give_back(attempt_id, future)
            raise
        finally:
            self._waiting.pop(attempt_id, None)
        if refusal is not None:
            return self._refused(attempt, refusal)
        return None

    def _unwilling(self, attempt: calls.Attempt) -> outcomes.Answer | None:
        announced = self.announcement
        retry_after_s = admission_lib.RETRY_AFTER_S
        if announced is None or self._admission is None:
            return outcomes.not_run(outcomes.Reason.NO_BACKEND, retry_after_s)
        if announced.service != attempt.call.service:
            return outcomes.not_run(
                outcomes.Reason.NO_SUCH_SERVICE, retry_after_s
            )
        since_s = self._draining_since_s
        if since_s is not None and (
            time.monotonic() - since_s > _DRAIN_GRACE_S
        ):
            return outcomes.not_run(outcomes.Reason.DRAINING, retry_after_s)
        if self._stalls.stalled:
            return outcomes.not_run(outcomes.Reason.UNREACHABLE, retry_after_s)
        return self._above_path_level(attempt)

    def _above_path_level(
        self, attempt: calls.Attempt
    ) -> outcomes.Answer | None:
        """Refuses a new request that would die in a deeper service."""
        context = attempt.context
        if context.depth > 0:
            return None
        path_level = self._dispatcher.book.path_level(
            context.class_name, time.monotonic()
        )
        if context.priority <= path_level:
            return None
        return outcomes.not_run(
            outcomes.Reason.OVERLOAD_DEEPER, admission_lib.RETRY_AFTER_S
        )

    def _give_back(
        self,
        attempt_id: str,
        future: asyncio.Future[outcomes.Answer | None],
    ) -> None:
        assert self._admission is not None
        self.counters.cancelled += 1
        self._admission.cancel(attempt_id)
        # It may have been given a slot in the very moment of the cancel;
        # then nobody else would ever return that slot.
        has_slot = future.done() and not future.cancelled()
        if has_slot and future.result() is None:
            self._follow(self._admission.release(0.0, time.monotonic()))

    def _follow(self, step: admission_lib.Step) -> None:
        """Tells waiting calls what was decided."""
        for item_id in step.started:
            self._settle(item_id, None)
        for refusal in step.refused:
            self._settle(refusal.item_id, refusal.answer)

    def _settle(self, item_id: str, refusal: outcomes.Answer | None) -> None:
        future = self._waiting.get(item_id)
        if future is not None and not future.done():
            future.set_result(refusal)
        elif refusal is None and self._admission is not None:
            # Its caller has gone: the slot goes to the next one.
            self._follow(self._admission.release(0.0, time.monotonic()))

    async def _hand_over(
        self, attempt: calls.Attempt, nonce: str | None
    ) -> outcomes.Answer:
        assert self._admission is not None
        assert self.announcement is not None or nonce is not None
        admission = self._admission
        started_s = time.monotonic()
        self.counters.handed_over += 1
        self._record("call.handed-over", attempt)
        self._stalls.handed(started_s)
        answer: outcomes.Answer | None = None
        try:
            answer = await self._to_backend(attempt, nonce)
        finally:
            now_s = time.monotonic()
            service_s = now_s - started_s
            self._note_end(answer, service_s, now_s)
            self._follow(admission.release(service_s, now_s))
        self._record(
            "call.answered",
            attempt,
            outcome=answer.outcome.value,
            status=answer.status,
            service_s=round(service_s, 4),
        )
        return answer

    async def _to_backend(
        self, attempt: calls.Attempt, nonce: str | None
    ) -> outcomes.Answer:
        announced = self.announcement
        if announced is None:
            return outcomes.not_run(
                outcomes.Reason.NO_BACKEND, admission_lib.RETRY_AFTER_S
            )
        limit_bytes = self._policy_of(announced.service).body_limit_bytes
        return await self._handover.run(announced, attempt, nonce, limit_bytes)

    def _note_end(
        self, answer: outcomes.Answer | None, service_s: float, now_s: float
    ) -> None:
        """Learns from how a hand-over ended, while its slot is still held."""
        assert self._admission is not None
        unanswered = answer is None or (
            answer.outcome is outcomes.Outcome.UNKNOWN
        )
        if unanswered:
            self._stalls.gave_up()
            return
        assert answer is not None
        self._stalls.answered(service_s, now_s)
        if answer.reason is outcomes.Reason.OVERLOAD:
            self._admission.shed_by_backend(now_s)

    def _refused(
        self, attempt: calls.Attempt, refusal: outcomes.Answer
    ) -> outcomes.Answer:
        self.counters.refused += 1
        reason = refusal.reason.value if refusal.reason else ""
        self._record(
            "call.refused",
            attempt,
            reason=reason,
            priority=attempt.context.priority,
            level=self.level(),
        )
        unspent = attempt.context.allowance
        return dataclasses.replace(refusal, unspent=unspent)

    def _with_state(
        self, context: context_lib.RequestContext, answer: outcomes.Answer
    ) -> outcomes.Answer:
        """Adds what the asking side should know of this guard."""
        level = self.level()
        if answer.level is not None:
            level = min(level, answer.level)
        path_level = self._dispatcher.book.path_level(
            context.class_name, time.monotonic()
        )
        if answer.outcome is outcomes.Outcome.UNKNOWN:
            self.counters.unknown += 1
        return dataclasses.replace(
            answer,
            level=min(level, path_level) if self.takes_work else None,
            load=self.load(),
            draining=not self.takes_work or self.announcement is None,
        )

    def _record(
        self, kind: str, attempt: calls.Attempt, **detail: object
    ) -> None:
        self._recorder.record(
            time.time(),
            kind,
            attempt.context.request_id,
            attempt=attempt.context.attempt_id,
            service=attempt.call.service,
            class_name=attempt.context.class_name,
            **detail,
        )
