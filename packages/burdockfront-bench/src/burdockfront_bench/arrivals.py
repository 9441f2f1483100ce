"""Open-loop arrivals: requests come when they come.

A closed loop waits for answers before it asks again, so a slow system slows
its own load and looks better than it is. Here each request is started at its
own time, drawn from a seeded Poisson process, whatever the system does.
"""

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Callable


async def poisson(
    rate_per_s: float,
    duration_s: float,
    rng: random.Random,
    start: Callable[[], Awaitable[None]],
) -> None:
    """Starts requests at a rate and waits until all have ended.

    Args:
        rate_per_s: Mean rate.
        duration_s: How long requests are started.
        rng: Source of randomness.
        start: Makes one request and waits for its answer.
    """
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    at_s = 0.0
    running: set[asyncio.Task[None]] = set()
    while True:
        at_s += rng.expovariate(rate_per_s)
        if at_s >= duration_s:
            break
        wait_s = begun_s + at_s - loop.time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        task = asyncio.ensure_future(start())
        running.add(task)
        task.add_done_callback(running.discard)
    if running:
        await asyncio.gather(*running)
