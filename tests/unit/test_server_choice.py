"""Choice among the servers of a service by pace, load and learned latency."""

import random

import pytest

from burdockfront import routing
from tests import builders

_CLASS = "rule"


def _router(*names: str, slots: int = 8) -> routing.Router:
    router = routing.Router("dc1", random.Random(3))
    router.update(
        builders.a_target(name, data_center="dc1", slots=slots)
        for name in names
    )
    return router


def _share(
    router: routing.Router, name: str, now_s: float, limit_s: float = 0.5
) -> float:
    chosen = [
        router.choose(
            "fees", frozenset(), now_s, class_name=_CLASS, limit_s=limit_s
        )
        for _ in range(200)
    ]
    return sum(target.node_id == name for target in chosen) / len(chosen)


def _answers(
    router: routing.Router, elapsed_s: dict[str, float], pace: float = 1.0
) -> None:
    for _ in range(200):
        for name, value in elapsed_s.items():
            router.estimates.record_answer(
                "fees", name, _CLASS, value, 1.0, pace
            )


@pytest.mark.parametrize("silent_s", [2.0, 10.0, 1e6])
def test_pace_is_unknown_when_its_reports_stop(silent_s):
    # Failure: a server is slow when its reports stop, for two seconds, ten, or
    # for good, and routers that avoid it never learn that it has recovered.
    router = _router("a", "b")
    _answers(router, {"a": 0.1, "b": 0.1})
    router.record_pace("a", 5.0, 1.0)
    assert _share(router, "a", 1.0) == 0.0
    assert router.pace("a", 1.0 + silent_s) == 1.0
    assert 0.3 < _share(router, "a", 1.0 + silent_s) < 0.7


def test_pace_loses_weight_with_age():
    # Failure: machines are slow for 0.6 s at a time, and an older report takes
    # a server out of use after it has recovered.
    router = _router("a")
    router.record_pace("a", 2.5, 1.0)
    assert router.pace("a", 1.2) == pytest.approx(2.5)
    assert 1.0 < router.pace("a", 1.5) < 2.5
    assert router.pace("a", 1.8) == 1.0


def test_low_pace_gives_no_preference_and_a_huge_one_is_bounded():
    # Failure: a server reports that it is a hundred times as fast as usual, and
    # gets all calls.
    router = _router("a", "b")
    router.record_pace("a", 0.01, 1.0)
    assert router.pace("a", 1.0) == 1.0
    router.record_pace("a", 1e9, 1.0)
    assert router.pace("a", 1.0) == 10.0


def test_slowdown_that_the_pace_shows_is_not_learned_as_well():
    # Failure: answers take 2.5 times as long during a spell. The router learns
    # that, multiplies it by the pace to six times, and keeps avoiding the
    # server after the spell.
    router = _router("a", "b")
    _answers(router, {"a": 0.1, "b": 0.1})
    for _ in range(100):
        router.estimates.record_answer("fees", "a", _CLASS, 0.25, 1.0, 2.5)
    assert router.estimates.relative_latency("a") == pytest.approx(1.0, abs=0.1)


def test_nested_calls_that_a_slow_spell_does_not_prolong_are_not_learned():
    # Failure: most of the time of an upper server is spent in nested calls. If
    # the whole time were divided by the pace, the server would seem twice as
    # fast as its neighbours after the spell, and get too many calls.
    router = _router("a", "b")
    _answers(router, {"a": 0.1, "b": 0.1})
    for _ in range(100):
        router.estimates.record_answer("fees", "a", _CLASS, 0.115, 1.0, 2.5)
    assert router.estimates.relative_latency("a") == pytest.approx(1.0, abs=0.1)


def test_slowness_beyond_the_pace_is_learned():
    # Failure: a server says that it is at half of its speed, and takes ten
    # times as long.
    router = _router("a", "b")
    _answers(router, {"a": 0.1, "b": 0.1})
    for _ in range(30):
        router.estimates.record_answer("fees", "a", _CLASS, 1.0, 1.0, 2.0)
    assert router.estimates.relative_latency("a") > 1.5


def test_restarted_server_has_no_pace():
    # Failure: a server that was slow starts again under its id, and is avoided
    # for the reports of the process before.
    router = _router("a", "b")
    router.record_pace("a", 5.0, 1.0)
    router.update(
        builders.a_target(name, boot_id=f"{name}-2", slots=8)
        for name in ("a", "b")
    )
    assert router.pace("a", 1.0) == 1.0


def test_pace_of_an_unknown_guard_is_ignored():
    router = _router("a")
    router.record_pace("gone", 5.0, 1.0)
    assert router.pace("gone", 1.0) == 1.0
