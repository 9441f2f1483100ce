"""What a guard believes of the terms that its backend server names."""

import time

from burdockfront import incarnations
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_node import backend_self_reports

_START = incarnations.Incarnation("i-1")


def _beliefs() -> tuple[
    backend_self_reports.BackendSelfReports, timeline.Recorder
]:
    recorder = timeline.Recorder("n1", "dc1", 100)
    beliefs = backend_self_reports.BackendSelfReports(recorder)
    beliefs.on_in_service(_START)
    return beliefs, recorder


def _kinds(recorder: timeline.Recorder) -> list[str]:
    return [e.kind for e in recorder.select(timeline.Filter(), 100)]


def test_each_change_of_a_limit_is_one_line():
    beliefs, recorder = _beliefs()
    for limit_per_s in (6.5, 6.5, 9.0, None, None):
        notice = self_reports.BackendNotice(limit_per_s=limit_per_s)
        beliefs.on_answer(notice, _START, time.monotonic())
    found = recorder.select(timeline.Filter(kind="backend.limit"), 100)
    told = [(e.detail["before"], e.detail["limit_per_s"]) for e in found]
    assert told == [(None, 6.5), (6.5, 9.0), (9.0, None)]


def test_unreadable_limit_changes_nothing_and_is_told_once():
    beliefs, recorder = _beliefs()
    beliefs.on_answer(self_reports.BackendNotice(limit_per_s=6.5), _START, 0.0)
    for _ in range(3):
        beliefs.on_answer(
            self_reports.BackendNotice(unreadable="many"), _START, 0.0
        )
    assert beliefs.report.limit_per_s == 6.5
    assert _kinds(recorder) == ["backend.limit", "backend.limit-unreadable"]
    both = self_reports.BackendNotice(leaving=True, unreadable="many")
    beliefs.on_answer(both, _START, 0.0)
    assert beliefs.report.leaving


def test_next_start_of_a_backend_server_has_said_nothing_yet():
    beliefs, _ = _beliefs()
    notice = self_reports.BackendNotice(leaving=True, limit_per_s=6.5)
    beliefs.on_answer(notice, _START, 0.0)
    beliefs.on_in_service(incarnations.Incarnation("i-2"))
    assert beliefs.report.is_plain
    beliefs.on_answer(notice, _START, 0.0)
    assert beliefs.report.is_plain, "a late answer of the start before"


def test_later_start_under_the_same_id_has_said_nothing_yet():
    # The node heard of the first one without its birth, by a health check.
    beliefs, _ = _beliefs()
    notice = self_reports.BackendNotice(leaving=True, limit_per_s=6.5)
    beliefs.on_answer(notice, _START, 0.0)
    beliefs.on_in_service(incarnations.Incarnation("i-1", 17))
    beliefs.on_answer(notice, _START, 0.0)
    assert beliefs.report.leaving
    beliefs.on_in_service(incarnations.Incarnation("i-1", 18))
    assert beliefs.report.is_plain
    assert beliefs.rate.per_s is None
