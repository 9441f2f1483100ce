"""Unit tests of the dispatcher without a network."""

import asyncio
import random
import time

from burdockfront import allowance
from burdockfront import policy
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_client import dispatcher as dispatcher_lib
from tests import builders


def _call(service: str) -> calls.Call:
    return calls.Call(
        service=service,
        method="GET",
        target="/",
        headers=(),
        body=b"",
        context=builders.a_context(),
        deadline_s=time.monotonic() + 1.0,
        pool=allowance.AllowancePool(2),
    )


def test_unknown_services_leave_no_state():
    # A caller that requests any number of invented service names must not be
    # able to fill a node's memory.
    async def scenario():
        dispatcher = dispatcher_lib.Dispatcher(
            "n1",
            "dc1",
            builders.a_key_ring(),
            policy.default,
            timeline.Recorder("n1", "dc1", 10),
            900.0,
            random.Random(1),
        )
        for number in range(50):
            answer = await dispatcher.call(_call(f"made-up-{number}"))
            assert answer.reason == "no-such-service"
        assert dispatcher.tracked_services == 0
        await dispatcher.sender.close()

    asyncio.run(scenario())
