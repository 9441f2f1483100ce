"""When refused requests are told to return."""

import random
import statistics

import pytest

from burdockfront import context
from burdockfront import levels
from burdockfront import return_times

_RANK = 2
_FLOOR = _RANK * context.ORDINALS
_TARGET_S = 1.0
_REMAINING_S = 6.0
_HONOURED_S = _REMAINING_S / 3


def _waits_s(
    level: int,
    rate_per_s: float = 0.0,
    remaining_s: float = _REMAINING_S,
    target_s: float = _TARGET_S,
) -> list[float]:
    """Returns waits after a level that came to its value at a steady rate."""
    samples = [
        (i * 0.1, level + (i - 60) * 0.1 * rate_per_s) for i in range(61)
    ]
    times = _times_after(samples)
    return [
        times.retry_after_s(
            "fees", "browse", _RANK, target_s, remaining_s, samples[-1][0]
        )
        for _ in range(200)
    ]


class _Levels(levels.LevelTracker):
    """Levels that a test sets."""

    level = 0.0

    def level_of(self, service: str, class_name: str, now_s: float) -> int:
        return int(self.level)


def _times_after(
    samples: list[tuple[float, float]],
) -> return_times.ReturnTimes:
    """Returns times after refusals at these times and levels."""
    tracker = _Levels()
    times = return_times.ReturnTimes(tracker, random.Random(1))
    for now_s, tracker.level in samples:
        times.retry_after_s(
            "fees", "browse", _RANK, _TARGET_S, _REMAINING_S, now_s
        )
    return times


def _rate_per_s(samples: list[tuple[float, float]]) -> float:
    return _times_after(samples).rate_per_s("fees", "browse", _RANK)


def test_return_with_a_chance_is_early_enough_for_full_value():
    # A level within the rank admits a part of it at any time.
    waits_s = _waits_s(level=_FLOOR + 60)
    assert all(0.3 <= wait_s <= 0.6 for wait_s in waits_s)


@pytest.mark.parametrize("rate_per_s", [0.0, -50.0])
def test_return_without_a_chance_is_late_and_honoured(rate_per_s):
    # While the level falls or stands below the rank, an early return would be
    # refused again, and most callers return only once.
    waits_s = _waits_s(level=_FLOOR - 200, rate_per_s=rate_per_s)
    assert all(0.6 < wait_s < _HONOURED_S for wait_s in waits_s)
    assert statistics.mean(waits_s) > _HONOURED_S / 2


def test_return_is_late_if_the_chance_is_much_better_then():
    # A late answer has a third of the value of one in time.
    level = _FLOOR - levels.ENTRY_SLACK - 100
    assert min(_waits_s(level, rate_per_s=250.0)) > 0.6
    assert max(_waits_s(level, rate_per_s=800.0)) <= 0.6


def test_caller_that_nothing_will_be_free_for_is_told_a_time_it_has_not():
    # A time within the deadline would promise what is not possible.
    waits_s = _waits_s(level=0, remaining_s=0.5)
    assert min(waits_s) >= 0.5
    assert max(_waits_s(level=_FLOOR, remaining_s=0.5)) < 0.5 / 3


@pytest.mark.parametrize("level", [0, _FLOOR, _FLOOR + 255])
def test_returns_are_spread(level):
    # Callers that were refused at the same moment must not return together.
    waits_s = sorted(_waits_s(level))
    assert waits_s[-1] - waits_s[0] > 0.25
    densest = max(
        sum(begin <= wait_s < begin + 0.05 for wait_s in waits_s)
        for begin in waits_s
    )
    assert densest < len(waits_s) / 3


def test_times_stay_positive_without_remaining_time():
    for remaining_s in (0.0, -1.0, 0.001):
        waits_s = _waits_s(_FLOOR, remaining_s=remaining_s)
        assert min(waits_s) >= 0.05


def test_rate_follows_a_steady_change_and_its_end():
    rising = [(i * 0.1, 100 + i * 20) for i in range(60)]
    assert _rate_per_s(rising) == pytest.approx(200.0, rel=0.15)
    falling = [(now_s, 2048 - level) for now_s, level in rising]
    assert _rate_per_s(falling) == pytest.approx(-200.0, rel=0.15)
    after = [(6.0 + i * 0.1, 1280) for i in range(60)]
    assert abs(_rate_per_s(rising + after)) < 30


def test_rate_is_unknown_after_a_restart_and_after_a_pause():
    # An old trend says nothing about the present level.
    rising = [(i * 0.1, 100 + i * 20) for i in range(30)]
    assert _rate_per_s(rising[:1]) == 0.0
    assert _rate_per_s([*rising, (10.0, 50)]) == 0.0
