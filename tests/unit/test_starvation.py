"""Tests of inferring which requests fail because of overload downstream."""

import random

from burdockfront import levels
from burdockfront import outcomes
from burdockfront import starvation
from burdockfront_client import calls
from burdockfront_node import lineage as lineage_lib
from tests import builders

_RULES = starvation.Child("fees", "fee-rule")


def test_requests_that_enter_at_nodes_of_all_services_are_new_work():
    tracker = starvation.CallOriginTracker()
    for number in range(40):
        origin = ["catalogue", "enrolment", "timetable", "fees"][number % 4]
        tracker.record("browse", origin)
        tracker.record("fee-rule", "timetable")
    assert tracker.is_new_work("browse", 4)
    assert not tracker.is_new_work("fee-rule", 4)


def test_class_of_unknown_origin_is_not_new_work():
    # If the class consists of calls, refusing it by level would fail whole
    # requests.
    tracker = starvation.CallOriginTracker()
    tracker.record("browse", "catalogue")
    tracker.record("browse", "fees")
    assert not tracker.is_new_work("browse", 2)


def test_class_that_fails_with_refused_calls_depends_on_them():
    tracker = starvation.StarvationTracker()
    for at_s in range(20):
        tracker.record_refusal(_RULES, at_s + 0.5)
        assert tracker.record_end("roster", float(at_s), failed=True)
    assert tracker.causes("roster") == [_RULES]


def test_unrelated_failures_do_not_make_a_class_dependent():
    # Timings and rosters run at the same backend server. One timing in fifty
    # fails for unrelated reasons, always while calls of rosters are refused.
    rng = random.Random(5)
    tracker = starvation.StarvationTracker()
    for at_s in range(2000):
        tracker.record_refusal(_RULES, at_s + 0.5)
        tracker.record_end("timings", float(at_s), failed=rng.random() < 0.02)
        assert not tracker.causes("timings"), at_s


def test_failure_without_a_refused_call_is_not_starvation():
    tracker = starvation.StarvationTracker()
    tracker.record_refusal(_RULES, 1.0)
    assert not tracker.record_end("roster", 2.0, failed=True)


def test_level_of_a_deep_service_reaches_the_class_at_the_entry():
    # fees is overloaded and returns its level on answers. Rosters at timetable
    # fail with their refused calls, and so do the requests one layer above
    # that called rosters: each node adds the called class to the path of its
    # own class.
    tracker = levels.LevelTracker()
    lineage = lineage_lib.Lineage(tracker, lambda: 4)
    refusal = outcomes.not_run(outcomes.Reason.OVERLOAD, 1.0)
    for _ in range(20):
        started_s = calls.time.monotonic()
        lineage.on_call_answer(_a_call("fees", "fee-rule"), refusal)
        failed = outcomes.Answer(outcomes.Outcome.DONE, 500)
        ended = lineage.on_run_answer(_an_attempt("roster"), started_s, failed)
        assert ended.starved
    now_s = calls.time.monotonic()
    tracker.observe("fees", "fee-rule", 300, now_s)
    assert tracker.path_level("roster", now_s) == 300
    assert tracker.path_level("timings", now_s) == levels.OPEN


def _a_call(service: str, class_name: str) -> calls.Call:
    return calls.Call(
        service=service,
        method="GET",
        target="/",
        headers=(),
        body=b"",
        context=builders.a_context(class_name=class_name),
        deadline_s=0.0,
        pool=calls.allowance.AllowancePool(0),
    )


def _an_attempt(class_name: str) -> calls.Attempt:
    call = _a_call("timetable", class_name)
    return calls.Attempt(call, call.context, None)
