"""Tests of how nodes keep and exchange self reports of backend servers."""

import time

import orjson
import pytest

from burdockfront import errors
from burdockfront import incarnations
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_client import wire
from burdockfront_node import backend_self_reports
from tests import builders

_FIRST = incarnations.Incarnation("i-1", 17)
_NEXT = incarnations.Incarnation("i-2", 18)
_LIMITED = self_reports.SelfReport(_FIRST, limit_per_s=6.5)
_LEAVING = self_reports.SelfReport(_FIRST, leaving=True)


def _new_process() -> backend_self_reports.BackendSelfReports:
    return backend_self_reports.BackendSelfReports(
        timeline.Recorder("n1", "dc1", 100)
    )


@pytest.mark.parametrize("report", [_LIMITED, _LEAVING])
def test_report_is_encoded_in_calls_and_answers(report):
    described = wire.encode_call(
        7, wire.CallMetadata(True, "shop", "fees"), "", report
    )
    received = wire.read_call([(wire.CALL, described), ("host", "shop")])
    assert received.report == report
    answer = builders.an_answer()
    answer.report = report
    described = wire.encode_answer(answer, "a", 7)
    read, _ = wire.decode_answer(described, "a", 200, (), b"")
    assert read.report == report


@pytest.mark.parametrize("report", [None, _LIMITED])
def test_server_state_is_encoded_in_answers_with_and_without_a_report(report):
    answer = builders.an_answer()
    answer.report = report
    answer.pace = 2.5
    answer.over_share = {"4f2a": 3.0}
    described = wire.encode_answer(answer, "a", 7)
    read, _ = wire.decode_answer(described, "a", 200, (), b"")
    assert read.report == report
    assert read.pace == 2.5
    assert read.over_share == {"4f2a": 3.0}


@pytest.mark.parametrize("pace", ["fast", -1.0, 0, None])
def test_answer_with_an_invalid_server_state_raises_a_dispatch_error(pace):
    answer = builders.an_answer()
    answer.pace = 2.0
    parts = orjson.loads(wire.encode_answer(answer, "a", 7))
    parts[-1]["p"] = pace
    with pytest.raises(errors.DispatchError):
        wire.decode_answer(orjson.dumps(parts).decode(), "a", 200, (), b"")


def test_calls_and_answers_without_a_report_carry_no_extra_fields():
    assert len(wire.encode_call(7, wire.CallMetadata(), "")) < 20
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
def test_invalid_report_is_rejected_with_the_expected_form(parts):
    with pytest.raises(errors.InvalidInputError, match="leaving, limit"):
        self_reports.from_parts(parts)


def test_restarted_guard_applies_the_limit_from_the_first_call():
    beliefs = _new_process()
    beliefs.on_relayed_report(_LIMITED)
    assert beliefs.rate.per_s is None, (
        "the incarnation in service is not known yet"
    )
    beliefs.on_in_service(_FIRST)
    assert beliefs.rate.per_s == 6.5
    assert not beliefs.rate.take(time.monotonic()), "the bucket starts empty"


def test_report_from_a_node_on_an_earlier_incarnation_is_ignored():
    beliefs = _new_process()
    beliefs.on_in_service(_NEXT)
    beliefs.on_relayed_report(_LIMITED)
    assert beliefs.rate.per_s is None
    assert beliefs.report_for(_LIMITED) == self_reports.SelfReport(_NEXT)


def test_answer_of_the_backend_server_overrides_reports_of_nodes():
    beliefs = _new_process()
    beliefs.on_in_service(_FIRST)
    beliefs.on_answer(self_reports.NO_NOTICE, _FIRST, 0.0)
    beliefs.on_relayed_report(_LIMITED)
    assert beliefs.rate.per_s is None
    assert beliefs.report_for(_LIMITED) == self_reports.SelfReport(_FIRST)


def test_limit_from_a_node_ends_with_the_first_answer_without_one():
    beliefs = _new_process()
    beliefs.on_in_service(_FIRST)
    handed_s = time.monotonic() - 1.0
    beliefs.on_relayed_report(_LIMITED)
    beliefs.on_answer(self_reports.NO_NOTICE, _FIRST, handed_s)
    assert beliefs.rate.per_s is None


def test_router_removes_a_limit_when_the_guard_reports_its_end():
    reports = self_reports.ReceivedReports()
    reports.record("n1", _LIMITED, True)
    reports.record("n2", _LIMITED, True)
    reports.record("n1", self_reports.SelfReport(_FIRST), False)
    assert list(reports.by_node) == ["n2"]


def test_leaving_is_cleared_only_when_the_successor_answers():
    # A guard that restarts may take a late heartbeat for the server in
    # service; its report alone must not route requests to a leaving server.
    reports = self_reports.ReceivedReports()
    reports.record("n1", _LEAVING, True)
    reports.record("n1", self_reports.SelfReport(_FIRST), True)
    assert reports.by_node["n1"].leaving, "leaving can not be revoked"
    reports.record("n1", self_reports.SelfReport(_NEXT), False)
    assert reports.by_node["n1"].incarnation == _FIRST
    reports.record("n1", self_reports.SelfReport(_NEXT), True)
    assert not reports.by_node


def test_number_of_kept_reports_is_bounded():
    reports = self_reports.ReceivedReports()
    for number in range(5000):
        reports.record(f"n{number}", _LIMITED, True)
    assert len(reports.by_node) <= 1024
