"""Tests of the flow level of a deep guard, in a closed loop with a delay.

The load is that of an evening peak at a deep service: browsing demands 1.2 to
2.5 times the capacity that confirmations leave, and a refusal at the entry
takes effect two windows later, as with four layers.
"""

import collections
import random

import pytest

from burdockfront import context
from burdockfront import flow_level
from burdockfront import levels

_WINDOW_S = 0.25
_DELAY_WINDOWS = 2
_SLOTS = 8
_WORK_S = 0.03
_CONFIRM_SHARE = 0.4


class _Loop:
    """Control loop in which arrivals follow the level of two windows ago."""

    def __init__(self, seed: int):
        self.control = flow_level.FlowControl(_WINDOW_S, 0.0)
        self._rng = random.Random(seed)
        self._levels = collections.deque(
            [levels.OPEN] * _DELAY_WINDOWS, maxlen=_DELAY_WINDOWS
        )
        self._now_s = 0.0

    def run_window(self, browse_share: float) -> float:
        """Simulates a window; returns the arrivals relative to capacity."""
        level = self._levels[0]
        self._levels.append(self.control.level)
        capacity = _SLOTS * _WINDOW_S / _WORK_S
        arrivals = 0
        for _ in range(int(capacity * _CONFIRM_SHARE)):
            self.control.record_arrival(100, _WORK_S)
            arrivals += 1
        for _ in range(int(capacity * browse_share)):
            priority = 2 * context.ORDINALS + self._rng.randrange(256)
            if priority <= level:
                self.control.record_arrival(priority, _WORK_S)
                arrivals += 1
        self._now_s += _WINDOW_S
        self.control.advance(_SLOTS, self._now_s)
        return arrivals / capacity


@pytest.mark.parametrize("browse_share", [0.8, 1.2, 2.0])
def test_flow_settles_near_capacity(browse_share):
    loop = _Loop(seed=1)
    for _ in range(16):
        loop.run_window(browse_share)
    flows = [loop.run_window(browse_share) for _ in range(60)]
    utilization = sum(min(1.0, flow) for flow in flows) / len(flows)
    assert utilization > 0.92, "capacity is used"
    assert sum(flows) / len(flows) < 1.0, (
        "no more is admitted than can be served"
    )
    assert max(flows) < 1.4, "no oscillation between idle and overloaded"


@pytest.mark.parametrize("seed", [5, 6, 7])
def test_level_recovers_soon_after_a_burst(seed):
    # After a restart all callers return at once, for some seconds. Then the
    # demand fits: browsing takes half of the capacity and confirmations 0.4.
    # Failure: with corrections in units of the default flow of a rank, four
    # times that of browsing, the level lagged for many seconds and requests
    # were refused despite free capacity.
    loop = _Loop(seed)
    for _ in range(20):
        loop.run_window(0.5)
    for _ in range(14):
        loop.run_window(2.5)
    flows = [loop.run_window(0.5) for _ in range(16)]
    assert sum(flows[10:]) / len(flows[10:]) > 0.85


def test_confirmations_are_admitted_while_browsing_causes_the_excess():
    # All of the excess is browsing. While the level falls, work admitted before
    # still arrives and must not push the level into the rank of confirmations.
    loop = _Loop(seed=2)
    for _ in range(60):
        loop.run_window(2.0)
        assert loop.control.level >= context.ORDINALS


def test_confirmations_are_refused_when_they_alone_exceed_capacity():
    control = flow_level.FlowControl(_WINDOW_S, 0.0)
    for number in range(60):
        for _ in range(200):
            control.record_arrival(100, _WORK_S)
        control.advance(_SLOTS, (number + 1) * _WINDOW_S)
    assert control.level < context.ORDINALS


def test_level_opens_within_seconds_after_an_overload():
    loop = _Loop(seed=3)
    for _ in range(40):
        loop.run_window(2.0)
    windows = 0
    while loop.control.level < levels.OPEN:
        loop.run_window(0.1)
        windows += 1
    assert windows * _WINDOW_S <= 3.0


def test_level_is_open_without_pressure():
    loop = _Loop(seed=4)
    for _ in range(40):
        loop.run_window(0.4)
    assert loop.control.level == levels.OPEN


@pytest.mark.parametrize("seed", [8, 9, 10])
def test_level_reacts_within_the_first_second_of_an_overload(seed):
    # Demand doubles at once. Failure: the level started at the boundary above
    # the lowest class and paused there for a second, as at boundaries between
    # classes, although no class is above it. For that second all requests were
    # admitted, and their calls failed in the deep service.
    loop = _Loop(seed)
    for _ in range(8):
        loop.run_window(0.4)
    for _ in range(4):
        loop.run_window(2.0)
    assert loop.control.level < 2.75 * context.ORDINALS
