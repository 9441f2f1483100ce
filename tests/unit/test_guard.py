"""The guard's refusals that do not depend on slots."""

import asyncio
import time

from burdockfront import allowance
from burdockfront import ledger
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import timeline
from burdockfront_client import attempts
from burdockfront_client import calls
from burdockfront_node import backend
from burdockfront_node import guard as guard_lib
from tests import builders


def _a_guard(ready: asyncio.Event) -> guard_lib.Guard:
    recorder = timeline.Recorder("n1", "dc1", 10)
    dispatcher = builders.a_dispatcher(recorder)
    return guard_lib.Guard(
        "n1",
        ledger.Ledger("n1", "b1", 1_000_000),
        dispatcher,
        attempts.AttemptBook(),
        policy.default,
        recorder,
        time.time,
        ready,
    )


def _an_attempt() -> calls.Attempt:
    context = builders.a_context()
    call = calls.Call(
        service="fees",
        method="GET",
        target="/",
        headers=(),
        body=b"",
        context=context,
        deadline_s=time.monotonic() + 1.0,
        pool=allowance.AllowancePool(2),
    )
    return calls.Attempt(call, context, None)


def test_node_that_is_not_ready_takes_no_work_for_its_backend_server():
    # A VM was replaced while the platform service was down. Its node did not
    # know the configuration yet and refused the deeper calls of the backend
    # server beside it; but it took requests for it, found by peers at its old
    # address. Each of them had cost work when it ended in a 502.
    async def scenario() -> None:
        ready = asyncio.Event()
        guard = _a_guard(ready)
        announced = {"service": "fees", "address": "127.0.0.1:9", "slots": 4}
        guard.announce(backend.parse_announcement(announced))
        assert not guard.takes_work
        answer = await guard.handle(_an_attempt())
        assert answer.outcome is outcomes.Outcome.NOT_RUN
        assert answer.draining, "routers are told to go elsewhere"
        assert guard.counters()["handed_over"] == 0
        ready.set()
        assert guard.takes_work

    asyncio.run(scenario())
