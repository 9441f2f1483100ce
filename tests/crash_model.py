"""A simulation of a service whose servers crash under one request.

It runs the product's quarantine of each node in virtual time, without a
network. Servers process requests concurrently, crash some time after they
started the crashing request, and restart later. Innocent callers retry once
when their answer is lost; the callers of the crashing request keep repeating it
at any node.
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

CRASHING_TARGET = "/deadly"
_LOST = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
_UNREACHABLE = outcomes.not_run(outcomes.Reason.UNREACHABLE)
# Delay of a message between nodes, including the connection set-up.
_GOSSIP_DELAY_S = 0.002
# Delay of a retry: the loss reaches the caller, which opens a new connection
# and sends the request again.
_RETRY_DELAY_S = 0.004
_RESTART_S = 1.3
_CRASHING_INTERVAL_S = 0.2
_REROUTES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of a service.

    Attributes:
        innocent_per_s: Innocent requests a second per server.
        tries: Maximum attempts of an innocent caller when answers are lost.
        work_s: Range of the service time of innocent requests.
        crash_after_s: Range of the time from the start of the crashing
            request to the crash.
        crashing_callers: Callers that keep repeating the crashing request.
    """

    innocent_per_s: float = 20.0
    tries: int = 2
    work_s: tuple[float, float] = (0.05, 0.4)
    crash_after_s: tuple[float, float] = (0.002, 0.2)
    crashing_callers: int = 1


@dataclasses.dataclass(slots=True)
class Result:
    """Result of a run.

    Attributes:
        crashes: Number of server crashes.
        quarantined: Targets that were quarantined.
        innocent: Number of innocent requests by outcome.
    """

    crashes: int
    quarantined: set[str]
    innocent: collections.Counter[str]


class Site:
    """One node and its server."""

    def __init__(self, simulation: "Simulation", number: int):
        self.tracker = crashes.CrashTracker()
        recorder = timeline.Recorder(f"n{number}", "dc1", 10)
        self.quarantine = quarantine_lib.Quarantine(
            f"boot-{number}",
            self.tracker,
            self._gossip,
            recorder,
            self._is_down,
        )
        self.crashes = 0
        self._simulation = simulation
        self._up = True
        # A dict keeps the insertion order, so runs of a seed are reproducible.
        self._running: dict[asyncio.Future[None], None] = {}

    async def serve(self, attempt: calls.Attempt) -> outcomes.Answer:
        """Runs an attempt if the quarantine allows it."""
        refusal = await self.quarantine.enter(attempt)
        if refusal is not None:
            return refusal
        self.quarantine.watch.began(attempt, "", time.monotonic())
        answer = await self._run(attempt)
        self.quarantine.ended(attempt, answer)
        if answer is _LOST:
            await self.quarantine.watch.lost(attempt)
        return answer

    async def _run(self, attempt: calls.Attempt) -> outcomes.Answer:
        if not self._up:
            return _UNREACHABLE
        loop = asyncio.get_running_loop()
        crashed = loop.create_future()
        self._running[crashed] = None
        rng = self._simulation.rng
        load = self._simulation.load
        if attempt.call.target == CRASHING_TARGET:
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
        asyncio.get_running_loop().call_later(_RESTART_S, self._restart)

    def _restart(self) -> None:
        self._up = True

    async def _is_down(self, address: str) -> bool:
        return not self._up

    def _gossip(self, entry: tables.Entry) -> None:
        self.receive(entry)
        loop = asyncio.get_running_loop()
        for peer in self._simulation.sites:
            loop.call_later(_GOSSIP_DELAY_S, peer.receive, entry)

    def receive(self, entry: tables.Entry) -> None:
        self.tracker.merge(entry, time.monotonic(), time.time())


class Simulation:
    """The service and its callers.

    Args:
        seed: Seed of all random draws.
        servers: Number of servers of the service.
        load: Load of the service.
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

    async def run(self, length_s: float) -> Result:
        """Runs the load for a time."""
        crashing = [
            asyncio.create_task(self._crash_forever())
            for _ in range(self.load.crashing_callers)
        ]
        sent = []
        until_s = time.monotonic() + length_s
        while time.monotonic() < until_s:
            await asyncio.sleep(self.rng.expovariate(self._innocent_per_s))
            sent.append(asyncio.create_task(self._send_innocent()))
            self._record_quarantined()
        await asyncio.gather(*sent)
        for task in crashing:
            task.cancel()
        crashed = sum(site.crashes for site in self.sites)
        return Result(crashed, self._quarantined, self._innocent)

    def _record_quarantined(self) -> None:
        for site in self.sites:
            for fingerprint in site.tracker.quarantined:
                target = self._targets.get(fingerprint, CRASHING_TARGET)
                self._quarantined.add(target)

    async def _crash_forever(self) -> None:
        while True:
            await self._send(CRASHING_TARGET)
            await asyncio.sleep(self.rng.uniform(0, 2 * _CRASHING_INTERVAL_S))

    async def _send_innocent(self) -> None:
        self._ids += 1
        target = f"/innocent/{self._ids}"
        answer = _LOST
        tries = 0
        while answer.reason is not None and tries < self.load.tries:
            tries += 1
            answer = await self._send(target)
            pause_s = min(answer.retry_after_s or 0.0, _RESTART_S)
            if answer.reason is outcomes.Reason.LOST_ANSWER:
                pause_s = _RETRY_DELAY_S
            await asyncio.sleep(pause_s)
        self._innocent[answer.reason or "served"] += 1

    async def _send(self, target: str) -> outcomes.Answer:
        """Tries one node after the other until the request has run."""
        self._ids += 1
        attempt = builders.an_attempt(f"r-{self._ids}", target=target)
        suspect = quarantine_lib.crash_watch_lib.suspect_of(attempt.call)
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
