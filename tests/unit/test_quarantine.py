"""Tests that a guard refuses requests that crash servers, and only those.

Guards against a single request that repeatedly crashes all servers of a
service. When a server crashes, up to all of its slots are in use, and each of
the requests in flight may have been the cause.
"""

import asyncio

from burdockfront import crashes
from burdockfront import outcomes
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_node import crash_detector
from burdockfront_node import quarantine as quarantine_lib
from tests import builders


class _World:
    """The quarantine of a node without peers, beside one server."""

    def __init__(self) -> None:
        self.recorder = timeline.Recorder("n1", "dc1", 100)
        self.quarantine = quarantine_lib.standalone(self.recorder)
        self.crashes = 0

    def crash(self, *attempts: calls.Attempt) -> None:
        """Records a crash of another server with the same requests."""
        self.crashes += 1
        suspects = [crash_detector.suspect_of(one.call) for one in attempts]
        entry = builders.a_crash(
            f"other.{self.crashes}", *suspects, at_s=_wall_s()
        )
        self.quarantine._publish(entry)

    def answer(self, attempt: calls.Attempt) -> None:
        self.quarantine.on_end(attempt, builders.an_answer())


def _wall_s() -> float:
    return quarantine_lib.time.time()


def test_suspects_of_one_crash_run_one_at_a_time_until_answered():
    async def scenario() -> None:
        world = _World()
        first = builders.an_attempt("r-1")
        second = builders.an_attempt("r-2")
        other = builders.an_attempt("r-3")
        world.crash(first, second)
        assert await world.quarantine.enter(first) is None
        waiting = asyncio.create_task(world.quarantine.enter(second))
        assert await world.quarantine.enter(other) is None, "not a suspect"
        await asyncio.sleep(0)
        assert not waiting.done()
        world.answer(first)
        assert await waiting is None

    asyncio.run(scenario())


def test_suspect_that_waits_too_long_may_be_rerouted(monkeypatch):
    async def scenario() -> None:
        monkeypatch.setattr(quarantine_lib, "_MAX_LOCK_WAIT_S", 0.01)
        world = _World()
        first = builders.an_attempt("r-1")
        second = builders.an_attempt("r-2")
        world.crash(first, second)
        assert await world.quarantine.enter(first) is None
        refusal = await world.quarantine.enter(second)
        assert refusal is not None
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        assert refusal.reason is outcomes.Reason.OVERLOAD

    asyncio.run(scenario())


def test_copies_of_an_answered_request_run_concurrently():
    # Many callers request the same listing, which was in flight at a server
    # that crashed. An answer from any server shows that it was not the cause.
    async def scenario() -> None:
        world = _World()
        copies = [
            builders.an_attempt(f"r-{n}", target="/listing") for n in range(5)
        ]
        world.crash(copies[0])
        assert await world.quarantine.enter(copies[0]) is None
        waiting = [
            asyncio.create_task(world.quarantine.enter(copy))
            for copy in copies[1:]
        ]
        await asyncio.sleep(0)
        world.answer(copies[0])
        assert await asyncio.gather(*waiting) == [None] * 4

    asyncio.run(scenario())


def test_request_that_crashed_three_servers_is_refused_as_not_run():
    async def scenario() -> None:
        world = _World()
        deadly = builders.an_attempt("r-1", target="/deadly")
        for _ in range(3):
            world.crash(deadly)
        repeat = builders.an_attempt("r-2", target="/deadly")
        for refusal in (
            await world.quarantine.enter(repeat),
            world.quarantine.refusal_of(repeat.call),
        ):
            assert refusal is not None
            assert refusal.outcome is outcomes.Outcome.NOT_RUN
            assert refusal.reason is outcomes.Reason.QUARANTINED
            assert refusal.retry_after_s > 60.0
        # The event leads from the request id that a caller has to the crashes.
        event = world.recorder.select(timeline.Filter(request="r-2"), 9)[-1]
        suspect = crash_detector.suspect_of(deadly.call)
        assert event.detail["fingerprint"] == suspect.fingerprint

    asyncio.run(scenario())


def test_suspect_that_crashed_another_server_while_it_waited_is_refused():
    async def scenario() -> None:
        world = _World()
        first = builders.an_attempt("r-1")
        deadly = builders.an_attempt("r-2", target="/deadly")
        world.crash(first, deadly)
        assert await world.quarantine.enter(first) is None
        waiting = asyncio.create_task(world.quarantine.enter(deadly))
        await asyncio.sleep(0)
        world.crash(deadly)
        world.answer(first)
        refusal = await waiting
        assert refusal is not None
        assert refusal.reason is outcomes.Reason.QUARANTINED
        last = builders.an_attempt("r-3", target="/last")
        world.crash(last)
        assert await world.quarantine.enter(last) is None, "the lock is free"

    asyncio.run(scenario())


def test_suspect_whose_caller_leaves_does_not_block_the_next():
    async def scenario() -> None:
        world = _World()
        first = builders.an_attempt("r-1")
        second = builders.an_attempt("r-2")
        world.crash(first, second)
        assert await world.quarantine.enter(first) is None
        waiting = asyncio.create_task(world.quarantine.enter(second))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        world.quarantine.leave(first)
        assert await world.quarantine.enter(second) is None

    asyncio.run(scenario())


def test_two_crashes_pause_a_suspect_while_servers_restart():
    async def scenario() -> None:
        world = _World()
        deadly = builders.an_attempt("r-1")
        world.crash(deadly)
        world.crash(deadly)
        refusal = world.quarantine.refusal_of(deadly.call)
        assert refusal is not None
        assert 0.0 < refusal.retry_after_s <= crashes.Rules().pause_s

    asyncio.run(scenario())
