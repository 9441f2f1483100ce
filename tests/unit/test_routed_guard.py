"""Tests of the guard beside a backend server unaware of this system."""

import asyncio
import dataclasses
import time

from burdockfront import incarnations
from burdockfront import ledger
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_client import attempts
from burdockfront_client import calls
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_node import availability
from burdockfront_node import backend
from burdockfront_node import guard as guard_lib
from tests import builders

_RULES = availability.GuardRules(
    drain_grace_s=0.0, moves_tickets=False, refusals_lower_slots=False
)


class _Backend:
    """A handover to a fake backend server with a configurable answer.

    Attributes:
        answer: The answer to each request.
        handed: Ids of requests that were handed over.
        free: Requests wait for this event before they are answered.
    """

    def __init__(self) -> None:
        self.answer = builders.an_answer()
        self.answers_discarded = 0
        self.handed: list[str] = []
        self.free = asyncio.Event()
        self.free.set()

    async def run(
        self,
        announced: backend.Announcement,
        attempt: calls.Attempt,
        nonce: str | None,
        limit_bytes: int,
    ) -> outcomes.Answer:
        self.handed.append(attempt.context.request_id)
        await self.free.wait()
        return self.answer


@dataclasses.dataclass(slots=True)
class _World:
    guard: guard_lib.Guard
    backend: _Backend
    dispatcher: dispatcher_lib.Dispatcher

    def confirmation(self, request_id: str) -> calls.Attempt:
        """Returns an attempt with a ticket of its own."""
        context = builders.a_context(
            request_id=request_id, attempt_id=request_id
        )
        call = calls.Call(
            service="fees",
            method="POST",
            target="/",
            headers=(),
            body=b"",
            context=context,
            deadline_s=time.monotonic() + 5.0,
            pool=calls.allowance.AllowancePool(0),
            repeatable=False,
        )
        ticket = builders.a_ticket(
            request_id, service="fees", expires_s=time.time() + 60
        )
        return calls.Attempt(call, context, ticket)


def _world(slots: int) -> _World:
    recorder = timeline.Recorder("n1", "dc1", 100)
    dispatcher = builders.a_dispatcher(recorder)
    ready = asyncio.Event()
    ready.set()
    fake = _Backend()
    guard = guard_lib.Guard(
        "n1",
        ledger.Ledger("n1", "b1", 1_000_000),
        dispatcher,
        attempts.AttemptTracker(),
        policy.default,
        recorder,
        time.time,
        ready,
        fake,
        _RULES,
    )
    announced = {"service": "fees", "address": "127.0.0.1:9", "slots": slots}
    guard.announce(backend.parse_announcement(announced))
    return _World(guard, fake, dispatcher)


def test_refusals_of_a_backend_server_do_not_reduce_its_slots():
    # The server refuses half of all requests for some seconds, whatever its
    # load. With a cut of the slots at each refusal the guard was down to one
    # slot, regained one a second, and the service was starved for ten seconds
    # after the fault had ended.
    async def scenario() -> None:
        world = _world(slots=8)
        world.backend.answer = outcomes.not_run(outcomes.Reason.REJECTED, 1.0)
        for number in range(30):
            attempt = world.confirmation(f"r-{number}")
            answer = await world.guard.handle(attempt)
            assert answer.reason is outcomes.Reason.REJECTED
        world.backend.answer = builders.an_answer()
        world.backend.free.clear()
        waiting = [
            asyncio.create_task(
                world.guard.handle(world.confirmation(f"s-{number}"))
            )
            for number in range(8)
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert len(world.backend.handed) == 38, "all eight slots are used"
        world.backend.free.set()
        await asyncio.gather(*waiting)

    asyncio.run(scenario())


def test_confirmation_whose_caller_left_the_queue_does_not_run():
    # All slots are in use and the caller leaves while its confirmation waits.
    # No caller would receive the result of a run, and the caller may repeat the
    # request at another node.
    async def scenario() -> None:
        world = _world(slots=1)
        world.backend.free.clear()
        first = asyncio.create_task(
            world.guard.handle(world.confirmation("first"))
        )
        await asyncio.sleep(0.01)
        second = asyncio.create_task(
            world.guard.handle(world.confirmation("second"))
        )
        await asyncio.sleep(0.01)
        second.cancel()
        await asyncio.gather(second, return_exceptions=True)
        world.backend.free.set()
        await first
        await asyncio.sleep(0.01)
        assert world.backend.handed == ["first"]
        assert world.guard.in_flight == 0, "its slot is free again"
        repeat = await world.guard.handle(world.confirmation("second"))
        assert repeat.outcome is outcomes.Outcome.NOT_RUN

    asyncio.run(scenario())


def test_running_confirmation_continues_when_its_caller_leaves():
    # The confirmation may have taken effect; a repeat gets its answer.
    async def scenario() -> None:
        world = _world(slots=1)
        world.backend.free.clear()
        task = asyncio.create_task(
            world.guard.handle(world.confirmation("only"))
        )
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        world.backend.free.set()
        await asyncio.sleep(0.01)
        answer = await world.guard.handle(world.confirmation("only"))
        assert answer.outcome is outcomes.Outcome.DONE
        assert world.backend.handed == ["only"]

    asyncio.run(scenario())


def test_leaving_backend_server_gets_no_more_requests():
    async def scenario() -> None:
        world = _world(slots=4)
        leaving = {
            "service": "fees",
            "address": "127.0.0.1:9",
            "slots": 4,
            "state": "draining",
        }
        world.guard.announce(backend.parse_announcement(leaving))
        answer = await world.guard.handle(world.confirmation("late"))
        assert answer.outcome is outcomes.Outcome.NOT_RUN
        assert answer.moved_to is None, "a plain refusal: it may be rerouted"
        assert not world.backend.handed

    asyncio.run(scenario())


def test_node_that_stops_accepts_no_work_for_a_replaced_server():
    # A server leaves and is replaced while its node is being stopped. The new
    # server must not revoke the leave of the node.
    async def scenario() -> None:
        world = _world(slots=4)
        announced = {"service": "fees", "address": "127.0.0.1:9", "slots": 4}
        leaving = {**announced, "state": "draining"}
        world.guard.announce(backend.parse_announcement(leaving))
        world.guard.drain()
        world.guard.announce(backend.parse_announcement(announced))
        answer = await world.guard.handle(world.confirmation("late"))
        assert answer.reason is outcomes.Reason.DRAINING
        assert not world.backend.handed

    asyncio.run(scenario())


def test_revoked_drain_brings_no_work_to_a_leaving_server():
    async def scenario() -> None:
        world = _world(slots=4)
        world.guard.drain()
        notice = self_reports.BackendNotice(leaving=True)
        world.guard.self_reports.on_answer(
            notice, incarnations.UNIDENTIFIED, 0.0
        )
        world.guard.resume()
        answer = await world.guard.handle(world.confirmation("late"))
        assert answer.reason is outcomes.Reason.DRAINING

    asyncio.run(scenario())
