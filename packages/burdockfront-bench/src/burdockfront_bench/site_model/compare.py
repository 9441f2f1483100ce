"""Compares kinds of admission over seeds and troubles, in the model of a site.

python -m burdockfront_bench.site_model.compare flow level --seeds 4
python -m burdockfront_bench.site_model.compare flow --scarce
"""

import dataclasses
import statistics

import cyclopts

from burdockfront import registry
from burdockfront_bench.site_model import results as results_lib
from burdockfront_bench.site_model import sheet as sheet_lib
from burdockfront_bench.site_model import site as site_lib

CASES = registry.Registry("case of the model")
_LENGTH_S = 12.0

app = cyclopts.App(help=__doc__)

Troubles = tuple[sheet_lib.Trouble, ...]


@CASES.register("calm")
def calm() -> Troubles:
    """Nothing happens."""
    return ()


@CASES.register("burst")
def burst() -> Troubles:
    """Callers press for most of the run."""
    return (sheet_lib.Trouble("burst", 2.0, 10.0, 1.7),)


@CASES.register("shed")
def shed() -> Troubles:
    """Servers of the deepest service refuse a part, whatever their load."""
    return (
        sheet_lib.Trouble("burst", 2.0, 10.0, 1.4),
        sheet_lib.Trouble("shed", 4.0, 6.0, 0.4, service="fees"),
    )


@CASES.register("slow")
def slow() -> Troubles:
    """A quarter of the servers takes five times as long."""
    return (sheet_lib.Trouble("slow", 3.0, 6.0, 5.0, 0.25),)


@CASES.register("spells")
def spells() -> Troubles:
    """15% of the servers are slow for 0.6 s at a time, and report it."""
    return (sheet_lib.Trouble("spells", 0.0, _LENGTH_S, 2.5, 0.15),)


@CASES.register("waves")
def waves() -> Troubles:
    """Demand swings between data centres."""
    return (sheet_lib.Trouble("waves", 0.0, _LENGTH_S, 0.55),)


@CASES.register("lost")
def lost() -> Troubles:
    """A quarter of the nodes is gone for a while, beside a burst."""
    return (
        sheet_lib.Trouble("burst", 2.0, 10.0, 1.4),
        sheet_lib.Trouble("lost", 4.0, 3.0, 1.0, 0.25),
    )


@CASES.register("limit")
def limit() -> Troubles:
    """Half of the servers of a service name limits; all nodes begin anew."""
    return (
        sheet_lib.Trouble("limit", 2.0, 10.0, 5.0, 0.5, "timetable"),
        sheet_lib.Trouble("anew", 7.0, 0.0),
    )


@CASES.register("limit-all")
def limit_all() -> Troubles:
    """All servers of the deepest service name limits, beside a burst."""
    return (
        sheet_lib.Trouble("burst", 2.0, 10.0, 1.4),
        sheet_lib.Trouble("limit", 3.0, 9.0, 40.0, service="fees"),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """What one kind of admission came to in one case.

    Attributes:
        admission: The kind.
        case: The case.
        worth: Mean over the seeds.
        spread: Deviation over the seeds.
        useful: Share of the used slot time that went into good answers.
        served: Share of requests that were served, by kind.
        over_limit: Servers that got more than they had named, in all seeds.
    """

    admission: str
    case: str
    worth: float
    spread: float
    useful: float
    served: dict[str, float]
    over_limit: int


def measure(admission: str, case: str, seeds: int, scarce: bool = False) -> Row:
    """Plays one case with several seeds, on the evening or the scarce sheet."""
    results = [
        site_lib.run(
            sheet_lib.scarce() if scarce else sheet_lib.evening(),
            seed,
            _LENGTH_S,
            admission,
            CASES.get(case)(),
        )
        for seed in range(seeds)
    ]
    worth = [result.worth for result in results]
    return Row(
        admission,
        case,
        statistics.mean(worth),
        statistics.pstdev(worth),
        statistics.mean(result.useful for result in results),
        _served(results),
        sum(result.over_limit for result in results),
    )


def _served(results: list[results_lib.Result]) -> dict[str, float]:
    found = {}
    for name in sorted(results[0].tallies):
        tallies = [result.tallies[name] for result in results]
        served = sum(tally.in_time + tally.late for tally in tallies)
        asked = sum(tally.asked for tally in tallies)
        found[name] = round(served / max(1, asked), 3)
    return found


@app.default
def main(*admissions: str, seeds: int = 3, scarce: bool = False) -> None:
    """Prints a row for each kind of admission and case."""
    for case in CASES.names():
        for admission in admissions or ("flow", "level", "limit"):
            row = measure(admission, case, seeds, scarce)
            print(
                f"{row.case:6} {row.admission:6} worth {row.worth:.3f} "
                f"+-{row.spread:.3f} useful {row.useful:.2f} {row.served} "
                f"over limit {row.over_limit}",
                flush=True,
            )


if __name__ == "__main__":
    app()
