"""A crash of a backend server is told from answers that are merely lost.

Seen: a server ended with three to eighteen requests at work, and no line said
that it had ended, nor which requests had been there.
"""

import asyncio

from burdockfront import outcomes
from burdockfront_client import calls
from burdockfront_node import crash_detector as crash_detector_lib
from tests import builders

_LOST = outcomes.unknown(outcomes.Reason.LOST_ANSWER)


class _World:
    """A watch beside a backend server that is gone, or is not."""

    def __init__(self) -> None:
        self.gone = True
        self.asked = 0
        self.told: list[crash_detector_lib.Crash] = []
        self.crash_detector = crash_detector_lib.CrashDetector(
            "boot", self.told.append, self._is_port_closed
        )

    async def _is_port_closed(self, address: str) -> bool:
        self.asked += 1
        await asyncio.sleep(0)
        return self.gone

    def begin(self, request_id: str) -> calls.Attempt:
        attempt = builders.an_attempt(request_id)
        loop = asyncio.get_running_loop()
        self.crash_detector.on_start(attempt, "127.0.0.1:9", loop.time())
        return attempt

    async def lose(self, *attempts: calls.Attempt) -> None:
        for attempt in attempts:
            self.crash_detector.on_end(attempt, _LOST)
        await asyncio.gather(
            *[self.crash_detector.on_lost_answer(one) for one in attempts]
        )

    def suspects(self) -> list[set[str]]:
        """Returns the requests of each crash, as told last."""
        by_crash = {crash.crash_id: crash for crash in self.told}
        return [
            {one.request_id for one in crash.in_flight}
            for crash in by_crash.values()
        ]


def test_all_that_was_at_a_server_is_suspected_of_its_crash():
    async def scenario() -> None:
        world = _World()
        answered = world.begin("answered")
        world.crash_detector.on_end(answered, builders.an_answer())
        await world.lose(*[world.begin(f"r-{n}") for n in range(3)])
        assert world.suspects() == [{"r-0", "r-1", "r-2"}]
        assert world.asked == 1, "one question for all of one moment"

    asyncio.run(scenario())


def test_answer_lost_a_moment_later_belongs_to_the_same_crash():
    async def scenario() -> None:
        world = _World()
        first = world.begin("first")
        second = world.begin("second")
        await world.lose(first)
        await world.lose(second)
        await asyncio.sleep(2 * crash_detector_lib._GATHER_S)
        assert world.crash_detector.crashes == 1
        assert world.suspects() == [{"first", "second"}]

    asyncio.run(scenario())


def test_lost_answer_of_a_server_that_lives_is_no_crash():
    async def scenario() -> None:
        world = _World()
        world.gone = False
        await world.lose(world.begin("cut"))
        assert not world.told

    asyncio.run(scenario())


def test_next_crash_under_the_same_request_is_another_one():
    async def scenario() -> None:
        world = _World()
        await world.lose(world.begin("r-1"))
        await world.lose(world.begin("r-2"))
        assert world.suspects() == [{"r-1"}, {"r-2"}]
        assert len({crash.crash_id for crash in world.told}) == 2

    asyncio.run(scenario())


def test_request_whose_caller_left_a_moment_ago_is_a_suspect_too():
    # A server works on for a moment after the connection was closed.
    async def scenario() -> None:
        world = _World()
        world.crash_detector.on_end(world.begin("left"), None)
        await world.lose(world.begin("stayed"))
        assert world.suspects() == [{"left", "stayed"}]

    asyncio.run(scenario())


def test_server_that_fell_silent_has_crashed_once_another_start_is_heard_of():
    # It crashed without closing its connections: no answer is lost, all are
    # late, and nothing refuses. The next incarnation's heartbeat shows it.
    async def scenario() -> None:
        world = _World()
        late = world.begin("late")
        world.begin("waiting")
        world.crash_detector.on_end(
            late, outcomes.unknown(outcomes.Reason.DEADLINE)
        )
        world.crash_detector.on_replaced()
        assert world.suspects() == [{"late", "waiting"}]

    asyncio.run(scenario())


def test_start_after_a_crash_that_was_seen_accuses_nobody_again():
    async def scenario() -> None:
        world = _World()
        await world.lose(world.begin("r-1"))
        refused = world.begin("refused")
        world.crash_detector.on_end(
            refused, outcomes.not_run(outcomes.Reason.UNREACHABLE)
        )
        world.begin("at the next one")
        world.crash_detector.on_replaced()
        assert world.suspects() == [{"r-1"}]

    asyncio.run(scenario())
