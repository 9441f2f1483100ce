"""Tests the quarantine with a backend server that has the native interface.

Guards against a request that crashes one server after the other, which was seen
in environments with operator-managed routes. The cause, limits that start over
with each request id, exists for the native interface too; it uses the same
guard, so the quarantine has to apply there as well.
"""

import asyncio
import time

from burdockfront import crashes
from burdockfront import ledger
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import tables
from burdockfront import timeline
from burdockfront_bench import ports
from burdockfront_client import attempts
from burdockfront_node import backend
from burdockfront_node import guard as guard_lib
from burdockfront_node import quarantine as quarantine_lib
from tests import builders


class _CrashingServer:
    """Closes its port without an answer when it receives a request."""

    def __init__(self, address: str):
        self._host, _, self._port = address.rpartition(":")
        self._server: asyncio.Server | None = None
        self.runs = 0

    async def open(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, self._host, int(self._port)
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if await reader.read(1):
            self.runs += 1
            assert self._server is not None
            self._server.close()
        writer.transport.abort()


def _guard(address: str) -> guard_lib.Guard:
    recorder = timeline.Recorder("n1", "dc1", 100)
    tracker = crashes.CrashTracker(crashes.Rules(pause_s=0.0))

    def publish(entry: tables.Entry) -> None:
        tracker.merge(entry, time.monotonic(), time.time())

    ready = asyncio.Event()
    ready.set()
    guard = guard_lib.Guard(
        "n1",
        ledger.Ledger("n1", "b1", 1_000_000),
        builders.a_dispatcher(recorder),
        attempts.AttemptTracker(),
        policy.default,
        recorder,
        time.time,
        ready,
        quarantine=quarantine_lib.Quarantine("b1", tracker, publish, recorder),
    )
    announced = {"service": "fees", "address": address, "slots": 8}
    guard.announce(backend.parse_announcement(announced))
    return guard


def test_fourth_repeat_is_refused_before_it_reaches_the_server():
    async def scenario() -> None:
        address = f"127.0.0.1:{ports.free_ports(1)[0]}"
        guard = _guard(address)
        server = _CrashingServer(address)
        for repeat in range(3):
            await server.open()
            attempt = builders.an_attempt(f"r-{repeat}", target="/deadly")
            answer = await guard.handle(attempt)
            assert answer.outcome is outcomes.Outcome.UNKNOWN
        await server.open()
        last = builders.an_attempt("r-last", target="/deadly")
        answer = await guard.handle(last)
        assert answer.reason is outcomes.Reason.QUARANTINED
        assert answer.outcome is outcomes.Outcome.NOT_RUN
        assert server.runs == 3
        assert guard.counters()["backend_crashes"] == 3
        assert server._server is not None
        server._server.close()

    asyncio.run(scenario())
