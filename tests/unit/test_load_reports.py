"""Decisions on load reports of backend servers."""

import hypothesis
import pytest
from hypothesis import strategies

from burdockfront import incarnations
from burdockfront import load_reports

_FIRST = incarnations.Incarnation("i-1", 1_000)
_PROBLEM = load_reports.Problem


def _in_service(
    incarnation: incarnations.Incarnation = _FIRST,
) -> load_reports.ServerLoad:
    load = load_reports.ServerLoad()
    load.on_in_service(incarnation)
    return load


@pytest.mark.parametrize(
    ("value", "report"),
    [
        ("3,0,38,250", load_reports.LoadReport(3, 0, 38, 2.5)),
        ("3,0,38", load_reports.LoadReport(3, 0, 38, 1.0)),
        (" 40, 7 ,38 , 100 ", load_reports.LoadReport(40, 7, 38, 1.0)),
        ("0,0,1,71.5", load_reports.LoadReport(0, 0, 1, 0.715)),
    ],
)
def test_report_of_three_or_four_figures_is_read(value, report):
    load = _in_service()
    assert load.record(_FIRST, [value], 1.0, 1.1) is None
    assert load.latest(1.1) == report


@pytest.mark.parametrize(
    ("values", "problem"),
    [
        ([""], _PROBLEM.UNREADABLE),
        (["3,0"], _PROBLEM.UNREADABLE),
        (["3,0,38,"], _PROBLEM.UNREADABLE),
        (["3,0,38,250,1"], _PROBLEM.UNREADABLE),
        (["3,0,38,nan"], _PROBLEM.UNREADABLE),
        (["3,0,38,1e3"], _PROBLEM.UNREADABLE),
        (["3,0,38,-250"], _PROBLEM.OUT_OF_RANGE),
        (["-3,0,38,250"], _PROBLEM.OUT_OF_RANGE),
        (["٣,0,38"], _PROBLEM.UNREADABLE),
        (["3,0,38\n"], _PROBLEM.UNREADABLE),
        (["3,0,99999999999999"], _PROBLEM.OUT_OF_RANGE),
        (["3.5,0,38"], _PROBLEM.OUT_OF_RANGE),
        (["1," * 400], _PROBLEM.UNREADABLE),
        (["100001,0,38"], _PROBLEM.OUT_OF_RANGE),
        (["3,0,0"], _PROBLEM.OUT_OF_RANGE),
        (["3,0,38,0"], _PROBLEM.OUT_OF_RANGE),
        (["3,0,38,9"], _PROBLEM.OUT_OF_RANGE),
        (["3,0,38,10001"], _PROBLEM.OUT_OF_RANGE),
        (["3,0,38", "3,0,38"], _PROBLEM.DUPLICATE),
    ],
)
def test_damaged_report_counts_as_none(values, problem):
    """Guards against damaged reports that drive work to or from a server."""
    load = _in_service()
    assert load.record(_FIRST, values, 1.0, 1.1) is problem
    assert load.latest(1.1) is None
    assert load.pace(1.1) == 1.0
    assert not load.is_reported


def test_report_of_a_slow_server_is_its_pace_until_it_expires():
    load = _in_service()
    assert load.record(_FIRST, ["3,0,38,250"], 1.0, 1.25) is None
    assert load.latest(2.25) == load_reports.LoadReport(3, 0, 38, 2.5)
    assert load.pace(2.25) == 2.5
    assert load.latest(2.26) is None
    assert load.pace(2.26) == 1.0


def test_damaged_report_leaves_the_previous_one_valid():
    load = _in_service()
    load.record(_FIRST, ["3,0,38,250"], 1.0, 1.2)
    assert load.record(_FIRST, ["x"], 1.3, 1.4) is _PROBLEM.UNREADABLE
    assert load.pace(1.4) == 2.5
    assert load.pace(2.3) == 1.0


def test_each_problem_is_returned_once_for_an_incarnation():
    """Guards against a log line for each answer of a server."""
    load = _in_service()
    found = [load.record(_FIRST, ["x"], at, at) for at in (1.0, 2.0, 3.0)]
    assert found == [_PROBLEM.UNREADABLE, None, None]
    assert load.record(_FIRST, ["1,0,0"], 4.0, 4.0) is _PROBLEM.OUT_OF_RANGE
    assert load.ignored == 4
    second = incarnations.Incarnation("i-1", 2_000)
    load.on_in_service(second)
    assert load.record(second, ["x"], 5.0, 5.0) is _PROBLEM.UNREADABLE


def test_report_on_the_answer_to_an_earlier_request_is_not_used():
    """Guards against a late answer that replaces a newer report."""
    load = _in_service()
    load.record(_FIRST, ["3,0,38,250"], 3.0, 3.1)
    assert load.record(_FIRST, ["3,0,38,100"], 1.9, 3.2) is _PROBLEM.OUTDATED
    assert load.pace(3.2) == 2.5
    assert load.record(_FIRST, ["3,0,38,300"], 3.0, 3.3) is None
    assert load.pace(3.3) == 3.0


def test_report_on_the_answer_to_a_long_request_is_used():
    """Guards against dropping most reports of a server with mixed requests."""
    load = _in_service()
    load.record(_FIRST, ["3,0,38,100"], 3.0, 3.1)
    assert load.record(_FIRST, ["3,0,38,250"], 2.5, 3.2) is None
    assert load.pace(3.2) == 2.5
    assert load.record(_FIRST, ["3,0,38,100"], 1.9, 3.3) is _PROBLEM.OUTDATED


def test_load_is_unknown_after_a_restart_under_the_same_id():
    """Guards against blaming a new incarnation for a slow earlier one."""
    load = _in_service()
    load.record(_FIRST, ["3,0,38,250"], 1.0, 1.1)
    load.record_warm_up(5.0, 1.1)
    second = incarnations.Incarnation("i-1", 2_000)
    load.on_in_service(second)
    assert load.latest(1.2) is None
    assert load.pace(1.2) == 1.0
    assert not load.is_reported
    # The last answer of the earlier incarnation arrives late.
    late = load.record(_FIRST, ["3,0,38,400"], 1.0, 1.3)
    assert late is _PROBLEM.OTHER_INCARNATION
    assert load.pace(1.3) == 1.0
    assert load.record(second, ["0,0,38,100"], 1.2, 1.3) is None


def test_report_stays_when_the_start_time_becomes_known():
    # The initial health check has no start time; the first heartbeat has.
    undated = incarnations.Incarnation("i-1")
    load = _in_service(undated)
    load.record(undated, ["3,0,38,250"], 1.0, 1.1)
    load.on_in_service(_FIRST)
    assert load.pace(1.2) == 2.5
    load.on_in_service(incarnations.Incarnation("i-1", 2_000))
    assert load.pace(1.2) == 1.0


def test_report_before_an_incarnation_is_in_service_is_not_used():
    load = load_reports.ServerLoad()
    problem = load.record(_FIRST, ["3,0,38,250"], 1.0, 1.1)
    assert problem is _PROBLEM.OTHER_INCARNATION


def test_pace_doubles_while_the_server_is_warming_up():
    load = _in_service()
    load.record_warm_up(3.0, 1.0)
    assert load.pace(3.9) == 2.0
    assert not load.is_reported, "the slowdown of its machine is unknown"
    load.record(_FIRST, ["3,0,38,150"], 3.0, 3.9)
    assert load.pace(3.95) == 3.0
    assert load.pace(4.0) == 1.5
    load.record_warm_up(3.0, 5.0)
    load.record_warm_up(0.0, 5.1)
    assert load.pace(5.2) == 1.0


@pytest.mark.parametrize("warm_in_s", [0.0, -1.0, 601.0, float("inf")])
def test_damaged_warm_up_time_counts_as_none(warm_in_s):
    load = _in_service()
    load.record_warm_up(warm_in_s, 1.0)
    assert load.pace(1.1) == 1.0
    assert not load.is_reported


@hypothesis.given(
    values=strategies.lists(
        strategies.text(max_size=20)
        | strategies.lists(
            strategies.integers(-(10**9), 10**9)
            | strategies.floats()
            | strategies.text(max_size=3),
            max_size=6,
        ).map(lambda parts: ",".join(map(str, parts))),
        max_size=3,
    )
)
def test_any_value_gives_a_report_within_bounds_or_a_problem(values):
    load = _in_service()
    problem = load.record(_FIRST, values, 1.0, 1.0) if values else None
    found = load.latest(1.0)
    assert (found is None) == (problem is not None or not values)
    assert 0.1 <= load.pace(1.0) <= 100.0
    if found is not None:
        assert found.slowdown == load.pace(1.0)
        assert 1 <= found.slots <= 100_000
        assert 0 <= found.running <= 100_000
        assert 0 <= found.waiting <= 100_000
