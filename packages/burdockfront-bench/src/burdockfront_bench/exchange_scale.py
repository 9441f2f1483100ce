"""What control costs at several numbers of nodes, in the model of many nodes.

python -m burdockfront_bench.exchange_scale 30 194 940
"""

import asyncio
import dataclasses

import cyclopts

from burdockfront_bench import exchange_model
from burdockfront_bench import model_store
from burdockfront_bench import virtual_time

_SETTLED_S = 12.0
_REST_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Figures at one number of nodes.

    Attributes:
        nodes: How many nodes.
        start: What the start of all cost, up to 12 s after it.
        known_s: Time until all know the backend servers of all.
        rest: What the 10 s after that cost.
        change: What a change of the routes cost, within 3 s.
        change_s: Time until it is in force everywhere.
        lost_s: Time until the loss of a data centre is known everywhere.
    """

    nodes: int
    start: model_store.Costs
    known_s: float
    rest: model_store.Costs
    change: model_store.Costs
    change_s: float
    lost_s: float


async def measure(nodes: int, data_centers: int, seed: int) -> Row:
    """Plays a start, a rest, a change, and the loss of a data centre."""
    fleet = exchange_model.Fleet(nodes, data_centers, seed)
    await fleet.start_all()
    known_s = await exchange_model.until(
        lambda: exchange_model.all_know_all(fleet), _SETTLED_S
    )
    await asyncio.sleep(max(0.0, _SETTLED_S - known_s))
    start = fleet.costs.copy()
    fleet.change_routes(1)
    await exchange_model.until(lambda: exchange_model.all_have(fleet, 1), 10.0)
    await asyncio.sleep(1.0)
    before = fleet.costs.copy()
    await asyncio.sleep(_REST_S)
    rest = fleet.costs.since(before)
    before = fleet.costs.copy()
    fleet.change_routes(2)
    change_s = await exchange_model.until(
        lambda: exchange_model.all_have(fleet, 2), 10.0
    )
    await asyncio.sleep(max(0.0, 3.0 - change_s))
    change = fleet.costs.since(before)
    for number in range(0, nodes, data_centers):
        fleet.kill(number)
    living = len(fleet.living())
    lost_s = await exchange_model.until(
        lambda: all(
            len(node.membership.usable()) == living for node in fleet.living()
        ),
        40.0,
    )
    return Row(nodes, start, known_s, rest, change, change_s, lost_s)


def table(rows: list[Row]) -> str:
    """Returns the figures as a Markdown table."""
    lines = [
        "| nodes | start: far KB a node | near KB | calls a node | all known s "
        "| rest: far B/s a node | near B/s | change: far KB | calls | in force "
        "s | data centre lost, known s |",
        "|" + "---|" * 11,
    ]
    for row in rows:
        count = row.nodes
        lines.append(
            f"| {count} | {row.start.far_bytes.total() / count / 1e3:.1f} "
            f"| {row.start.near_bytes.total() / count / 1e3:.1f} "
            f"| {row.start.store_calls / count:.2f} "
            f"| {row.known_s:.2f} "
            f"| {row.rest.far_bytes.total() / count / _REST_S:.0f} "
            f"| {row.rest.near_bytes.total() / count / _REST_S:.0f} "
            f"| {row.change.far_bytes.total() / 1e3:.0f} "
            f"| {row.change.store_calls:.1f} "
            f"| {row.change_s:.2f} | {row.lost_s:.1f} |"
        )
    return "\n".join(lines)


app = cyclopts.App(help=__doc__)


@app.default
def main(*nodes: int, data_centers: int = 6, seed: int = 1) -> None:
    """Plays the model at each number of nodes and prints a table.

    Args:
        nodes: Numbers of nodes; 30 and 194 if none is given.
        data_centers: How many data centres they are spread over.
        seed: Seed of all chance.
    """
    rows = []
    for count in nodes or (30, 194):
        row = virtual_time.run(measure(count, data_centers, seed))
        print(f"{count} nodes, start: {row.start}", flush=True)
        rows.append(row)
    print(table(rows))


if __name__ == "__main__":
    app()
