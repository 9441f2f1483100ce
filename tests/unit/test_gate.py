"""Tests of the async gate around the admission decisions."""

import asyncio

from burdockfront import policy
from burdockfront import rate_limits
from burdockfront_node import backend
from burdockfront_node import gate as gate_lib
from tests import builders


def _gate(policies: dict[str, policy.Policy], slots: int) -> gate_lib.Gate:
    announcement = backend.parse_announcement(
        {"service": "fees", "address": "127.0.0.1:1", "slots": slots}
    )
    return gate_lib.Gate(
        announcement, lambda service: policies["now"], rate_limits.RateLimit()
    )


def _context(name: str):
    return builders.a_context(attempt_id=name)


def test_changed_kind_of_admission_takes_effect_under_load():
    # All slots are in use and calls wait, as in an overload, when an operator
    # changes the kind of admission. The change must not wait for a moment
    # without requests, and no slot may be lost or granted twice.
    async def scenario():
        level = policy.parse({"service": "fees"})
        limit = policy.parse(
            {"service": "fees", "admission": {"kind": "limit"}}
        )
        policies = {"now": level}
        gate = _gate(policies, slots=1)
        assert await gate.enter(_context("a")) is None
        waiting = asyncio.create_task(gate.enter(_context("b")))
        await asyncio.sleep(0)
        policies["now"] = limit
        gate.tick()
        assert gate.in_flight == 2
        gate.leave(0.01)
        assert await waiting is None
        assert gate.in_flight == 1
        gate.leave(0.01)
        assert gate.in_flight == 0

    asyncio.run(scenario())


def test_call_cancelled_while_it_gets_a_slot_returns_it():
    # The slot is granted and the caller leaves before its task runs again.
    # If it were not returned, the slot would be lost permanently.
    async def scenario():
        gate = _gate({"now": policy.default("fees")}, slots=1)
        assert await gate.enter(_context("a")) is None
        waiting = asyncio.create_task(gate.enter(_context("b")))
        await asyncio.sleep(0)
        gate.leave(0.01)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert gate.in_flight == 0

    asyncio.run(scenario())


def test_call_that_starts_while_others_wait_leaves_them_waiting():
    # A call that gets a slot at once does not pass through the queue of the
    # gate. It must count as in flight, and must not start or drop a call that
    # waits behind a token or a slot.
    async def scenario():
        gate = _gate({"now": policy.default("fees")}, slots=2)
        assert await gate.enter(_context("a")) is None
        assert gate.in_flight == 1
        assert await gate.enter(_context("b")) is None
        waiting = asyncio.create_task(gate.enter(_context("c")))
        await asyncio.sleep(0)
        assert gate.in_flight == 3
        gate.leave(0.01)
        assert await waiting is None
        assert gate.in_flight == 2

    asyncio.run(scenario())
