"""Tests of a guard's view of the self reports of its backend server."""

import time

from burdockfront import incarnations
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_node import backend_self_reports

_FIRST = incarnations.Incarnation("i-1")


def _reports() -> tuple[
    backend_self_reports.BackendSelfReports, timeline.Recorder
]:
    recorder = timeline.Recorder("n1", "dc1", 100)
    reports = backend_self_reports.BackendSelfReports(recorder)
    reports.on_in_service(_FIRST)
    return reports, recorder


def _kinds(recorder: timeline.Recorder) -> list[str]:
    return [e.kind for e in recorder.select(timeline.Filter(), 100)]


def test_each_change_of_a_limit_is_recorded_once():
    reports, recorder = _reports()
    for limit_per_s in (6.5, 6.5, 9.0, None, None):
        notice = self_reports.BackendNotice(limit_per_s=limit_per_s)
        reports.on_answer(notice, _FIRST, time.monotonic())
    found = recorder.select(timeline.Filter(kind="backend.limit"), 100)
    limits = [(e.detail["before"], e.detail["limit_per_s"]) for e in found]
    assert limits == [(None, 6.5), (6.5, 9.0), (9.0, None)]


def test_unreadable_limit_keeps_the_limit_and_is_recorded_once():
    reports, recorder = _reports()
    reports.on_answer(self_reports.BackendNotice(limit_per_s=6.5), _FIRST, 0.0)
    for _ in range(3):
        reports.on_answer(
            self_reports.BackendNotice(unreadable="many"), _FIRST, 0.0
        )
    assert reports.report.limit_per_s == 6.5
    assert _kinds(recorder) == ["backend.limit", "backend.limit-unreadable"]
    both = self_reports.BackendNotice(leaving=True, unreadable="many")
    reports.on_answer(both, _FIRST, 0.0)
    assert reports.report.leaving


def test_new_incarnation_starts_without_a_report():
    reports, _ = _reports()
    notice = self_reports.BackendNotice(leaving=True, limit_per_s=6.5)
    reports.on_answer(notice, _FIRST, 0.0)
    reports.on_in_service(incarnations.Incarnation("i-2"))
    assert reports.report.is_plain
    reports.on_answer(notice, _FIRST, 0.0)
    assert reports.report.is_plain, "a late answer of the previous incarnation"


def test_new_incarnation_under_the_same_id_starts_without_a_report():
    # The node learned of the first incarnation from a health check, which has
    # no start time.
    reports, _ = _reports()
    notice = self_reports.BackendNotice(leaving=True, limit_per_s=6.5)
    reports.on_answer(notice, _FIRST, 0.0)
    reports.on_in_service(incarnations.Incarnation("i-1", 17))
    reports.on_answer(notice, _FIRST, 0.0)
    assert reports.report.leaving
    reports.on_in_service(incarnations.Incarnation("i-1", 18))
    assert reports.report.is_plain
    assert reports.rate.per_s is None
