"""Measures what many nodes cost and how fast news travels, with real nodes.

Nodes run without backend servers; this process announces a backend server to
each of them once a second, so that they carry full membership entries. The
baseline beside them is a lease and a watch per node on the platform service.

    python -m burdockfront_bench.scale 8 16 32
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import statistics
import time
from typing import Any

import aiohttp
import cyclopts
import orjson

from burdockfront import timeline
from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import plots

_SERVICES = 60
_IDLE_S = 15.0
_CHANGES = 5
_BUSY_CHANGES = 20
_SETTLE_S = 12.0
_DETECT_S = 25.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_LEASE_RENEWAL_S = 5.0
_WATCH_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one node spends, on average over all nodes.

    Attributes:
        sent_bytes_per_s: Written to sockets, with HTTP headers, without
            those of TCP and IP.
        received_bytes_per_s: Read from sockets.
        core_share: Share of one processor core.
        rss_bytes: Memory.
    """

    sent_bytes_per_s: float
    received_bytes_per_s: float
    core_share: float
    rss_bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Figures at one number of nodes."""

    nodes: int
    idle: Cost
    busy: Cost
    changes_per_s: float
    platform_calls_per_s: float
    baseline_calls_per_s: float
    change_p50_s: float
    change_max_s: float
    change_platform_down_max_s: float
    suspect_max_s: float
    dead_max_s: float
    drain_max_s: float
    join_max_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    at_s: float
    written: int
    read: int
    ticks: int
    rss_bytes: int


def _sample(pid: int) -> _Sample:
    io_lines = pathlib.Path(f"/proc/{pid}/io").read_text().splitlines()
    io = {k: int(v) for k, v in (line.split(": ") for line in io_lines)}
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2]
    fields = stat.split()
    ticks = int(fields[11]) + int(fields[12])
    rss = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    return _Sample(time.monotonic(), io["wchar"], io["rchar"], ticks, rss)


class _Meter:
    """Measures all nodes over a stretch of time."""

    def __init__(self, cluster: cluster_lib.Cluster):
        self._pids = [
            m.node_process.pid
            for m in cluster.machines
            if m.node_process is not None and m.node_process.returncode is None
        ]
        self._before = {pid: _sample(pid) for pid in self._pids}

    def cost(self) -> Cost:
        """Returns the mean cost per node since the start."""
        costs = []
        for pid in self._pids:
            before, after = self._before[pid], _sample(pid)
            elapsed_s = after.at_s - before.at_s
            costs.append(
                Cost(
                    (after.written - before.written) / elapsed_s,
                    (after.read - before.read) / elapsed_s,
                    (after.ticks - before.ticks) / _TICKS_PER_S / elapsed_s,
                    after.rss_bytes,
                )
            )
        return Cost(
            *(
                statistics.mean(getattr(c, f.name) for c in costs)
                for f in dataclasses.fields(Cost)
            )
        )


async def measure(count: int) -> Row:
    """Runs `count` nodes and returns their figures."""
    services = [cluster_lib.Service(f"s{n}", 1, 40, {}) for n in range(count)]
    layout = cluster_lib.Layout(
        services=services,
        data_centers=[f"dc{n}" for n in range(6)],
        regions={f"dc{n}": f"r{n // 3}" for n in range(6)},
        with_backends=False,
        node_settings={"gossip": {"period_s": 1.0}, "events": 5000},
    )
    async with cluster_lib.running(layout) as cluster:
        announcing = asyncio.create_task(_announce_forever(cluster))
        await asyncio.sleep(_SETTLE_S)
        row = await _measure(cluster, count)
        announcing.cancel()
    return row


async def _measure(cluster: cluster_lib.Cluster, count: int) -> Row:
    calls_before = await _platform_calls(cluster)
    meter = _Meter(cluster)
    await asyncio.sleep(_IDLE_S)
    idle = meter.cost()
    calls = await _platform_calls(cluster) - calls_before
    baseline = await _baseline(cluster, count)
    delays = []
    for number in range(_CHANGES):
        delays += await _change(cluster, f"c{number}", False)
        await asyncio.sleep(1.0)
    down = await _change(cluster, "c-down", True)
    await cluster.control_platform(down=False)
    await asyncio.sleep(_SETTLE_S)
    begun_s = time.monotonic()
    meter = _Meter(cluster)
    for number in range(_BUSY_CHANGES):
        await _write(cluster, f"b{number}")
        await asyncio.sleep(0.5)
    changes_per_s = _BUSY_CHANGES / (time.monotonic() - begun_s)
    busy = meter.cost()
    drain = await _drain(cluster)
    suspect, dead = await _death(cluster)
    join = await _join(cluster)
    return Row(
        nodes=count,
        idle=idle,
        busy=busy,
        changes_per_s=changes_per_s,
        platform_calls_per_s=calls / _IDLE_S,
        baseline_calls_per_s=baseline,
        change_p50_s=statistics.median(delays),
        change_max_s=max(delays),
        change_platform_down_max_s=max(down),
        suspect_max_s=suspect,
        dead_max_s=dead,
        drain_max_s=drain,
        join_max_s=join,
    )


async def _announce_forever(cluster: cluster_lib.Cluster) -> None:
    while True:
        await asyncio.gather(
            *(_announce(cluster, m) for m in cluster.machines),
            return_exceptions=True,
        )
        await asyncio.sleep(1.0)


async def _announce(
    cluster: cluster_lib.Cluster, machine: cluster_lib.Machine
) -> None:
    index = cluster.machines.index(machine)
    document = {
        "service": f"s{index % _SERVICES}",
        "address": "127.0.0.1:9",
        "slots": 40,
    }
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        await cluster.ask(
            machine.internal,
            "/backend/announce",
            document,
            cluster_lib.PEER_KEY,
        )


async def _platform_calls(cluster: cluster_lib.Cluster) -> int:
    async with cluster.session.get(
        f"http://{cluster.platform}/calls"
    ) as response:
        found = orjson.loads(await response.read())
    return sum(found.values())


async def _baseline(cluster: cluster_lib.Cluster, count: int) -> float:
    """A lease and a watch per node, from this process."""
    before = await _platform_calls(cluster)
    tasks = [
        asyncio.create_task(_lease_and_watch(cluster, n)) for n in range(count)
    ]
    await asyncio.sleep(_WATCH_S)
    after = await _platform_calls(cluster)
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


async def _write(cluster: cluster_lib.Cluster, change_id: str) -> float:
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


async def _change(
    cluster: cluster_lib.Cluster, change_id: str, platform_down: bool
) -> list[float]:
    """Returns, per node, the time from acceptance to being in force."""
    accepted_s = await _write(cluster, change_id)
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


async def _events(
    cluster: cluster_lib.Cluster,
    machines: list[cluster_lib.Machine],
    member: str,
    kind: str,
    since_s: float,
) -> list[float]:
    """Returns when each node recorded an event about a member."""
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
    machines: list[cluster_lib.Machine],
    member: str,
    kind: str,
    since_s: float,
) -> float:
    until_s = time.monotonic() + _DETECT_S
    while time.monotonic() < until_s:
        await asyncio.sleep(0.5)
        times = await _events(cluster, machines, member, kind, since_s)
        if len(times) == len(machines):
            return max(times)
    return float("nan")


async def _drain(cluster: cluster_lib.Cluster) -> float:
    target = cluster.machines[-2]
    others = [m for m in cluster.machines if m is not target]
    since_s = time.time()
    await cluster.operator(target, "drain", {"draining": True, "who": "bench"})
    return await _until_all(
        cluster, others, target.name, "member.alive", since_s
    )


async def _death(cluster: cluster_lib.Cluster) -> tuple[float, float]:
    target = cluster.machines[-1]
    others = [m for m in cluster.machines if m is not target]
    since_s = time.time()
    assert target.node_process is not None
    target.node_process.kill()
    await target.node_process.wait()
    dead = await _until_all(
        cluster, others, target.name, "member.dead", since_s
    )
    suspect = await _events(
        cluster, others, target.name, "member.suspect", since_s
    )
    return max(suspect, default=float("nan")), dead


async def _join(cluster: cluster_lib.Cluster) -> float:
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


def table(rows: list[Row]) -> str:
    """Returns the figures as a Markdown table."""
    lines = [
        "| nodes | sent B/s | received B/s | core | RSS MB | B/s per change/s "
        "| platform calls/s | baseline calls/s | change p50 s | max s | "
        "platform down max s | suspect s | dead s | drain s | join s |",
        "|" + "---|" * 15,
    ]
    for r in rows:
        extra = r.busy.sent_bytes_per_s - r.idle.sent_bytes_per_s
        lines.append(
            f"| {r.nodes} | {r.idle.sent_bytes_per_s:.0f} | "
            f"{r.idle.received_bytes_per_s:.0f} | {r.idle.core_share:.4f} | "
            f"{r.idle.rss_bytes / 1e6:.0f} | {extra / r.changes_per_s:.0f} | "
            f"{r.platform_calls_per_s:.2f} | {r.baseline_calls_per_s:.1f} | "
            f"{r.change_p50_s:.3f} | {r.change_max_s:.3f} | "
            f"{r.change_platform_down_max_s:.3f} | {r.suspect_max_s:.2f} | "
            f"{r.dead_max_s:.2f} | {r.drain_max_s:.2f} | {r.join_max_s:.2f} |"
        )
    return "\n".join(lines)


def draw(rows: list[Row], out: pathlib.Path) -> None:
    """Draws the slopes over the number of nodes."""
    plots.draw_slopes(
        "control traffic of a node",
        "bytes per second",
        {
            "sent, idle": [(r.nodes, r.idle.sent_bytes_per_s) for r in rows],
            "sent, 2 changes/s": [
                (r.nodes, r.busy.sent_bytes_per_s) for r in rows
            ],
        },
        out / "scale-bytes.svg",
    )
    plots.draw_slopes(
        "calls of the platform service",
        "calls per second, whole system",
        {
            "burdockfront": [(r.nodes, r.platform_calls_per_s) for r in rows],
            "lease and watch per node": [
                (r.nodes, r.baseline_calls_per_s) for r in rows
            ],
        },
        out / "scale-platform.svg",
    )
    plots.draw_slopes(
        "time until known everywhere",
        "seconds",
        {
            "change in force": [(r.nodes, r.change_max_s) for r in rows],
            "death": [(r.nodes, r.dead_max_s) for r in rows],
            "drain": [(r.nodes, r.drain_max_s) for r in rows],
        },
        out / "scale-times.svg",
    )


app = cyclopts.App(help=__doc__)


@app.default
def main(*nodes: int, out: pathlib.Path = pathlib.Path("out")) -> None:
    """Measures at each number of nodes and prints a table.

    Args:
        nodes: Numbers of nodes; 8 16 32 64 if none is given.
        out: Where results and plots go.
    """
    out.mkdir(parents=True, exist_ok=True)
    rows = []
    for count in nodes or (8, 16, 32, 64):
        rows.append(asyncio.run(measure(count)))
        print(table(rows[-1:]), flush=True)
    document: list[dict[str, Any]] = [dataclasses.asdict(r) for r in rows]
    (out / "scale.json").write_bytes(orjson.dumps(document))
    draw(rows, out)
    print(table(rows))


if __name__ == "__main__":
    app()
