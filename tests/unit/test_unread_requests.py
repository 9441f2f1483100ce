"""Requests whose bodies are not read whole, at the guard and its tickets."""

import asyncio

from burdockfront import ledger as ledger_lib
from burdockfront import outcomes
from burdockfront_client import calls
from burdockfront_node import ticket_runs
from tests import builders

_REFUSAL = outcomes.not_run(outcomes.Reason.NO_ROOM, 0.5)


class _Server:
    """Admits each attempt, and answers when it is told to."""

    def __init__(self) -> None:
        self.runs = 0
        self.answers = asyncio.Event()

    async def admit(self, attempt: calls.Attempt) -> outcomes.Answer | None:
        return None

    async def hand_over(
        self, attempt: calls.Attempt, nonce: str
    ) -> outcomes.Answer:
        self.runs += 1
        await self.answers.wait()
        return builders.an_answer()

    def ticket_runs(self) -> ticket_runs.TicketRuns:
        steps = ticket_runs.Steps(
            self.admit,
            self.hand_over,
            lambda service: None,
            lambda attempt: None,
        )
        ledger = ledger_lib.Ledger("n1", "b1")
        return ticket_runs.TicketRuns(ledger, steps, lambda: 0.0)


class _Hold:
    """Counts the users of a body."""

    def __init__(self) -> None:
        self.users = 1

    def retain(self) -> None:
        self.users += 1

    def release(self) -> None:
        self.users -= 1


def test_refused_ticket_never_runs():
    """Guards against a run of a request that was refused for its body."""

    async def scenario() -> None:
        server = _Server()
        runs = server.ticket_runs()
        ticket = builders.a_ticket()
        refused = runs.refuse(ticket, _REFUSAL)
        assert refused.outcome is outcomes.Outcome.NOT_RUN
        attempt = builders.an_attempt()
        late = await runs.serve(attempt, ticket)
        assert late.outcome is outcomes.Outcome.NOT_RUN
        assert server.runs == 0

    asyncio.run(scenario())


def test_repeat_that_is_not_read_is_not_refused_while_the_first_runs():
    """Guards against a false refusal: an earlier attempt may have run."""

    async def scenario() -> None:
        server = _Server()
        runs = server.ticket_runs()
        ticket = builders.a_ticket()
        attempt = builders.an_attempt()
        first = asyncio.create_task(runs.serve(attempt, ticket))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        during = runs.refuse(ticket, _REFUSAL)
        assert during.outcome is outcomes.Outcome.UNKNOWN
        server.answers.set()
        assert (await first).outcome is outcomes.Outcome.DONE
        assert runs.refuse(ticket, _REFUSAL).outcome is outcomes.Outcome.DONE

    asyncio.run(scenario())


def test_body_keeps_its_room_until_its_run_ends():
    """Guards against room given away twice when callers leave early."""

    async def scenario() -> None:
        server = _Server()
        runs = server.ticket_runs()
        ticket = builders.a_ticket()
        attempt = builders.an_attempt()
        hold = attempt.call.hold = _Hold()
        caller = asyncio.create_task(runs.serve(attempt, ticket))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        caller.cancel()
        hold.release()
        await asyncio.sleep(0)
        assert hold.users == 1, "the run goes on"
        server.answers.set()
        for _ in range(4):
            await asyncio.sleep(0)
        assert hold.users == 0

    asyncio.run(scenario())
