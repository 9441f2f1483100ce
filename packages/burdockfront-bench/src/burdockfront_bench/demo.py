"""The main job in half a minute: an evening wave at the Enrolment Mesh.

Starts the platform stand-in, a small mesh with a node beside each backend
server, and callers that browse and confirm; then demand triples. An operator
asks why requests were refused, changes a policy, and checks it. Ends with a
summary, and with status 0 only if what it promises came true.
"""

import asyncio
import collections
import dataclasses
import pathlib
import sys
import time

import rich.console
import rich.table

from burdockfront_bench import callers
from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts
from burdockfront_bench import load as load_lib
from burdockfront_bench import mesh
from burdockfront_ctl import language
from burdockfront_ctl import main as ctl
from burdockfront_ctl import render
from burdockfront_ctl import settings as ctl_settings

_OUT = pathlib.Path("out")
_DEADLINE_S = 2.0
_REFUSALS = (
    "Refused is as it should be: for six of 14 seconds demand was three times "
    "the usual; listings went first, and none of what was refused ran."
)
_BASE_PER_S = 60.0
_PHASES = [
    load_lib.Phase(_BASE_PER_S, 4.0),
    load_lib.Phase(3 * _BASE_PER_S, 6.0),
    load_lib.Phase(_BASE_PER_S, 4.0),
]


@dataclasses.dataclass(slots=True)
class Verdict:
    """What the demo has to show.

    Attributes:
        counts: How requests ended, by kind.
        errors: What requests with an error were told, by kind.
        doubled: Confirmations that ran twice.
        mixed_up: Answers that belong to somebody else.
        verified: Whether the changed policy is in force everywhere.
        change: Name of that change.
    """

    counts: dict[str, collections.Counter[str]]
    errors: collections.Counter[str]
    doubled: int
    mixed_up: int
    verified: bool
    change: str

    @property
    def kept(self) -> bool:
        """Whether every promise that the demo makes came true."""
        served = all(count["done"] for count in self.counts.values())
        right = self.doubled == 0 and self.mixed_up == 0
        return served and right and self.verified


async def run(console: rich.console.Console) -> Verdict:
    """Runs the demo."""
    layout = layouts.Layout(services=mesh.gandhinagar(upstreams=2))
    console.print("Starting 8 nodes, 8 backend servers and the platform...")
    async with cluster_lib.running(layout) as cluster:
        console.print("Callers browse and confirm; demand triples for 6 s...")
        results = await _wave(cluster)
        operator = _Operator(cluster, console)
        await operator.command("show levels")
        await operator.command("why class browse at enrolment")
        await operator.follow(_a_confirmation(results))
        verified, change = await operator.change_policy()
        await operator.picture()
        doubled = await _doubled(cluster)
    counts: dict[str, collections.Counter[str]] = {}
    for result in results:
        count = counts.setdefault(result.kind, collections.Counter())
        count[result.outcome] += 1
    errors = collections.Counter(
        f"{result.kind}: status {result.status} of the backend server itself"
        for result in results
        if result.outcome == "error"
    )
    mixed_up = sum(result.mixed_up for result in results)
    return Verdict(counts, errors, doubled, mixed_up, verified, change)


async def _wave(cluster: cluster_lib.Cluster) -> list[callers.Result]:
    load = load_lib.Load(
        name="demo",
        entries=[machine.caller for machine in cluster.machines],
        mix=mesh.gandhinagar_mix(),
        phases=_PHASES,
        deadline_s=_DEADLINE_S,
        start_at_s=time.time(),
        seed=1,
        output="",
    )
    return await load_lib.run(load)


def _a_confirmation(results: list[callers.Result]) -> str:
    done = [
        r.request_id
        for r in results
        if r.kind == "confirm" and r.outcome == "done"
    ]
    return done[-1] if done else results[-1].request_id


async def _doubled(cluster: cluster_lib.Cluster) -> int:
    runs: collections.Counter[str] = collections.Counter()
    for machine in cluster.machines:
        runs.update((await cluster.ledger(machine))["runs"])
    return sum(count > 1 for count in runs.values())


class _Operator:
    """Gives commands as an operator would, and shows the answers."""

    def __init__(
        self, cluster: cluster_lib.Cluster, console: rich.console.Console
    ):
        self._console = console
        self._settings = ctl_settings.CtlSettings(
            nodes=[machine.internal for machine in cluster.machines[:3]],
            operator_key=cluster_lib.OPERATOR_KEY,
            who="demo",
        )

    async def command(self, text: str) -> render.View:
        """Gives one command."""
        self._console.print(f"\n$ burdockfront-ctl {text}", style="bold")
        view = await ctl.run(self._settings, language.parse(text))
        self._console.print(render.to_text(view), highlight=False)
        return view

    async def follow(self, request_id: str) -> None:
        """Shows one request on its way over several processes."""
        await self.command(f"timeline request {request_id}")

    async def change_policy(self) -> tuple[bool, str]:
        """Changes a policy and checks that it is in force everywhere."""
        view = await self.command(
            "set policy enrolment retry.allowance = 1 if revision 0"
        )
        change_id = str(view.rows[0]["change_id"])
        await asyncio.sleep(1.0)
        verified = await self.command(f"verify change {change_id}")
        return verified.complete, change_id

    async def picture(self) -> None:
        """Draws the time line of refusals and changes."""
        command = language.Timeline(kind="call", last=2000)
        view = await ctl.run(self._settings, command)
        render.draw(view, _OUT / "demo-timeline.svg")


def summary(verdict: Verdict) -> rich.table.Table:
    """Returns a table that a person understands."""
    table = rich.table.Table(title="Whole requests", title_justify="left")
    for column in ("kind", "done", "refused", "unknown", "errors"):
        table.add_column(column)
    for kind, count in sorted(verdict.counts.items()):
        table.add_row(
            kind,
            str(count["done"]),
            str(count["not-run"]),
            str(count["unknown"]),
            str(count["error"]),
        )
    return table


def main() -> None:
    """Runs the demo and exits with 0 only if all promises came true."""
    console = rich.console.Console(width=160)
    _OUT.mkdir(exist_ok=True)
    verdict = asyncio.run(run(console))
    console.print(summary(verdict))
    for what, count in verdict.errors.most_common():
        console.print(f"{count} x {what}: answered whole, and passed on.")
    console.print(_REFUSALS)
    console.print(
        f"Confirmations that ran twice: {verdict.doubled}. Answers of "
        f"somebody else: {verdict.mixed_up}. Policy change "
        f"{verdict.change}: "
        f"{'in force on all nodes' if verdict.verified else 'NOT verified'}."
        f"\nTime line: {_OUT / 'demo-timeline.svg'}"
    )
    console.print("All promises kept." if verdict.kept else "NOT as promised.")
    sys.exit(0 if verdict.kept else 1)


if __name__ == "__main__":
    main()
