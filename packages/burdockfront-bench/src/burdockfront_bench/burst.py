"""Measures what the loss of a data centre costs those who live on.

All nodes of one data centre of six are killed at once, and started again
later, also at once. Traffic is sampled from outside, second by second, so that
the questions of the measurement don't count; times come from the nodes'
events, asked for afterwards.

    python -m burdockfront_bench.burst 48
"""

import asyncio
import contextlib
import dataclasses
import math
import pathlib
import time

import aiohttp
import cyclopts
import orjson

from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts
from burdockfront_bench import meter as meter_lib
from burdockfront_bench import scale
from burdockfront_bench import spread

_LOST = "dc5"
_SETTLE_S = 30.0
_IDLE_S = 10.0
_WATCH_S = 25.0
_SAMPLE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Traffic after something happened.

    Attributes:
        mean_peak_bytes_per_s: Busiest second, sent, mean over the nodes.
        most_bytes_per_s: Busiest second of the busiest node, sent.
        spent_bytes: Sent by a node on average above its rest, in all.
        known_everywhere_s: Until the last node knew of the last one.
    """

    mean_peak_bytes_per_s: float
    most_bytes_per_s: float
    spent_bytes: float
    known_everywhere_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Figures at one number of nodes."""

    nodes: int
    lost: int
    idle_bytes_per_s: float
    death: Burst
    restart: Burst


async def measure(count: int, members_bytes_per_s: float | None) -> Row:
    """Runs `count` nodes, loses a data centre, and gets it back.

    Args:
        count: Number of nodes.
        members_bytes_per_s: Budget for news of members; None for the default.
    """
    layout = scale.layout_of(count)
    if members_bytes_per_s is not None:
        gossip = layout.node_settings["gossip"]
        gossip["members_bytes_per_s"] = members_bytes_per_s
    async with cluster_lib.running(layout) as cluster:
        announcing = asyncio.create_task(scale.announce_forever(cluster))
        await asyncio.sleep(_SETTLE_S)
        meter = meter_lib.Meter(cluster)
        await asyncio.sleep(_IDLE_S)
        idle_bytes_per_s = meter.cost().sent_bytes_per_s
        lost = [m for m in cluster.machines if m.data_center == _LOST]
        death = await _lose(cluster, lost, idle_bytes_per_s)
        restart = await _restart(cluster, lost, idle_bytes_per_s)
        announcing.cancel()
    return Row(count, len(lost), idle_bytes_per_s, death, restart)


async def _lose(
    cluster: cluster_lib.Cluster,
    lost: list[layouts.Machine],
    idle_bytes_per_s: float,
) -> Burst:
    since_s = time.time()
    for machine in lost:
        assert machine.node_process is not None
        machine.node_process.kill()
    for machine in lost:
        assert machine.node_process is not None
        await machine.node_process.wait()
    return await _watch(cluster, lost, "member.dead", since_s, idle_bytes_per_s)


async def _restart(
    cluster: cluster_lib.Cluster,
    lost: list[layouts.Machine],
    idle_bytes_per_s: float,
) -> Burst:
    since_s = time.time()
    meter = meter_lib.Meter(cluster)
    for machine in lost:
        await cluster.start_node(machine)
    return await _watch(
        cluster, lost, "member.alive", since_s, idle_bytes_per_s, meter
    )


async def _watch(
    cluster: cluster_lib.Cluster,
    lost: list[layouts.Machine],
    kind: str,
    since_s: float,
    idle_bytes_per_s: float,
    meter: meter_lib.Meter | None = None,
) -> Burst:
    """Samples traffic of the nodes that were there all the time."""
    whole = meter or meter_lib.Meter(cluster)
    mean_peak = 0.0
    most = 0.0
    until_s = time.monotonic() + _WATCH_S
    previous = whole
    while time.monotonic() < until_s:
        await asyncio.sleep(_SAMPLE_S)
        sent = [c.sent_bytes_per_s for c in previous.costs()]
        mean_peak = max(mean_peak, sum(sent) / len(sent))
        most = max(most, *sent)
        previous = whole.renewed()
    spent = (whole.cost().sent_bytes_per_s - idle_bytes_per_s) * _WATCH_S
    others = [m for m in cluster.machines if m not in lost]
    known_s = await _known_s(cluster, others, lost, kind, since_s)
    return Burst(mean_peak, most, spent, known_s)


async def _known_s(
    cluster: cluster_lib.Cluster,
    others: list[layouts.Machine],
    lost: list[layouts.Machine],
    kind: str,
    since_s: float,
) -> float:
    latest_s = 0.0
    for machine in lost:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            times_s = await spread.events(
                cluster, others, machine.name, kind, since_s
            )
            if len(times_s) < len(others):
                return math.nan
            latest_s = max(latest_s, *times_s)
    return latest_s


def table(rows: list[Row]) -> str:
    """Returns the figures as a Markdown table."""
    lines = [
        "| nodes | lost | idle B/s | what | busiest second, mean B/s | "
        "busiest node B/s | spent B a node | known everywhere s |",
        "|" + "---|" * 8,
    ]
    for row in rows:
        for name, burst in (("death", row.death), ("restart", row.restart)):
            lines.append(
                f"| {row.nodes} | {row.lost} | {row.idle_bytes_per_s:.0f} | "
                f"{name} | {burst.mean_peak_bytes_per_s:.0f} | "
                f"{burst.most_bytes_per_s:.0f} | {burst.spent_bytes:.0f} | "
                f"{burst.known_everywhere_s:.1f} |"
            )
    return "\n".join(lines)


app = cyclopts.App(help=__doc__)


@app.default
def main(
    *nodes: int,
    members_bytes_per_s: float | None = None,
    out: pathlib.Path = pathlib.Path("out"),
) -> None:
    """Measures at each number of nodes and prints a table.

    Args:
        nodes: Numbers of nodes; 24 and 48 if none is given.
        members_bytes_per_s: Another budget for news of members, to see it
            bind with few nodes.
        out: Where results go.
    """
    out.mkdir(parents=True, exist_ok=True)
    rows = []
    for count in nodes or (24, 48):
        rows.append(asyncio.run(measure(count, members_bytes_per_s)))
        print(table(rows[-1:]), flush=True)
    document = [dataclasses.asdict(row) for row in rows]
    (out / "burst.json").write_bytes(orjson.dumps(document))
    print(table(rows))


if __name__ == "__main__":
    app()
