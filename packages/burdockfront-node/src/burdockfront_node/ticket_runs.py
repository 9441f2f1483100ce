"""Runs each ticket at most once, as the ledger decides."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import admission
from burdockfront import context as context_lib
from burdockfront import ledger as ledger_lib
from burdockfront import outcomes
from burdockfront import tickets
from burdockfront_client import calls

_LEAVING = (outcomes.Reason.DRAINING, outcomes.Reason.NO_BACKEND)


@dataclasses.dataclass(frozen=True, slots=True)
class Steps:
    """The steps of a run, provided by the guard.

    Attributes:
        admit: Waits for a slot; returns a refusal, or None with a slot.
        hand_over: Hands an attempt with a slot to the backend server.
        successor: Returns a ticket of another owner, or None.
        return_slot: Returns a slot that was granted but not used.
    """

    admit: Callable[[calls.Attempt], Awaitable[outcomes.Answer | None]]
    hand_over: Callable[[calls.Attempt, str], Awaitable[outcomes.Answer]]
    successor: Callable[[str], str | None]
    return_slot: Callable[[calls.Attempt], None]


class TicketRuns:
    """Runs the attempts whose tickets belong to this process.

    Args:
        ledger: State of each ticket.
        steps: The steps of a run.
        wall_s: A wall clock that never goes back.

    Attributes:
        replayed: Number of stored answers that were returned again.
    """

    def __init__(
        self,
        ledger: ledger_lib.Ledger,
        steps: Steps,
        wall_s: Callable[[], float],
    ):
        self._ledger = ledger
        self._steps = steps
        self._wall_s = wall_s
        self._running: dict[str, asyncio.Task[outcomes.Answer]] = {}
        self._waiters: dict[str, int] = {}
        self.replayed = 0

    async def serve(
        self, attempt: calls.Attempt, ticket: tickets.Ticket
    ) -> outcomes.Answer:
        """Runs, replays, waits, forwards or refuses, as the ledger decides."""
        verdict = self._ledger.begin(ticket, self._wall_s())
        match verdict.decision:
            case ledger_lib.Decision.RUN:
                return await self._start(attempt, ticket)
            case ledger_lib.Decision.WAIT:
                return await self._wait_for(ticket, attempt.context)
            case _:
                if verdict.answer is not None:
                    self.replayed += 1
                return _answer_of(verdict)

    def refuse(
        self, ticket: tickets.Ticket, refusal: outcomes.Answer
    ) -> outcomes.Answer:
        """Refuses an attempt whose request was not read whole.

        An earlier attempt with the same ticket may be running, so only the
        ledger can tell whether `refusal` is true.
        """
        verdict = self._ledger.begin(ticket, self._wall_s())
        match verdict.decision:
            case ledger_lib.Decision.RUN:
                self._ledger.close(ticket.nonce, refusal)
                return refusal
            case ledger_lib.Decision.WAIT:
                return outcomes.unknown(
                    outcomes.Reason.STILL_RUNNING, admission.RETRY_AFTER_S
                )
            case _:
                return _answer_of(verdict)

    def look_up(self, ticket: tickets.Ticket) -> ledger_lib.Verdict:
        """Returns the state of a ticket without running it."""
        return self._ledger.look_up(ticket, self._wall_s())

    async def _start(
        self, attempt: calls.Attempt, ticket: tickets.Ticket
    ) -> outcomes.Answer:
        """Runs a ticket in a task of its own.

        A caller that leaves must not cancel the run: the request may already be
        running at the backend server, and a repeat needs its answer.
        """
        task = asyncio.create_task(self._run(attempt, ticket))
        self._running[ticket.nonce] = task
        task.add_done_callback(
            lambda done: self._running.pop(ticket.nonce, None)
        )
        hold = attempt.call.hold
        if hold is not None:
            hold.retain()
            task.add_done_callback(lambda done: hold.release())
        return await self._await_run(ticket.nonce, task)

    async def _await_run(
        self, nonce: str, task: asyncio.Task[outcomes.Answer]
    ) -> outcomes.Answer:
        """Waits for a run and is counted as one of its waiters."""
        self._waiters[nonce] = self._waiters.get(nonce, 0) + 1
        try:
            return await asyncio.shield(task)
        finally:
            self._waiters[nonce] -= 1
            if not self._waiters[nonce]:
                del self._waiters[nonce]

    async def _wait_for(
        self, ticket: tickets.Ticket, context: context_lib.RequestContext
    ) -> outcomes.Answer:
        task = self._running.get(ticket.nonce)
        if task is not None:
            try:
                async with asyncio.timeout(context.remaining_s):
                    answer = await self._await_run(ticket.nonce, task)
                return dataclasses.replace(answer, unspent=0)
            except TimeoutError:
                pass
        return outcomes.unknown(
            outcomes.Reason.STILL_RUNNING, admission.RETRY_AFTER_S
        )

    async def _run(
        self, attempt: calls.Attempt, ticket: tickets.Ticket
    ) -> outcomes.Answer:
        refusal = await self._steps.admit(attempt)
        if refusal is not None:
            return self._refuse(ticket, refusal)
        if ticket.nonce not in self._waiters:
            # All callers left while the request waited for a slot, so no caller
            # would receive the result of a run.
            self._steps.return_slot(attempt)
            abandoned = outcomes.not_run(outcomes.Reason.CALLER_GONE)
            return self._refuse(ticket, abandoned)
        self._ledger.hand_over(ticket.nonce)
        answer = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
        try:
            answer = await self._steps.hand_over(attempt, ticket.nonce)
        finally:
            if answer.outcome is outcomes.Outcome.NOT_RUN:
                self._ledger.record_backend_refusal(ticket.nonce, answer)
            else:
                self._ledger.finish(ticket.nonce, answer)
        return answer

    def _refuse(
        self, ticket: tickets.Ticket, refusal: outcomes.Answer
    ) -> outcomes.Answer:
        """Moves a ticket of a leaving backend server, or closes it."""
        if refusal.reason in _LEAVING:
            successor = self._steps.successor(ticket.service)
            if successor is not None:
                self._ledger.move(ticket.nonce, successor)
                return _moved(successor)
        self._ledger.close(ticket.nonce, refusal)
        return refusal


def _moved(successor: str) -> outcomes.Answer:
    answer = outcomes.unknown(outcomes.Reason.DRAINING)
    return dataclasses.replace(answer, moved_to=successor)


def _answer_of(verdict: ledger_lib.Verdict) -> outcomes.Answer:
    """Returns the answer to a ticket that neither runs nor may run."""
    if verdict.moved_to is not None:
        return _moved(verdict.moved_to)
    if verdict.decision is ledger_lib.Decision.FORGOTTEN:
        return outcomes.unknown(outcomes.Reason.ANSWER_FORGOTTEN)
    assert verdict.answer is not None
    return dataclasses.replace(verdict.answer, unspent=0)
