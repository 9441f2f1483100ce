"""Tests of the guard's refusals that do not depend on free slots."""

import asyncio
import time

import pytest

from burdockfront import allowance
from burdockfront import errors
from burdockfront import ledger
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import timeline
from burdockfront_client import attempts
from burdockfront_client import calls
from burdockfront_node import backend
from burdockfront_node import guard as guard_lib
from tests import builders
from tests import scripted_server


def _a_guard(ready: asyncio.Event) -> guard_lib.Guard:
    recorder = timeline.Recorder("n1", "dc1", 10)
    dispatcher = builders.a_dispatcher(recorder)
    return guard_lib.Guard(
        "n1",
        ledger.Ledger("n1", "b1", 1_000_000),
        dispatcher,
        attempts.AttemptTracker(),
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


def test_node_that_is_not_ready_accepts_no_work_for_its_backend_server():
    # A VM was replaced while the platform service was down. Its node did not
    # have the configuration yet and refused the downstream calls of its backend
    # server, but accepted requests for it from peers, which found the node at
    # its old address. Each of these requests cost work and ended in a 502.
    async def scenario() -> None:
        ready = asyncio.Event()
        guard = _a_guard(ready)
        announced = {"service": "fees", "address": "127.0.0.1:9", "slots": 4}
        guard.announce(backend.parse_announcement(announced))
        assert not guard.accepts_work
        answer = await guard.handle(_an_attempt())
        assert answer.outcome is outcomes.Outcome.NOT_RUN
        assert answer.draining, "routers learn to use another guard"
        assert guard.counters()["handed_over"] == 0
        ready.set()
        assert guard.accepts_work

    asyncio.run(scenario())


def _announced(address: str, **changes: object) -> backend.Announcement:
    fields = {"service": "fees", "address": address, "slots": 4}
    return backend.parse_announcement({**fields, **changes})


def _a_ready_guard() -> guard_lib.Guard:
    ready = asyncio.Event()
    ready.set()
    return _a_guard(ready)


def _reply(*headers: str) -> scripted_server.Step:
    lines = ["HTTP/1.1 200 OK", "content-length: 2", *headers, "", "ok"]
    return scripted_server.Step("\r\n".join(lines).encode())


def test_server_with_the_native_interface_reports_a_limit_on_its_answers():
    async def scenario() -> None:
        steps = (
            _reply("Burdockfront-Limit: 2"),
            _reply(),
            _reply("Burdockfront-Leaving: 1"),
        )
        async with scripted_server.serving(*steps) as server:
            guard = _a_ready_guard()
            announced = _announced(server.address, instance="i-1")
            guard.announce(announced)
            await guard.handle(_an_attempt())
            assert guard.self_reports.report.limit_per_s == 2.0
            refused = await guard.handle(_an_attempt())
            assert refused.reason is outcomes.Reason.LIMITED
            guard.announce(announced)
            assert guard.self_reports.report.limit_per_s == 2.0, (
                "the announcement has no limit"
            )
            ended = _announced(server.address, instance="i-1", limit_per_s=None)
            guard.announce(ended)
            assert guard.self_reports.report.limit_per_s is None
            await guard.handle(_an_attempt())
            await guard.handle(_an_attempt())
            assert guard.draining, "reported on an answer"
            guard.announce(announced)
            assert guard.draining, "a heartbeat does not revoke the leave"
            guard.announce(_announced(server.address, instance="i-2"))
            assert not guard.draining, "another incarnation"

    asyncio.run(scenario())


def test_limit_of_an_announcement_applies_before_any_answer():
    guard = _a_ready_guard()
    guard.announce(_announced("127.0.0.1:9", limit_per_s=0.5))
    assert guard.self_reports.report.limit_per_s == 0.5


@pytest.mark.parametrize("limit", [-1, "many", float("nan"), float("inf")])
def test_announced_limit_that_is_no_number_is_refused_with_its_path(limit):
    with pytest.raises(errors.InvalidInputError, match="limit_per_s"):
        _announced("127.0.0.1:9", limit_per_s=limit)
