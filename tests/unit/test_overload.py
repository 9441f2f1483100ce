"""Tests of admission, levels, limits and routing under load."""

import random

from burdockfront import context as context_lib
from burdockfront import levels
from burdockfront import limits
from burdockfront import routing
from burdockfront import stall_detection
from tests import builders


def test_confirmation_is_served_before_earlier_browsing():
    # All slots are in use and browsing is queued. A confirmation that arrives
    # last gets the next slot; first come first served would shed it as well.
    admission = builders.an_admission(slots=1)
    assert admission.offer("a", builders.a_context(), 0.0).started == ("a",)
    admission.offer("browse", builders.a_context(), 0.01)
    admission.offer("confirm", builders.a_context(rank=0), 0.02)
    assert admission.release(0.05, 0.05).started == ("confirm",)


def test_call_of_upper_layer_goes_before_new_work():
    admission = builders.an_admission(slots=1)
    admission.offer("a", builders.a_context(), 0.0)
    admission.offer("new", builders.a_context(ordinal=0), 0.01)
    admission.offer("deep", builders.a_context(depth=2, ordinal=200), 0.02)
    assert admission.release(0.05, 0.05).started == ("deep",)


def test_request_past_its_wait_limit_is_refused_with_retry_delay():
    admission = builders.an_admission(slots=1, queue_s=0.1)
    admission.offer("a", builders.a_context(), 0.0)
    admission.offer("b", builders.a_context(), 0.0)
    step = admission.advance(0.11)
    assert [r.item_id for r in step.refused] == ["b"]
    assert step.refused[0].answer.retry_after_s > 0


def test_expired_request_does_not_run():
    # The deadline passed in the queue. Running the request would waste a slot
    # on an answer that its caller no longer awaits.
    admission = builders.an_admission(slots=1)
    admission.offer("a", builders.a_context(), 0.0)
    admission.offer("b", builders.a_context(remaining_s=0.05), 0.0)
    step = admission.release(0.06, 0.06)
    assert step.started == ()
    assert [r.item_id for r in step.refused] == ["b"]


def test_overlong_queue_refuses_its_last_requests_at_once():
    admission = builders.an_admission(slots=1, queue_s=0.1)
    admission.offer("a", builders.a_context(), 0.0)
    refused = []
    for number in range(20):
        context = builders.a_context(ordinal=number * 10)
        step = admission.offer(f"b{number}", context, 0.0)
        refused += [r.item_id for r in step.refused]
    assert "b0" not in refused
    assert "b19" in refused


def test_cancelled_request_takes_no_slot():
    admission = builders.an_admission(slots=1)
    admission.offer("a", builders.a_context(), 0.0)
    admission.offer("b", builders.a_context(), 0.0)
    admission.cancel("b")
    assert admission.release(0.01, 0.01).started == ()
    assert admission.in_use == 0


def _apply_pressure(
    control: levels.LevelControl, windows: int, rank: int
) -> None:
    for number in range(windows):
        for ordinal in range(0, 256, 16):
            control.record_admitted(256 + ordinal)
            control.record_admitted(ordinal)
        for _ in range(4):
            control.record_dropped(rank * 256 + 200)
        control.advance(1.0, 4, 0.2 * (number + 1))


def test_pressure_closes_browsing_but_not_confirmations():
    control = levels.LevelControl(0.05, 0.2, 0.0)
    _apply_pressure(control, 20, rank=1)
    assert control.level == context_lib.ORDINALS


def test_dropped_confirmations_lower_the_level_into_their_rank():
    control = levels.LevelControl(0.05, 0.2, 0.0)
    _apply_pressure(control, 20, rank=0)
    assert 0 < control.level < context_lib.ORDINALS


def test_level_opens_within_two_seconds_of_idle_slots():
    control = levels.LevelControl(0.05, 0.2, 0.0)
    _apply_pressure(control, 20, rank=0)
    for window in range(10):
        control.advance(0.4, 4, 10 + 0.2 * window)
    assert control.level == levels.OPEN


def test_level_is_stable_with_busy_slots_and_no_pressure():
    control = levels.LevelControl(0.05, 0.2, 0.0)
    _apply_pressure(control, 3, rank=1)
    before = control.level
    for window in range(5):
        control.advance(0.97, 4, 10 + 0.2 * window)
    assert control.level == before


def test_received_level_relaxes_without_updates():
    book = levels.LevelTracker()
    book.observe("fees", "browse", 100, 0.0)
    assert book.level_of("fees", "browse", 0.1) == 100
    assert book.level_of("fees", "browse", 9.0) == levels.OPEN


def test_path_level_is_the_lowest_of_called_services():
    book = levels.LevelTracker()
    book.record_call("browse", "fees", 0.0)
    book.record_call("browse", "timetable", 0.0)
    book.observe("fees", "browse", 300, 0.0)
    book.observe("catalogue", "browse", 10, 0.0)
    assert book.path_level("browse", 0.1) == 300


def test_shedding_below_announced_slots_lowers_the_limit():
    # The server announced 40 slots and serves 8. Its own refusals are more
    # reliable than its announcement.
    limit = limits.ConcurrencyLimit(40, 0.0, 0.0)
    limit.shed_by_backend(8, 1.0)
    assert limit.current(1.1) == 7
    assert limit.current(4.2) == 10


def test_cold_start_ramps():
    limit = limits.ConcurrencyLimit(40, 4.0, 0.0, cold=True)
    assert limit.current(0.0) == 4
    assert limit.current(4.0) == 40


def _router(*names: str, **changes: object) -> routing.Router:
    router = routing.Router("dc1", random.Random(7))
    router.update(builders.a_target(name, **changes) for name in names)
    return router


def _choices(router: routing.Router, now_s: float, count: int = 200) -> set:
    found = (router.choose("fees", frozenset(), now_s) for _ in range(count))
    return {target.node_id for target in found if target is not None}


def test_unresponsive_guard_is_ejected_and_probed():
    # Three calls in a row get no answer, because the guard is frozen or the
    # network to it is interrupted. Calls go to other guards, and one probe at
    # a time detects when it recovers.
    router = _router("a", "b", "c")
    for _ in range(3):
        router.record_sent("a")
        router.record_no_answer("a", False, 1.0)
    assert router.ejected() == ["a"]
    assert "a" not in _choices(router, 1.1)
    assert "a" in _choices(router, 3.0, count=1)
    router.record_answer("a", 0.0, False, 3.1)
    assert router.ejected() == []


def test_ejection_never_empties_a_service():
    router = _router("a", "b", "c", "d")
    for name in "abcd":
        router.record_no_answer(name, True, 1.0)
    assert len(_choices(router, 1.1)) == 2


def test_draining_guard_gets_no_new_work():
    router = _router("a", "b")
    router.record_answer("a", 0.0, True, 1.0)
    assert _choices(router, 2.0) == {"b"}


def test_reported_load_moves_calls_only_while_it_is_fresh():
    router = _router("a", "b")
    router.record_answer("a", 5.0, False, 1.0)
    assert _choices(router, 1.1) == {"b"}
    assert _choices(router, 3.0) == {"a", "b"}


def test_new_incarnation_is_not_ejected():
    router = _router("a", "b", "c")
    router.record_no_answer("a", True, 1.0)
    router.update(
        builders.a_target(n, boot_id=f"{n}-second") for n in ("a", "b", "c")
    )
    assert router.ejected() == []


def test_changed_ramp_does_not_apply_to_a_warm_backend():
    # Failure: a policy change reached a guard a second after its warm backend
    # server had announced itself. The ramp of the new policy was applied from
    # the announcement on, which left one slot of four, and callers were
    # refused.
    limit = limits.ConcurrencyLimit(40, 3.0, 0.0)
    limit.set_ramp(5.0)
    assert limit.current(1.0) == 40


def test_frozen_backend_is_distinguished_from_a_slow_one():
    # A slow server ends requests now and then; a frozen one ends none. Only
    # the guard of a frozen server may send callers to other servers.
    slow, frozen = (
        stall_detection.StallDetector(),
        stall_detection.StallDetector(),
    )
    for detector in (slow, frozen):
        for _ in range(4):
            detector.on_sent(0.0)
    slow.on_answer(0.4, 0.4)
    assert not slow.check(0.8)
    assert frozen.check(0.8)
    frozen.on_answer(5.0, 5.0)
    assert not frozen.check(5.1)


def test_stalled_backend_gets_requests_after_an_announcement():
    detector = stall_detection.StallDetector()
    detector.on_sent(0.0)
    assert detector.check(1.0)
    detector.on_abandoned()
    assert detector.check(1.5)
    detector.on_announcement(2.0)
    assert not detector.check(2.1)


def test_suspected_guard_gets_no_work_while_others_are_available():
    router = routing.Router("dc1", random.Random(7))
    router.update(
        [builders.a_target("a", suspect=True), builders.a_target("b")]
    )
    assert _choices(router, 1.0) == {"b"}


def test_overdue_calls_eject_before_their_deadline():
    # A confirmation may wait for its owner until its deadline. If only the
    # timeout counted, a frozen owner would get confirmations for seconds.
    router = _router("a", "b", "c")
    for _ in range(3):
        router.record_sent("a")
        router.record_overdue("a", 1.0)
    assert router.ejected() == ["a"]


def test_probe_that_was_never_sent_is_repeated():
    # An ejected guard was chosen for a probe, but the call was refused early,
    # or a ticket was minted and never used. A router that waited for the
    # answer without a limit would never use that guard again.
    router = _router("a", "b", "c")
    router.record_no_answer("a", True, 1.0)
    assert _choices(router, 3.0, count=1) == {"a"}
    assert _choices(router, 3.1) == {"b", "c"}
    assert _choices(router, 30.0, count=1) == {"a"}


def test_tickets_are_not_minted_for_an_ejected_guard():
    router = _router("a", "b", "c")
    router.record_no_answer("a", True, 1.0)
    owner = router.choose("fees", frozenset(), 3.0, probe=False)
    assert owner.node_id != "a"
