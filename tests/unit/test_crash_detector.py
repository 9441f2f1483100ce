"""Tests that crashes of a backend server are told apart from lost answers.

Guards against crashes that are not logged: a server exited with three to
eighteen requests in flight, and no log line reported the crash or the requests.
"""

import asyncio

from burdockfront import outcomes
from burdockfront_client import calls
from burdockfront_node import crash_detector as crash_detector_lib
from tests import builders

_LOST = outcomes.unknown(outcomes.Reason.LOST_ANSWER)


class _World:
    """A detector beside a backend server whose port is closed or open.

    Attributes:
        closed: Whether the port of the server is closed.
        probes: Number of checks of the port.
        reported: The crashes as reported.
    """

    def __init__(self) -> None:
        self.closed = True
        self.probes = 0
        self.reported: list[crash_detector_lib.Crash] = []
        self.crash_detector = crash_detector_lib.CrashDetector(
            "boot", self.reported.append, self._is_port_closed
        )

    async def _is_port_closed(self, address: str) -> bool:
        self.probes += 1
        await asyncio.sleep(0)
        return self.closed

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
        """Returns the requests of each crash, as last reported."""
        by_crash = {crash.crash_id: crash for crash in self.reported}
        return [
            {one.request_id for one in crash.in_flight}
            for crash in by_crash.values()
        ]


def test_all_requests_in_flight_are_suspects_of_a_crash():
    async def scenario() -> None:
        world = _World()
        answered = world.begin("answered")
        world.crash_detector.on_end(answered, builders.an_answer())
        await world.lose(*[world.begin(f"r-{n}") for n in range(3)])
        assert world.suspects() == [{"r-0", "r-1", "r-2"}]
        assert world.probes == 1, "one probe for all answers lost together"

    asyncio.run(scenario())


def test_answer_lost_shortly_after_a_crash_belongs_to_it():
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


def test_lost_answer_of_a_running_server_is_no_crash():
    async def scenario() -> None:
        world = _World()
        world.closed = False
        await world.lose(world.begin("cut"))
        assert not world.reported

    asyncio.run(scenario())


def test_second_crash_gets_an_id_of_its_own():
    async def scenario() -> None:
        world = _World()
        await world.lose(world.begin("r-1"))
        await world.lose(world.begin("r-2"))
        assert world.suspects() == [{"r-1"}, {"r-2"}]
        assert len({crash.crash_id for crash in world.reported}) == 2

    asyncio.run(scenario())


def test_recently_abandoned_request_is_a_suspect():
    # A server continues to process a request for a moment after its connection
    # was closed.
    async def scenario() -> None:
        world = _World()
        world.crash_detector.on_end(world.begin("left"), None)
        await world.lose(world.begin("stayed"))
        assert world.suspects() == [{"left", "stayed"}]

    asyncio.run(scenario())


def test_new_incarnation_shows_the_crash_of_a_hanging_server():
    # The server crashed without closing its connections: no answer is lost,
    # all time out, and no connection is refused. Only the heartbeat of the next
    # incarnation shows the crash.
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


def test_new_incarnation_after_a_detected_crash_adds_no_suspects():
    async def scenario() -> None:
        world = _World()
        await world.lose(world.begin("r-1"))
        refused = world.begin("refused")
        world.crash_detector.on_end(
            refused, outcomes.not_run(outcomes.Reason.UNREACHABLE)
        )
        world.begin("at the next incarnation")
        world.crash_detector.on_replaced()
        assert world.suspects() == [{"r-1"}]

    asyncio.run(scenario())
