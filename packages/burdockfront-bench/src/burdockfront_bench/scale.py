"""Measures what many nodes cost and how fast news travels, with real nodes.

Nodes run without backend servers; this process announces a backend server to
each of them once a second, so that they carry full membership entries. The
baseline beside them is a lease and a watch per node on the platform service.

    python -m burdockfront_bench.scale 8 16 32
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import statistics
import time
from typing import Any

import aiohttp
import cyclopts
import orjson

from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts
from burdockfront_bench import meter as meter_lib
from burdockfront_bench import platform_load
from burdockfront_bench import plots
from burdockfront_bench import spread

_SERVICES = 60
_IDLE_S = 15.0
_CHANGES = 5
_BUSY_CHANGES = 20
_SETTLE_S = 12.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Figures at one number of nodes."""

    nodes: int
    idle: meter_lib.Cost
    busy: meter_lib.Cost
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


def layout_of(count: int) -> layouts.Layout:
    """Returns `count` nodes in 2 regions of 3 data centres each."""
    services = [layouts.Service(f"s{n}", 1, 40, {}) for n in range(count)]
    return layouts.Layout(
        services=services,
        data_centers=[f"dc{n}" for n in range(6)],
        regions={f"dc{n}": f"r{n // 3}" for n in range(6)},
        with_backends=False,
        node_settings={"gossip": {"period_s": 1.0}, "events": 5000},
    )


async def measure(count: int) -> Row:
    """Runs `count` nodes and returns their figures."""
    async with cluster_lib.running(layout_of(count)) as cluster:
        announcing = asyncio.create_task(announce_forever(cluster))
        await asyncio.sleep(_SETTLE_S)
        row = await _measure(cluster, count)
        announcing.cancel()
    return row


async def _measure(cluster: cluster_lib.Cluster, count: int) -> Row:
    calls_before = await platform_load.count_calls(cluster)
    meter = meter_lib.Meter(cluster)
    await asyncio.sleep(_IDLE_S)
    idle = meter.cost()
    calls = await platform_load.count_calls(cluster) - calls_before
    baseline = await platform_load.baseline(cluster, count)
    delays = []
    for number in range(_CHANGES):
        delays += await spread.change(cluster, f"c{number}", False)
        await asyncio.sleep(1.0)
    down = await spread.change(cluster, "c-down", True)
    await cluster.control_platform(down=False)
    await asyncio.sleep(_SETTLE_S)
    begun_s = time.monotonic()
    meter = meter_lib.Meter(cluster)
    for number in range(_BUSY_CHANGES):
        await spread.write(cluster, f"b{number}")
        await asyncio.sleep(0.5)
    changes_per_s = _BUSY_CHANGES / (time.monotonic() - begun_s)
    busy = meter.cost()
    drain = await spread.drain(cluster)
    suspect, dead = await spread.death(cluster)
    join = await spread.join(cluster)
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


async def announce_forever(cluster: cluster_lib.Cluster) -> None:
    """Announces a backend server to each node once a second."""
    while True:
        await asyncio.gather(
            *(_announce(cluster, m) for m in cluster.machines),
            return_exceptions=True,
        )
        await asyncio.sleep(1.0)


async def _announce(
    cluster: cluster_lib.Cluster, machine: layouts.Machine
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
