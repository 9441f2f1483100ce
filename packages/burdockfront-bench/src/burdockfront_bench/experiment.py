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
from burdockfront_bench import faults
from burdockfront_bench import load as load_lib
from burdockfront_bench import mesh
from burdockfront_bench import plots
from burdockfront_bench import scenario as scenario_lib

_DEADLINE_S = 2.0
_LOADERS = 3
_LEAD_S = 2.5
_MIX = [
    callers.Kind("browse", "GET", "/catalogue/classes", 0.55),
    callers.Kind("overview", "GET", "/enrolment/overview", 0.30),
    callers.Kind("confirm", "POST", "/enrolment/confirm", 0.15),
]


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A finished run."""

    summary: analysis.Summary
    results: list[callers.Result]


async def run(scenario: scenario_lib.Scenario, control: str, seed: int) -> Run:
    """Runs one scenario under one control."""
    layout = cluster_lib.Layout(
        services=mesh.gandhinagar(), proxied=scenario.proxied
    )
    async with cluster_lib.running(layout) as cluster:
        await _set_control(cluster, control)
        start_at_s = time.time() + _LEAD_S
        loading = asyncio.create_task(
            _load(cluster, scenario, start_at_s, seed)
        )
        trouble = asyncio.create_task(
            _make_trouble(cluster, scenario, start_at_s)
        )
        results = await loading
        ledgers = await trouble
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
    start_at_s: float,
    seed: int,
) -> list[callers.Result]:
    processes = []
    outputs = []
    for number in range(_LOADERS):
        load = _load_of(cluster, scenario, start_at_s, seed, number)
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
    start_at_s: float,
    seed: int,
    number: int,
) -> load_lib.Load:
    rate_per_s = scenario.base_per_s / _LOADERS
    surge_per_s = rate_per_s * scenario.surge
    return load_lib.Load(
        name=f"load{seed}-{number}",
        entries=[m.caller for m in cluster.machines],
        mix=_MIX,
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


async def _make_trouble(
    cluster: cluster_lib.Cluster,
    scenario: scenario_lib.Scenario,
    start_at_s: float,
) -> dict[str, list[dict[str, Any]]]:
    """Brings the faults about in time.

    Returns:
        What backend servers that are ended had counted so far.
    """
    begin_s = start_at_s + scenario.before_s
    await asyncio.sleep(begin_s - time.time())
    saved = await _ledgers_of_doomed(cluster, scenario)
    undoing = []
    for fault in scenario.faults:
        undo = await faults.begin(cluster, fault)
        until_s = fault.until_s or scenario.trigger_s
        undoing.append(asyncio.create_task(_undo(undo, begin_s + until_s)))
    if undoing:
        await asyncio.gather(*undoing)
    return saved


async def _undo(undo: faults.Undo, at_s: float) -> None:
    await asyncio.sleep(at_s - time.time())
    await undo()


async def _ledgers_of_doomed(
    cluster: cluster_lib.Cluster, scenario: scenario_lib.Scenario
) -> dict[str, list[dict[str, Any]]]:
    saved: dict[str, list[dict[str, Any]]] = {}
    for fault in scenario.faults:
        if fault.kind in ("kill", "drain"):
            for machine in cluster.of_service(fault.service)[: fault.count]:
                ledger = await cluster.ledger(machine)
                saved.setdefault(fault.service, []).append(ledger)
    return saved


async def _ledgers(
    cluster: cluster_lib.Cluster,
) -> dict[str, list[dict[str, Any]]]:
    found: dict[str, list[dict[str, Any]]] = {}
    for machine in cluster.machines:
        ledger = await cluster.ledger(machine)
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
