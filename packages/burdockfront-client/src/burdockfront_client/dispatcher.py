"""Processes a call: chooses a guard, sends attempts, retries within limits.

After each attempt, `retry_decisions` decides whether another one follows.
"""

import random
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import admission
from burdockfront import allowance as allowance_lib
from burdockfront import fair_shares
from burdockfront import guards
from burdockfront import keyring as keyring_lib
from burdockfront import levels
from burdockfront import limit_level
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import routing
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import call_progress
from burdockfront_client import calls
from burdockfront_client import retry_decisions
from burdockfront_client import sender as sender_lib

# Share of the remaining time that one nested call may use. A request usually
# makes several calls one after the other, so no single call may use all of it.
_NESTED_CALL_SHARE = 0.5


class Dispatcher:
    """Sends calls to guards.

    Args:
        node_id: Id of this process, used as a prefix of generated ids.
        data_center: Data centre of this process.
        keys: Keys that sign contexts and tickets.
        policy_of: Returns the active policy of a service.
        recorder: Records events.
        ticket_lifetime_s: Lifetime of tickets minted here.
        rng: Source of randomness.
        source_ip: Local IP address of outgoing connections; None lets the
            system choose.
        retry_burst: Retries of a service that are permitted before any are
            earned.
        waits_past_deadline: See `sender.Sender`.
        answers_name_attempts: See `retry_decisions.RetryDecisions`.

    Attributes:
        observer: Called with each call and its final answer, where contexts are
            not propagated; None if unused.
        router: Chooses the guard of each attempt.
        level_tracker: Admission levels of the called services.
        share_tracker: Accounts above their fair share of these services.
        counters: Totals of this dispatcher.
        sender: Sends single attempts.
    """

    def __init__(
        self,
        node_id: str,
        data_center: str,
        keys: keyring_lib.KeyRing,
        policy_of: Callable[[str], policy_lib.Policy],
        recorder: timeline.Recorder,
        ticket_lifetime_s: float,
        rng: random.Random,
        source_ip: str | None = None,
        retry_burst: float = allowance_lib.DEFAULT_BURST,
        waits_past_deadline: bool = False,
        answers_name_attempts: bool = True,
    ):
        self.observer: Callable[[calls.Call, outcomes.Answer], None] | None
        self.observer = None
        self.router = routing.Router(data_center, rng)
        self.level_tracker = levels.LevelTracker()
        self.share_tracker = fair_shares.ShareTracker(self.level_tracker)
        self.counters = calls.Counters()
        self.sender = sender_lib.Sender(
            node_id,
            keys,
            self.router,
            self.level_tracker,
            self.share_tracker,
            recorder,
            self.counters,
            source_ip,
            waits_past_deadline,
        )
        self._node_id = node_id
        self._policy_of = policy_of
        self._ticket_lifetime_s = ticket_lifetime_s
        self._rng = rng
        self._retry_decisions = retry_decisions.RetryDecisions(
            policy_of,
            self.counters,
            retry_burst,
            answers_name_attempts,
            lambda service: len(self.router.targets_of(service)),
        )

    @property
    def tracked_services(self) -> int:
        """Number of services with a stored retry ratio."""
        return self._retry_decisions.tracked_services

    def set_retry_burst(self, burst: float) -> None:
        """Sets how many retries of a service are permitted unearned."""
        self._retry_decisions.set_retry_burst(burst)

    def count_early_refusal(self, service: str, now_s: float) -> None:
        """Counts new work that was refused before its call was built.

        It earns retries of its service like one that is refused here.
        """
        self.counters.calls += 1
        self.counters.early_refusals += 1
        self._retry_decisions.count_early_refusal(service, now_s)

    def new_id(self) -> str:
        """Returns an id that is unique across processes."""
        return f"{self._node_id}-{self._rng.getrandbits(48):012x}"

    def mint(
        self, service: str, tried: frozenset[str] = frozenset()
    ) -> tickets.Ticket | None:
        """Returns a ticket of the guard that would be chosen now.

        Args:
            service: Service of the ticket.
            tried: Guards to leave out.

        Returns:
            The ticket, or None if there is no guard to choose.
        """
        owner = self.router.choose(
            service, tried, time.monotonic(), probe=False
        )
        return self.mint_for(owner) if owner is not None else None

    def mint_for(self, owner: guards.Target) -> tickets.Ticket:
        """Returns a ticket owned by one guard."""
        return tickets.Ticket(
            nonce=self.new_id(),
            service=owner.service,
            owner=owner.node_id,
            boot_id=owner.boot_id,
            expires_s=time.time() + self._ticket_lifetime_s,
        )

    async def call(self, call: calls.Call) -> outcomes.Answer:
        """Processes a call and returns its final answer."""
        answer = await self._process(call)
        if self.observer is not None:
            self.observer(call, answer)
        return answer

    def _process(self, call: calls.Call) -> Awaitable[outcomes.Answer]:
        self.counters.calls += 1
        if call.context.depth > 0 and self.observer is None:
            # Only calls of this node's own backend server are nested in its
            # requests. A request that merely enters here would mix the level
            # of its service into that of another service.
            self.level_tracker.record_call(
                call.context.class_name, call.service, time.monotonic()
            )
        if not self.router.knows(call.service):
            # No state is kept for an unknown service: callers can invent any
            # number of names.
            progress = call_progress.Progress(lost=call.ticket is not None)
            return _return(
                call_progress.downgrade_unproven(
                    self._no_target(call, progress), progress
                )
            )
        self._retry_decisions.first_try(call)
        if call.ticket is not None:
            return self._call_owner(call, call.ticket)
        return self._call_any_guard(call)

    async def _call_any_guard(self, call: calls.Call) -> outcomes.Answer:
        """Sends a call that any guard may answer, to one guard at a time."""
        progress = call_progress.Progress()
        while True:
            target = self._choose(call, progress)
            if isinstance(target, outcomes.Answer):
                return call_progress.downgrade_unproven(target, progress)
            progress.tried.add(target.node_id)
            progress.last = target
            if call.idempotent:
                result = await self._send(call, target, None)
            else:
                result = await self._send_once(call, target, progress)
            if call_progress.may_have_arrived(result):
                call.arrivals += 1
                progress.handed.add(target.node_id)
            final = self._retry_decisions.decide(call, result, progress)
            if final is not None:
                return call_progress.downgrade_unproven(final, progress)

    async def _send_once(
        self,
        call: calls.Call,
        target: guards.Target,
        progress: call_progress.Progress,
    ) -> calls.AttemptResult:
        """Sends a call that must run at most once, with a newly minted ticket.

        No other call can have used this ticket, so a refusal by its owner
        proves that nothing ran, and the caller of this method may try another
        owner with another ticket. If the answer is lost, it is requested again
        from the same owner, whose ledger replays it.
        """
        ticket = self.mint_for(target)
        result = await self._send(call, target, ticket)
        lost = result.delivery is calls.Delivery.LOST
        while result.delivery is not calls.Delivery.ANSWERED and lost:
            if not self._retry_decisions.may_retry(call, progress):
                unknown = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
                return calls.AttemptResult(calls.Delivery.ANSWERED, unknown)
            result = await self._send(call, target, ticket)
        return result

    async def _call_owner(
        self, call: calls.Call, ticket: tickets.Ticket
    ) -> outcomes.Answer:
        """Sends a call with the caller's ticket, to the ticket's owner only.

        Only the owner's answer can prove `not-run` here: an earlier attempt
        with the same ticket may still be running at the owner.
        """
        progress = call_progress.Progress()
        max_owners = 1 + self._policy_of(call.service).retry.reroutes
        for _ in range(max_owners):
            owner = self.router.find(call.service, ticket.owner)
            if owner is None or owner.boot_id != ticket.boot_id:
                return outcomes.unknown(outcomes.Reason.TICKET_OWNER_GONE)
            answer = await self._send_to_owner(call, owner, ticket, progress)
            if answer.moved_to is None:
                return answer
            ticket = tickets.decode(answer.moved_to, self.sender.keys)
        return outcomes.unknown(
            outcomes.Reason.DRAINING, admission.RETRY_AFTER_S
        )

    async def _send_to_owner(
        self,
        call: calls.Call,
        owner: guards.Target,
        ticket: tickets.Ticket,
        progress: call_progress.Progress,
    ) -> outcomes.Answer:
        while True:
            result = await self._send(call, owner, ticket)
            if result.answer is not None:
                return result.answer
            if not self._retry_decisions.may_retry(call, progress):
                return outcomes.unknown(
                    outcomes.Reason.LOST_ANSWER, admission.RETRY_AFTER_S
                )

    async def _send(
        self,
        call: calls.Call,
        target: guards.Target,
        ticket: tickets.Ticket | None,
    ) -> calls.AttemptResult:
        policy = self._policy_of(call.service)
        timeout_s = call.deadline_s - time.monotonic()
        if timeout_s < retry_decisions.MIN_REMAINING_S:
            timeout_s = retry_decisions.MIN_REMAINING_S
        if ticket is None and timeout_s > policy.attempt_timeout_s:
            timeout_s = policy.attempt_timeout_s
        result = await self.sender.send(
            call,
            target,
            ticket,
            timeout_s,
            policy.attempt_timeout_s,
            policy.body_limit_bytes,
        )
        call.trail.append(f"{target.node_id}: {_trail_entry(result)}")
        return result

    def _choose(
        self, call: calls.Call, progress: call_progress.Progress
    ) -> guards.Target | outcomes.Answer:
        now_s = time.monotonic()
        if call.deadline_s - now_s <= retry_decisions.MIN_REMAINING_S:
            return outcomes.not_run(
                outcomes.Reason.DEADLINE, admission.RETRY_AFTER_S
            )
        if len(progress.handed) >= call.max_backends:
            if not self._retry_decisions.may_ask_again(call):
                return self._no_target(call, progress)
            return self._last_guard(call, progress)
        tried = frozenset(progress.tried)
        class_name = call.context.class_name
        target = self.router.choose(
            call.service,
            tried,
            now_s,
            class_name=class_name,
            limit_s=_limit_s(call, now_s),
            allow_limited=limit_level.takes_precedence(call.context),
        )
        if target is None and progress.lost:
            # All guards were tried; after a lost answer one may be tried again.
            target = self.router.choose(call.service, frozenset(), now_s)
        if target is None:
            return self._no_target(call, progress)
        if self._exceeds_path_level(call, now_s):
            self.counters.early_refusals += 1
            return outcomes.not_run(
                outcomes.Reason.OVERLOAD_DEEPER, admission.RETRY_AFTER_S
            )
        return target

    def _last_guard(
        self, call: calls.Call, progress: call_progress.Progress
    ) -> guards.Target | outcomes.Answer:
        """Returns the last guard, for a call that reached `max_backends`."""
        last = progress.last
        assert last is not None
        known = self.router.find(call.service, last.node_id)
        if known is None or known.draining or known.boot_id != last.boot_id:
            return self._no_target(call, progress)
        return known

    def _exceeds_path_level(self, call: calls.Call, now_s: float) -> bool:
        """Whether the priority of a new request exceeds its path's level.

        Routed nodes refuse most of these before they build a call. This check
        covers the other ways in, and levels that arrived in the meantime.
        """
        context = call.context
        if context.depth > 0:
            return False
        return self.level_tracker.refuses(
            call.service, context.class_name, context.priority, now_s
        )

    def _no_target(
        self, call: calls.Call, progress: call_progress.Progress
    ) -> outcomes.Answer:
        if progress.refusal is not None:
            return progress.refusal
        limited_s = self.router.limit_ends_in_s(call.service, time.monotonic())
        if limited_s is not None:
            self.counters.early_refusals += 1
            return outcomes.not_run(outcomes.Reason.LIMITED, limited_s)
        known = self.router.targets_of(call.service)
        reason = outcomes.Reason.NO_SUCH_SERVICE
        if known or call.context.depth > 0:
            reason = outcomes.Reason.NO_BACKEND
        return outcomes.not_run(reason, admission.RETRY_AFTER_S)


async def _return(answer: outcomes.Answer) -> outcomes.Answer:
    return answer


def _limit_s(call: calls.Call, now_s: float) -> float:
    """Returns the latency beyond which an answer is of little value."""
    limit_s = min(call.target_s, call.deadline_s - now_s)
    if call.context.depth > 0:
        limit_s *= _NESTED_CALL_SHARE
    return limit_s


def _trail_entry(result: calls.AttemptResult) -> str:
    """Returns the result of an attempt in one word, for logs."""
    if result.answer is None:
        return result.delivery.value
    return result.answer.reason or result.answer.outcome
