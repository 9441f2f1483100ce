"""Runs scenarios under each control, on real processes.

python -m burdockfront_bench.experiment s1-surge-3x --control burdockfront
"""

import asyncio
import contextlib
import dataclasses
import pathlib
import time
from typing import Any

import cyclopts
import orjson

from burdockfront_bench import analysis
from burdockfront_bench import callers
from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import journal
from burdockfront_bench import layouts
from burdockfront_bench import load as load_lib
from burdockfront_bench import mesh
from burdockfront_bench import plots
from burdockfront_bench import scenario as scenario_lib
from burdockfront_bench import trouble

_DEADLINE_S = 2.0
_LOADERS = 3
_LEAD_S = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A finished run."""

    summary: analysis.Summary
    results: list[callers.Result]


async def run(scenario: scenario_lib.Scenario, control: str, seed: int) -> Run:
    """Runs one scenario under one control."""
    graph = mesh.graph(scenario.graph)
    layout = layouts.Layout(
        services=graph.services,
        data_centers=graph.data_centers,
        proxied=scenario.proxied,
    )
    planned = _planned(scenario, graph.services, seed)
    async with cluster_lib.running(layout) as cluster:
        await _set_control(cluster, control)
        start_at_s = time.time() + _LEAD_S
        loading = asyncio.create_task(
            _load(cluster, scenario, graph.mix, start_at_s, seed)
        )
        making = asyncio.create_task(
            trouble.make(cluster, planned, start_at_s + scenario.before_s)
        )
        results = await loading
        ledgers = await making
        for name, parts in (await _ledgers(cluster)).items():
            ledgers.setdefault(name, []).extend(parts)
        summary = analysis.summarize(
            scenario,
            control,
            results,
            ledgers,
            await _retries(cluster),
            _DEADLINE_S,
        )
    return Run(summary, results)


async def _set_control(cluster: cluster_lib.Cluster, control: str) -> None:
    """Sets the control by changes of policy, and waits until in force."""
    changes = scenario_lib.CONTROLS[control]
    machine = cluster.machines[0]
    for service in cluster.layout.services:
        for path, value in changes.items():
            answer = await cluster.operator(
                machine,
                "change",
                {
                    "service": service.name,
                    "path": path,
                    "value": value,
                    "expected": None,
                    "who": "bench",
                    "change_id": f"{service.name}-{path}",
                },
            )
            if "revision" not in answer:
                raise RuntimeError(f"policy not changed: {answer}")
            # Within the node's call budget for the platform service.
            await asyncio.sleep(0.4)
    await asyncio.sleep(1.0)


async def _load(
    cluster: cluster_lib.Cluster,
    scenario: scenario_lib.Scenario,
    mix: list[callers.Kind],
    start_at_s: float,
    seed: int,
) -> list[callers.Result]:
    processes = []
    outputs = []
    for number in range(_LOADERS):
        load = _load_of(cluster, scenario, mix, start_at_s, seed, number)
        path = cluster.directory / f"load-{number}.json"
        path.write_bytes(orjson.dumps(dataclasses.asdict(load)))
        outputs.append(pathlib.Path(load.output))
        processes.append(
            await cluster.spawn(
                f"load-{number}", "burdockfront_bench.load", str(path)
            )
        )
    for process in processes:
        if await process.wait() != 0:
            raise RuntimeError(
                f"a load process failed; see {cluster.directory}/load-*.log"
            )
    return [
        callers.Result(**line)
        for output in outputs
        for line in orjson.loads(output.read_bytes())
    ]


def _load_of(
    cluster: cluster_lib.Cluster,
    scenario: scenario_lib.Scenario,
    mix: list[callers.Kind],
    start_at_s: float,
    seed: int,
    number: int,
) -> load_lib.Load:
    rate_per_s = scenario.base_per_s / _LOADERS
    surge_per_s = rate_per_s * scenario.surge
    return load_lib.Load(
        name=f"load{seed}-{number}",
        entries=[m.caller for m in cluster.machines],
        mix=mix,
        phases=[
            load_lib.Phase(rate_per_s, scenario.before_s),
            load_lib.Phase(surge_per_s, scenario.trigger_s, scenario.repeats),
            load_lib.Phase(rate_per_s, scenario.after_s),
        ],
        deadline_s=_DEADLINE_S,
        start_at_s=start_at_s,
        seed=seed * 1000 + number,
        output=str(cluster.directory / f"results-{number}.json"),
    )


def _planned(
    scenario: scenario_lib.Scenario,
    services: list[layouts.Service],
    seed: int,
) -> list[scenario_lib.Fault]:
    """Returns all faults, each with its end."""
    planned = list(scenario.faults)
    if scenario.drawn is not None:
        planned += trouble.draw(
            scenario.drawn, services, scenario.trigger_s, seed
        )
    return [
        fault.model_copy(
            update={"until_s": fault.until_s or scenario.trigger_s}
        )
        for fault in planned
    ]


async def _ledgers(
    cluster: cluster_lib.Cluster,
) -> dict[str, list[dict[str, Any]]]:
    found: dict[str, list[dict[str, Any]]] = {}
    for machine in cluster.machines:
        ledger = await cluster.ledger(machine)
        # The journal also has what a process counted that was killed since.
        ledger["runs"] = journal.runs(cluster.journal_of(machine))
        found.setdefault(machine.service, []).append(ledger)
    return found


async def _retries(cluster: cluster_lib.Cluster) -> int:
    total = 0
    for machine in cluster.machines:
        with contextlib.suppress(OSError):
            status = await cluster.operator(machine, "status", {})
            total += status["counters"]["router.retries"]
    return total


app = cyclopts.App(help=__doc__)


@app.default
def main(
    *names: str,
    control: str | None = None,
    seed: int = 1,
    out: pathlib.Path = pathlib.Path("out"),
) -> None:
    """Runs scenarios and prints a table.

    Args:
        names: Scenarios by name or path; all of them if none is given.
        control: Only this control: none, hop or burdockfront.
        seed: Seed of arrivals and choices.
        out: Where results and plots go.
    """
    out.mkdir(parents=True, exist_ok=True)
    controls = [control] if control else list(scenario_lib.CONTROLS)
    summaries = []
    for name in names or scenario_lib.names():
        scenario = scenario_lib.load(name)
        runs = {}
        for each in controls:
            print(f"seed {seed}: {scenario.name} under {each}", flush=True)
            runs[each] = asyncio.run(run(scenario, each, seed))
            summaries.append(runs[each].summary)
            print("\n".join(analysis.endings(scenario, runs[each].results)))
            print(analysis.table([runs[each].summary]), flush=True)
        plots.draw_runs(
            scenario,
            {each: finished.results for each, finished in runs.items()},
            _DEADLINE_S,
            out / f"{scenario.name}.svg",
        )
    text = orjson.dumps([dataclasses.asdict(s) for s in summaries])
    (out / "experiment.json").write_bytes(text)
    print(analysis.table(summaries))


if __name__ == "__main__":
    app()
