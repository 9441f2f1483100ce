"""Learning which requests fail for want of room below."""

import random

from burdockfront import levels
from burdockfront import outcomes
from burdockfront import starvation
from burdockfront_client import calls
from burdockfront_node import lineage as lineage_lib
from tests import builders

_RULES = starvation.Child("fees", "fee-rule")


def test_requests_that_enter_beside_every_service_are_new_work():
    book = starvation.CallOriginTracker()
    for number in range(40):
        origin = ["catalogue", "enrolment", "timetable", "fees"][number % 4]
        book.record("browse", origin)
        book.record("fee-rule", "timetable")
    assert book.is_new_work("browse", 4)
    assert not book.is_new_work("fee-rule", 4)


def test_class_that_was_hardly_heard_of_is_taken_for_paid_work():
    # Refused by level while it is a call, it would fail a whole request.
    book = starvation.CallOriginTracker()
    book.record("browse", "catalogue")
    book.record("browse", "fees")
    assert not book.is_new_work("browse", 2)


def test_class_that_fails_with_its_calls_depends_on_them():
    book = starvation.StarvationTracker()
    for at_s in range(20):
        book.record_refusal(_RULES, at_s + 0.5)
        assert book.record_end("roster", float(at_s), failed=True)
    assert book.causes("roster") == [_RULES]


def test_failures_by_chance_do_not_tie_a_class_to_a_service():
    # Timings run beside rosters at the same backend server. One in fifty
    # fails for reasons of its own, always while calls of rosters are refused.
    rng = random.Random(5)
    book = starvation.StarvationTracker()
    for at_s in range(2000):
        book.record_refusal(_RULES, at_s + 0.5)
        book.record_end("timings", float(at_s), failed=rng.random() < 0.02)
        assert not book.causes("timings"), at_s


def test_failure_without_a_refused_call_is_not_starvation():
    book = starvation.StarvationTracker()
    book.record_refusal(_RULES, 1.0)
    assert not book.record_end("roster", 2.0, failed=True)


def test_deep_pressure_reaches_the_class_at_the_entry():
    # fees is pressed and says so on answers. Rosters at timetable fail with
    # their refused calls, and so do requests that called rosters, one layer
    # up: each node puts its own class on the path of the one below.
    book = levels.LevelTracker()
    lineage = lineage_lib.Lineage(book, lambda: 4)
    refusal = outcomes.not_run(outcomes.Reason.OVERLOAD, 1.0)
    for _ in range(20):
        started_s = calls.time.monotonic()
        lineage.call_ended(_a_call("fees", "fee-rule"), refusal)
        failed = outcomes.Answer(outcomes.Outcome.DONE, 500)
        ended = lineage.run_ended(_an_attempt("roster"), started_s, failed)
        assert ended.starved
    now_s = calls.time.monotonic()
    book.observe("fees", "fee-rule", 300, now_s)
    assert book.path_level("roster", now_s) == 300
    assert book.path_level("timings", now_s) == levels.OPEN


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
