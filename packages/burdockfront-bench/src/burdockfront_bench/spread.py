"""How fast news travels: changes, drains, deaths, joins.

Times come from the nodes' own events; on one machine their clocks agree.
"""

import asyncio
import contextlib
import time

import aiohttp

from burdockfront import timeline
from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts

_DETECT_S = 25.0


async def write(cluster: cluster_lib.Cluster, change_id: str) -> float:
    """Changes a policy and returns the wall time of the acceptance."""
    machine = cluster.machines[0]
    value = 1 + sum(map(ord, change_id)) % 9
    answer = await cluster.operator(
        machine,
        "change",
        {
            "service": "s0",
            "path": "retry.allowance",
            "value": value,
            "expected": None,
            "who": "bench",
            "change_id": change_id,
        },
    )
    if "revision" not in answer:
        raise RuntimeError(f"change refused: {answer}")
    return time.time()


async def change(
    cluster: cluster_lib.Cluster, change_id: str, platform_down: bool
) -> list[float]:
    """Returns, per node, the time from acceptance to being in force."""
    accepted_s = await write(cluster, change_id)
    if platform_down:
        await cluster.control_platform(down=True)
    until_s = time.monotonic() + _DETECT_S
    while time.monotonic() < until_s:
        await asyncio.sleep(1.0)
        found = await asyncio.gather(
            *(cluster.operator(m, "status", {}) for m in cluster.machines)
        )
        applied = [status["applied"].get("s0", {}) for status in found]
        if all(a.get("change_id") == change_id for a in applied):
            return [max(0.0, a["since_s"] - accepted_s) for a in applied]
    raise TimeoutError(f"{change_id} is not in force everywhere")


async def events(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    member: str,
    kind: str,
    since_s: float,
) -> list[float]:
    """Returns how long each node took to record an event of a member."""
    found = await asyncio.gather(
        *(
            cluster.operator(m, "events", {"kind": kind, "most": 5000})
            for m in machines
        )
    )
    first = []
    for answer in found:
        times = [
            timeline.seconds_of(e["stamp"])
            for e in answer["events"]
            if e["detail"].get("member") == member
            and timeline.seconds_of(e["stamp"]) >= since_s
        ]
        if times:
            first.append(min(times) - since_s)
    return first


async def _until_all(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    member: str,
    kind: str,
    since_s: float,
) -> float:
    until_s = time.monotonic() + _DETECT_S
    while time.monotonic() < until_s:
        await asyncio.sleep(0.5)
        times = await events(cluster, machines, member, kind, since_s)
        if len(times) == len(machines):
            return max(times)
    return float("nan")


async def drain(cluster: cluster_lib.Cluster) -> float:
    """Returns the time until a drain is known everywhere."""
    target = cluster.machines[-2]
    others = [m for m in cluster.machines if m is not target]
    since_s = time.time()
    await cluster.operator(target, "drain", {"draining": True, "who": "bench"})
    return await _until_all(
        cluster, others, target.name, "member.alive", since_s
    )


async def death(cluster: cluster_lib.Cluster) -> tuple[float, float]:
    """Returns the times until a death is suspected and known everywhere."""
    target = cluster.machines[-1]
    others = [m for m in cluster.machines if m is not target]
    since_s = time.time()
    assert target.node_process is not None
    target.node_process.kill()
    await target.node_process.wait()
    dead = await _until_all(
        cluster, others, target.name, "member.dead", since_s
    )
    suspect = await events(
        cluster, others, target.name, "member.suspect", since_s
    )
    return max(suspect, default=float("nan")), dead


async def join(cluster: cluster_lib.Cluster) -> float:
    """Returns the time until a node that started is known everywhere."""
    target = cluster.machines[-1]
    others = [m for m in cluster.machines if m is not target]
    await cluster.start_node(target)
    until_s = time.monotonic() + _DETECT_S
    while time.monotonic() < until_s:
        await asyncio.sleep(0.2)
        with contextlib.suppress(aiohttp.ClientError, OSError):
            message = {"kind": "node.ready"}
            ready = await cluster.operator(target, "events", message)
            if ready["events"]:
                break
    ready_s = timeline.seconds_of(ready["events"][0]["stamp"])
    # It tells of itself while it joins: count from a moment before ready.
    heard = await _until_all(
        cluster, others, target.name, "member.alive", ready_s - 2.0
    )
    return max(0.0, heard - 2.0)
