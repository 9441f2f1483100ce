"""Brings one call to an answer: choose, send, retry within the allowance.

What follows after an attempt is decided by `retry_decisions`.
"""

import random
import time
from collections.abc import Callable

from burdockfront import admission
from burdockfront import allowance as allowance_lib
from burdockfront import guards
from burdockfront import keyring as keyring_lib
from burdockfront import levels
from burdockfront import limit_level
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import routing
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_client import retry_decisions
from burdockfront_client import sender as sender_lib

# A call of a backend server is one of several that a request makes, one after
# the other, as a rule; no single one may take all the time that is left.
_SHARE_OF_A_CALL = 0.5


class Dispatcher:
    """Sends calls to guards.

    Args:
        node_id: Name of this process, for attempt ids.
        data_center: Where it runs.
        keys: Keys that sign contexts and tickets.
        policy_of: Returns the policy in force of a service.
        recorder: Where events go.
        ticket_lifetime_s: Lifetime of tickets minted here.
        rng: Source of randomness.
        source_ip: Own IP number that connections come from, if it matters.
        retry_burst: Retries of a service that may be saved up here.
        waits_past_deadline: See `sender.Sender`.
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
    ):
        # Learns from final answers, where contexts do not travel.
        self.observer: Callable[[calls.Call, outcomes.Answer], None] | None
        self.observer = None
        self.router = routing.Router(data_center, rng)
        self.level_tracker = levels.LevelTracker()
        self.counters = calls.Counters()
        self.sender = sender_lib.Sender(
            node_id,
            keys,
            self.router,
            self.level_tracker,
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
            policy_of, self.counters, retry_burst
        )

    @property
    def services_remembered(self) -> int:
        """Services that this process keeps a retry ratio for."""
        return self._retry_decisions.services_remembered

    def set_retry_burst(self, burst: float) -> None:
        """Takes how many retries of a service may be spent unearned."""
        self._retry_decisions.set_retry_burst(burst)

    def new_id(self) -> str:
        """Returns an id that no other process uses."""
        return f"{self._node_id}-{self._rng.getrandbits(48):012x}"

    def mint(
        self, service: str, tried: frozenset[str] = frozenset()
    ) -> tickets.Ticket | None:
        """Returns a ticket of the guard that would be chosen now."""
        owner = self.router.choose(
            service, tried, time.monotonic(), probe=False
        )
        return self.mint_for(owner) if owner is not None else None

    def mint_for(self, owner: guards.Target) -> tickets.Ticket:
        """Returns a ticket that names one guard as its owner."""
        return tickets.Ticket(
            nonce=self.new_id(),
            service=owner.service,
            owner=owner.node_id,
            boot_id=owner.boot_id,
            expires_s=time.time() + self._ticket_lifetime_s,
        )

    async def call(self, call: calls.Call) -> outcomes.Answer:
        """Brings a call to its final answer."""
        answer = await self._answer(call)
        if self.observer is not None:
            self.observer(call, answer)
        return answer

    async def _answer(self, call: calls.Call) -> outcomes.Answer:
        self.counters.calls += 1
        if call.context.depth > 0 and self.observer is None:
            # Only calls of our own backend server lie below its requests. A
            # request that merely enters here would pull the level of its
            # service into that of another one.
            self.level_tracker.record_call(
                call.context.class_name, call.service, time.monotonic()
            )
        if not self.router.targets_of(call.service):
            # Nothing may be kept for it: callers can make up names for ever.
            progress = retry_decisions.Progress(lost=call.ticket is not None)
            return retry_decisions.honest(
                self._no_target(call, progress), progress
            )
        self._retry_decisions.first_try(call)
        if call.ticket is not None:
            return await self._call_owner(call, call.ticket)
        return await self._call_anyone(call)

    async def _call_anyone(self, call: calls.Call) -> outcomes.Answer:
        """A call that any guard may take, one of them at a time."""
        progress = retry_decisions.Progress()
        while True:
            target = self._choose(call, progress)
            if isinstance(target, outcomes.Answer):
                return retry_decisions.honest(target, progress)
            progress.tried.add(target.node_id)
            progress.last = target
            if call.idempotent:
                sent = await self._send(call, target, None)
            else:
                sent = await self._send_once(call, target, progress)
            if retry_decisions.may_have_arrived(sent):
                call.arrivals += 1
                progress.handed.add(target.node_id)
            final = self._retry_decisions.judge(call, sent, progress)
            if final is not None:
                return retry_decisions.honest(final, progress)

    async def _send_once(
        self,
        call: calls.Call,
        target: guards.Target,
        progress: retry_decisions.Progress,
    ) -> calls.AttemptResult:
        """Sends a call that must not repeat, with a ticket of our own.

        Nobody else can have used this ticket, so its owner's refusal proves
        that nothing ran and the caller of this method may ask another owner
        with another ticket. A lost answer is asked for again here, from the
        same owner, whose ledger replays it.
        """
        ticket = self.mint_for(target)
        sent = await self._send(call, target, ticket)
        asked = sent.delivery is calls.Delivery.LOST
        while sent.delivery is not calls.Delivery.ANSWERED and asked:
            if not self._retry_decisions.may_retry(call, progress):
                unknown = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
                return calls.AttemptResult(calls.Delivery.ANSWERED, unknown)
            sent = await self._send(call, target, ticket)
        return sent

    async def _call_owner(
        self, call: calls.Call, ticket: tickets.Ticket
    ) -> outcomes.Answer:
        """A call with the caller's ticket: only its owner may be asked.

        Nothing but the owner's word proves `not-run` here: an earlier
        attempt with the same ticket may be running at the owner.
        """
        progress = retry_decisions.Progress()
        moves = 1 + self._policy_of(call.service).retry.reroutes
        for _ in range(moves):
            owner = self.router.find(call.service, ticket.owner)
            if owner is None or owner.boot_id != ticket.boot_id:
                return outcomes.unknown(outcomes.Reason.TICKET_OWNER_GONE)
            answer = await self._ask_owner(call, owner, ticket, progress)
            if answer.moved_to is None:
                return answer
            ticket = tickets.decode(answer.moved_to, self.sender.keys)
        return outcomes.unknown(
            outcomes.Reason.DRAINING, admission.RETRY_AFTER_S
        )

    async def _ask_owner(
        self,
        call: calls.Call,
        owner: guards.Target,
        ticket: tickets.Ticket,
        progress: retry_decisions.Progress,
    ) -> outcomes.Answer:
        while True:
            sent = await self._send(call, owner, ticket)
            if sent.answer is not None:
                return sent.answer
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
        timeout_s = max(
            retry_decisions.MIN_REMAINING_S, call.deadline_s - time.monotonic()
        )
        if ticket is None:
            timeout_s = min(timeout_s, policy.attempt_timeout_s)
        sent = await self.sender.send(
            call,
            target,
            ticket,
            timeout_s,
            policy.attempt_timeout_s,
            policy.body_limit_bytes,
        )
        call.trail.append(f"{target.node_id}: {_fate_of(sent)}")
        return sent

    def _choose(
        self, call: calls.Call, progress: retry_decisions.Progress
    ) -> guards.Target | outcomes.Answer:
        now_s = time.monotonic()
        if call.deadline_s - now_s <= retry_decisions.MIN_REMAINING_S:
            return outcomes.not_run(
                outcomes.Reason.DEADLINE, admission.RETRY_AFTER_S
            )
        if len(progress.handed) >= call.max_backends:
            return self._choose_again(call, progress)
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
            # All were tried; a lost answer may be asked for once more.
            target = self.router.choose(call.service, frozenset(), now_s)
        if target is None:
            return self._no_target(call, progress)
        if self._would_die(call, now_s):
            self.counters.early_refusals += 1
            return outcomes.not_run(
                outcomes.Reason.OVERLOAD_DEEPER, admission.RETRY_AFTER_S
            )
        return target

    def _choose_again(
        self, call: calls.Call, progress: retry_decisions.Progress
    ) -> guards.Target | outcomes.Answer:
        """Returns the guard asked last: no further one may be handed it."""
        last = progress.last
        assert last is not None
        known = self.router.find(call.service, last.node_id)
        if known is None or known.draining or known.boot_id != last.boot_id:
            return self._no_target(call, progress)
        return known

    def _would_die(self, call: calls.Call, now_s: float) -> bool:
        """Whether a new request is above the level of its path."""
        context = call.context
        if context.depth > 0:
            return False
        level = self.level_tracker.level_of(
            call.service, context.class_name, now_s
        )
        return context.priority > level + levels.ENTRY_SLACK

    def _no_target(
        self, call: calls.Call, progress: retry_decisions.Progress
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


def _limit_s(call: calls.Call, now_s: float) -> float:
    """Returns after how long an answer is of little value."""
    limit_s = min(call.target_s, call.deadline_s - now_s)
    if call.context.depth > 0:
        limit_s *= _SHARE_OF_A_CALL
    return limit_s


def _fate_of(sent: calls.AttemptResult) -> str:
    """Returns in a word what became of an attempt, for logs."""
    if sent.answer is None:
        return sent.delivery.value
    return sent.answer.reason or sent.answer.outcome
