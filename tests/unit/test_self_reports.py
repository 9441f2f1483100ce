"""What nodes remember and tell each other of backend servers' own words."""

import time

import pytest

from burdockfront import errors
from burdockfront import incarnations
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_client import wire
from burdockfront_node import backend_beliefs
from tests import builders

_FIRST = incarnations.Incarnation("i-1", 17)
_NEXT = incarnations.Incarnation("i-2", 18)
_LIMITED = self_reports.SelfReport(_FIRST, limit_per_s=6.5)
_LEAVING = self_reports.SelfReport(_FIRST, leaving=True)


def _new_process() -> backend_beliefs.BackendBeliefs:
    return backend_beliefs.BackendBeliefs(timeline.Recorder("n1", "dc1", 100))


@pytest.mark.parametrize("report", [_LIMITED, _LEAVING])
def test_report_travels_with_a_call_and_with_an_answer(report):
    described = wire.encode_call(7, wire.Mark(True, "shop", "fees"), "", report)
    told = wire.read_call([(wire.CALL, described), ("host", "shop")])
    assert told.report == report
    answer = builders.an_answer()
    answer.report = report
    described = wire.encode_answer(answer, "a", 7)
    read, _ = wire.decode_answer(described, "a", 200, (), b"")
    assert read.report == report


def test_nothing_is_added_to_calls_and_answers_while_nothing_is_said():
    assert len(wire.encode_call(7, wire.Mark(), "")) < 20
    described = wire.encode_answer(builders.an_answer(), "a", 7)
    read, _ = wire.decode_answer(described, "a", 200, (), b"")
    assert read.report is None


@pytest.mark.parametrize(
    "parts",
    [
        None,
        7,
        [],
        ["i-1", None, False],
        [5, None, False, 1.0],
        ["i-1", "soon", False, 1.0],
        ["i-1", None, 1, 1.0],
        ["i-1", None, False, -1.0],
        ["i-1", None, False, "many"],
        ["i-1", None, False, True],
    ],
)
def test_strange_report_is_refused_with_what_was_expected(parts):
    with pytest.raises(errors.InvalidInputError, match="leaving, limit"):
        self_reports.from_parts(parts)


def test_guard_that_begins_anew_holds_the_limit_from_the_first_call_on():
    beliefs = _new_process()
    beliefs.told(_LIMITED)
    assert beliefs.rate.per_s is None, "it does not know yet who is in service"
    beliefs.in_service(_FIRST)
    assert beliefs.rate.per_s == 6.5
    assert not beliefs.rate.take(time.monotonic()), "the bucket begins empty"


def test_word_of_another_node_on_an_earlier_start_binds_nobody():
    beliefs = _new_process()
    beliefs.in_service(_NEXT)
    beliefs.told(_LIMITED)
    assert beliefs.rate.per_s is None
    assert beliefs.report_to(_LIMITED) == self_reports.SelfReport(_NEXT)


def test_what_the_backend_server_answers_goes_before_what_others_remember():
    beliefs = _new_process()
    beliefs.in_service(_FIRST)
    beliefs.answered(self_reports.NOTHING, _FIRST, 0.0)
    beliefs.told(_LIMITED)
    assert beliefs.rate.per_s is None
    assert beliefs.report_to(_LIMITED) == self_reports.SelfReport(_FIRST)


def test_limit_told_by_a_node_ends_with_the_first_answer_that_names_none():
    beliefs = _new_process()
    beliefs.in_service(_FIRST)
    handed_s = time.monotonic() - 1.0
    beliefs.told(_LIMITED)
    beliefs.answered(self_reports.NOTHING, _FIRST, handed_s)
    assert beliefs.rate.per_s is None


def test_router_forgets_a_limit_when_the_guard_says_that_it_ended():
    heard = self_reports.HeardReports()
    heard.heard("n1", _LIMITED, True)
    heard.heard("n2", _LIMITED, True)
    heard.heard("n1", self_reports.SelfReport(_FIRST), False)
    assert list(heard.by_node) == ["n2"]


def test_router_forgets_that_a_server_left_when_its_successor_answers():
    # A guard that begins anew may take a late heartbeat for the server; its
    # word alone must not bring requests to the one that leaves.
    heard = self_reports.HeardReports()
    heard.heard("n1", _LEAVING, True)
    heard.heard("n1", self_reports.SelfReport(_FIRST), True)
    assert heard.by_node["n1"].leaving, "it does not take that back"
    heard.heard("n1", self_reports.SelfReport(_NEXT), False)
    assert heard.by_node["n1"].incarnation == _FIRST
    heard.heard("n1", self_reports.SelfReport(_NEXT), True)
    assert not heard.by_node


def test_router_remembers_a_bounded_number_of_guards():
    heard = self_reports.HeardReports()
    for number in range(5000):
        heard.heard(f"n{number}", _LIMITED, True)
    assert len(heard.by_node) <= 1024
