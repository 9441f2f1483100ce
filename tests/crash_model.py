"""A service whose servers crash under one request, without a network.

The quarantine of each node as it is, under virtual time. Servers work on what
they get side by side, crash some time after they began the deadly request, and
are back later. Innocent callers ask once more when their answer is lost; the
deadly one goes on asking, at any node.
"""

import asyncio
import collections
import dataclasses
import random
import time

from burdockfront import crashes
from burdockfront import outcomes
from burdockfront import tables
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_node import quarantine as quarantine_lib
from tests import builders

DEADLY = "/deadly"
_LOST = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
_UNREACHABLE = outcomes.not_run(outcomes.Reason.UNREACHABLE)
# A way between nodes, with a connection to be made; and a lost answer's way to
# its caller, a new connection of the caller, and the repeat's way.
_TELLING_S = 0.002
_REPEATING_S = 0.004
_DOWN_S = 1.3
_DEADLY_EVERY_S = 0.2
_REROUTES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What is asked of a service.

    Attributes:
        innocent_per_s: Innocent requests a second for each server.
        tries: How often their callers ask when an answer is lost.
        work_s: How long they take, between these.
        crash_after_s: How long the deadly one runs before the crash.
        deadly_callers: Callers who go on asking for it.
    """

    innocent_per_s: float = 20.0
    tries: int = 2
    work_s: tuple[float, float] = (0.05, 0.4)
    crash_after_s: tuple[float, float] = (0.002, 0.2)
    deadly_callers: int = 1


@dataclasses.dataclass(slots=True)
class Result:
    """What became of a day.

    Attributes:
        crashes: Servers that crashed.
        quarantined: Targets that were refused for good.
        innocent: Outcomes of innocent requests, by reason.
    """

    crashes: int
    quarantined: set[str]
    innocent: collections.Counter[str]


class Site:
    """One node, and the server beside it."""

    def __init__(self, world: "World", number: int):
        self.book = crashes.CrashTracker()
        recorder = timeline.Recorder(f"n{number}", "dc1", 10)
        self.quarantine = quarantine_lib.Quarantine(
            f"boot-{number}",
            self.book,
            self._tell,
            recorder,
            self._is_port_closed,
        )
        self.crashes = 0
        self._world = world
        self._up = True
        # In their order, so that a seed plays the same each time.
        self._running: dict[asyncio.Future[None], None] = {}

    async def serve(self, attempt: calls.Attempt) -> outcomes.Answer:
        """Runs an attempt if the quarantine allows."""
        refusal = await self.quarantine.enter(attempt)
        if refusal is not None:
            return refusal
        self.quarantine.crash_detector.on_start(attempt, "", time.monotonic())
        answer = await self._run(attempt)
        self.quarantine.on_end(attempt, answer)
        if answer is _LOST:
            await self.quarantine.crash_detector.on_lost_answer(attempt)
        return answer

    async def _run(self, attempt: calls.Attempt) -> outcomes.Answer:
        if not self._up:
            return _UNREACHABLE
        loop = asyncio.get_running_loop()
        crashed = loop.create_future()
        self._running[crashed] = None
        rng = self._world.rng
        load = self._world.load
        if attempt.call.target == DEADLY:
            after_s = rng.uniform(*load.crash_after_s)
            crash = loop.call_later(after_s, self._crash)
            await crashed
            crash.cancel()
        else:
            await asyncio.wait([crashed], timeout=rng.uniform(*load.work_s))
        self._running.pop(crashed, None)
        return _LOST if crashed.done() else builders.an_answer()

    def _crash(self) -> None:
        if not self._up:
            return
        self.crashes += 1
        self._up = False
        for crashed in self._running:
            crashed.set_result(None)
        self._running = {}
        asyncio.get_running_loop().call_later(_DOWN_S, self._come_back)

    def _come_back(self) -> None:
        self._up = True

    async def _is_port_closed(self, address: str) -> bool:
        return not self._up

    def _tell(self, entry: tables.Entry) -> None:
        self.hear(entry)
        loop = asyncio.get_running_loop()
        for other in self._world.sites:
            loop.call_later(_TELLING_S, other.hear, entry)

    def hear(self, entry: tables.Entry) -> None:
        self.book.merge(entry, time.monotonic(), time.time())


class World:
    """The service and its callers.

    Args:
        seed: Seed of all chance.
        servers: How many servers the service has.
        load: What is asked of it.
    """

    def __init__(self, seed: int, servers: int, load: Load):
        self.rng = random.Random(seed)
        self.sites = [Site(self, number) for number in range(servers)]
        self.load = load
        self._innocent_per_s = load.innocent_per_s * servers
        self._ids = 0
        self._innocent: collections.Counter[str] = collections.Counter()
        self._targets: dict[str, str] = {}
        self._quarantined: set[str] = set()

    async def play(self, length_s: float) -> Result:
        """Plays a day."""
        deadly = [
            asyncio.create_task(self._deadly_forever())
            for _ in range(self.load.deadly_callers)
        ]
        sent = []
        until_s = time.monotonic() + length_s
        while time.monotonic() < until_s:
            await asyncio.sleep(self.rng.expovariate(self._innocent_per_s))
            sent.append(asyncio.create_task(self._send_innocent()))
            self._look()
        await asyncio.gather(*sent)
        for task in deadly:
            task.cancel()
        crashed = sum(site.crashes for site in self.sites)
        return Result(crashed, self._quarantined, self._innocent)

    def _look(self) -> None:
        for site in self.sites:
            for fingerprint in site.book.quarantined:
                target = self._targets.get(fingerprint, DEADLY)
                self._quarantined.add(target)

    async def _deadly_forever(self) -> None:
        while True:
            await self._ask(DEADLY)
            await asyncio.sleep(self.rng.uniform(0, 2 * _DEADLY_EVERY_S))

    async def _send_innocent(self) -> None:
        self._ids += 1
        target = f"/innocent/{self._ids}"
        answer = _LOST
        tries = 0
        while answer.reason is not None and tries < self.load.tries:
            tries += 1
            answer = await self._ask(target)
            pause_s = min(answer.retry_after_s or 0.0, _DOWN_S)
            if answer.reason is outcomes.Reason.LOST_ANSWER:
                pause_s = _REPEATING_S
            await asyncio.sleep(pause_s)
        self._innocent[answer.reason or "served"] += 1

    async def _ask(self, target: str) -> outcomes.Answer:
        """Asks one node after the other, as long as it ran nowhere."""
        self._ids += 1
        attempt = builders.an_attempt(f"r-{self._ids}", target=target)
        suspect = quarantine_lib.crash_detector_lib.suspect_of(attempt.call)
        self._targets[suspect.fingerprint] = target
        sites = self.rng.sample(self.sites, len(self.sites))
        answer = _UNREACHABLE
        for site in sites[: _REROUTES + 1]:
            answer = await site.serve(attempt)
            if answer.reason not in (
                outcomes.Reason.UNREACHABLE,
                outcomes.Reason.OVERLOAD,
            ):
                return answer
        return answer
