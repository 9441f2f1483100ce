"""The judge of the scenarios must judge rightly itself."""

from burdockfront_bench import analysis
from burdockfront_bench import callers
from burdockfront_bench import scenario

_SCENARIO = scenario.Scenario(
    name="x", about="y", before_s=4.0, trigger_s=2.0, after_s=6.0
)


def _results(bad_until_s: float) -> list[callers.Result]:
    found = []
    for number in range(480):
        at_s = number / 40
        bad = 4.0 <= at_s < bad_until_s
        outcome = "not-run" if bad else "done"
        found.append(
            callers.Result("browse", f"r{number}", at_s, 0.05, outcome)
        )
    return found


def test_recovery_counts_from_the_end_of_the_trigger():
    found = analysis.recovery_s(_SCENARIO, _results(7.0), 2.0)
    assert found == 1.0


def test_no_recovery_within_the_run_is_said_so():
    assert analysis.recovery_s(_SCENARIO, _results(11.5), 2.0) is None


def test_waste_is_work_for_requests_that_were_not_good():
    ledger = {"work": {"r1": [1, 3.0], "r400": [1, 1.0]}, "runs": {"k": 2}}
    summary = analysis.summarize(
        _SCENARIO, "none", _results(4.0), {"fees": [ledger]}, 0, 2.0
    )
    assert summary.waste_share == 0.0
    late = analysis.summarize(
        _SCENARIO, "none", _results(12.0), {"fees": [ledger]}, 0, 2.0
    )
    assert late.waste_share == 0.25
    assert late.doubled == 1


def test_endings_count_only_what_arrived_during_the_trigger():
    lines = analysis.endings(_SCENARIO, _results(5.0))
    assert [line.split() for line in lines] == [
        ["40", "browse", "not-run", "-"],
        ["40", "browse", "done", "-"],
    ]
