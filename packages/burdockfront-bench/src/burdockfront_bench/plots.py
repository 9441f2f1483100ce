"""Pictures of runs."""

import pathlib

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot

from burdockfront_bench import analysis
from burdockfront_bench import callers
from burdockfront_bench import scenario as scenario_lib

_WINDOWS_PER_S = 2


def draw_runs(
    scenario: scenario_lib.Scenario,
    runs: dict[str, list[callers.Result]],
    deadline_s: float,
    path: pathlib.Path,
) -> None:
    """Draws good requests per second over time, one line per control."""
    figure, axes = pyplot.subplots(figsize=(8, 3.5))
    end_s = scenario.before_s + scenario.trigger_s
    last_s = end_s + scenario.after_s
    for control, results in runs.items():
        found = analysis.windows(results, 0.0, last_s, deadline_s)
        axes.plot(
            [w.begin_s for w in found],
            [w.good * _WINDOWS_PER_S for w in found],
            label=control,
        )
    axes.axvspan(scenario.before_s, end_s, alpha=0.12, label="trigger")
    axes.set_xlabel("seconds")
    axes.set_ylabel("good whole requests per second")
    axes.set_title(f"{scenario.name}: {scenario.about}")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def draw_slopes(
    title: str,
    unit: str,
    lines: dict[str, list[tuple[float, float]]],
    path: pathlib.Path,
) -> None:
    """Draws figures over the number of nodes."""
    figure, axes = pyplot.subplots(figsize=(6, 3.5))
    for label, points in lines.items():
        axes.plot(
            [x for x, _ in points],
            [y for _, y in points],
            marker="o",
            label=label,
        )
    axes.set_xlabel("nodes")
    axes.set_ylabel(unit)
    axes.set_title(title)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
