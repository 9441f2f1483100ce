"""Calls of the platform service: how many there were, and the baseline."""

import asyncio

import orjson

from burdockfront_bench import cluster as cluster_lib

_LEASE_RENEWAL_S = 5.0
_WATCH_S = 10.0


async def count_calls(cluster: cluster_lib.Cluster) -> int:
    """Returns the calls that the platform stand-in has counted."""
    async with cluster.session.get(
        f"http://{cluster.platform}/calls"
    ) as response:
        found = orjson.loads(await response.read())
    return sum(found.values())


async def baseline(cluster: cluster_lib.Cluster, count: int) -> float:
    """Returns calls per second of a lease and a watch per node."""
    before = await count_calls(cluster)
    tasks = [
        asyncio.create_task(_lease_and_watch(cluster, n)) for n in range(count)
    ]
    await asyncio.sleep(_WATCH_S)
    after = await count_calls(cluster)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return (after - before) / _WATCH_S


async def _lease_and_watch(cluster: cluster_lib.Cluster, number: int) -> None:
    async def renew() -> None:
        while True:
            message = {"holder": f"h{number}", "duration_s": 15}
            await cluster.ask(
                cluster.platform, f"/lease/base-{number}", message, ""
            )
            await asyncio.sleep(_LEASE_RENEWAL_S)

    async def watch() -> None:
        while True:
            async with cluster.session.get(
                f"http://{cluster.platform}/watch?prefix=base&after=0"
                f"&wait_s={_WATCH_S}"
            ) as response:
                await response.read()

    await asyncio.gather(renew(), watch())
