"""Admission level from the flow of arriving work, for guards far from entries.

A refusal at an entry takes effect on a deep service only after a delay of some
tenths of a second, caused by the layers in between. A control based on queues
adds a second delay, because a queue integrates past arrivals: it keeps cutting
long after enough has been refused and opens long after capacity is free, and
the service oscillates between idle and overloaded. This control is based on
the flow instead: the slot time that arriving calls will take, relative to the
available slot time.

The current arrivals result from the level of some windows ago. The control
corrects that earlier level in proportion to the excess or the spare capacity,
measured in units of the flow that the rank at that level contributes, and moves
the current level towards the result. Corrections that have not taken effect yet
are therefore not made a second time. At the boundary between two ranks the
level pauses, because the demand of the lower rank is known only after the work
admitted before has left.
"""

import collections
import math

from burdockfront import context
from burdockfront import levels

# Target utilization of the slots. Above it, waits grow sharply with each burst;
# below it, slots are idle that refused requests could use.
_TARGET = 0.95
# A standing wait of this length lowers the target by a tenth while it lasts.
_FULL_WAIT_S = 0.08
_WAIT_SHARE = 0.1
# Flow that a whole rank of requests contributes, until an estimate exists. When
# this value was used for a rank that contributes a quarter of it, the level
# took ten seconds to rise after a restart, with a third of the slots idle.
_DEFAULT_RANK_FLOW = 2.0
_MIN_RANK_FLOW = 0.3
_RANK_FLOW_WEIGHT = 0.5
# A smaller admitted share of a rank gives no usable estimate of the whole rank.
_MIN_ADMITTED = 0.1
# A rank with a smaller flow is hardly present; its calls may carry another
# rank.
_MIN_OBSERVED_FLOW = 0.15
# Share of the distance to the corrected level that one window covers.
_STEP_SHARE = 0.4
# With more than half of the slots idle, the level rises regardless of the
# correction: by this step per window with half of them idle, and by four times
# as much with all of them idle.
_IDLE_FLOW = 0.5
_IDLE_RAISE = 0.15
_ALL_IDLE_RAISE = 0.6
_MAX_CUT = 0.25
# Windows until a refusal at the entries takes effect here: three or four layers
# of calls, and as many answers that carry the level back.
_DELAY_WINDOWS = 2
_BOUNDARY_HOLD_S = 1.0
# The level is OPEN only this far above the highest rank, so that levels near
# the top can be averaged instead of jumping to OPEN.
_HEADROOM = context.ORDINALS // 2
_MIN_LEVEL = context.ORDINALS // 8


class FlowControl:
    """Sets the level of one guard from the flow of arriving work.

    Args:
        window_s: Interval between updates of the level.
        now_s: The current time.
    """

    def __init__(self, window_s: float, now_s: float):
        self._window_s = window_s
        self._begin_s = now_s
        self._level: float | None = None
        self._work_s: dict[int, float] = {}
        self._rank_flow: dict[int, float] = {}
        self._flow = 0.0
        self._highest_rank = 1
        # Levels of the last windows, oldest first. The current arrivals result
        # from the oldest one.
        self._past_levels: collections.deque[float] = collections.deque(
            maxlen=_DELAY_WINDOWS + 1
        )
        self._min_wait_s: float | None = None
        self._at_boundary_since_s: float | None = None

    @property
    def level(self) -> int:
        """Highest priority number that is currently admitted."""
        return levels.OPEN if self._level is None else int(self._level)

    @property
    def busy(self) -> float:
        """Share of the slot time that the calls of the last window take."""
        return self._flow

    def record_arrival(self, priority: int, work_s: float) -> None:
        """Records the arrival of an admitted call.

        Args:
            priority: Its priority number.
            work_s: Slot time that calls of its class take.
        """
        rank = priority // context.ORDINALS
        self._work_s[rank] = self._work_s.get(rank, 0.0) + work_s
        self._highest_rank = max(self._highest_rank, rank)

    def record_wait(self, delay_s: float) -> None:
        """Records the queueing delay of a call that got a slot."""
        min_wait_s = self._min_wait_s
        if min_wait_s is None or delay_s < min_wait_s:
            self._min_wait_s = delay_s

    def is_window_over(self, now_s: float) -> bool:
        """Whether the window is over and `advance` is due."""
        return now_s - self._begin_s >= self._window_s

    def advance(self, slots: float, now_s: float) -> None:
        """Ends the window and updates the level.

        Args:
            slots: Current number of slots.
            now_s: The current time.
        """
        elapsed_s = max(1e-3, now_s - self._begin_s)
        slot_time_s = slots * elapsed_s
        flow = sum(self._work_s.values()) / slot_time_s
        self._flow = flow
        self._estimate_rank_flow(slot_time_s)
        wait_s = self._min_wait_s or 0.0
        standing = min(1.0, wait_s / _FULL_WAIT_S)
        excess = flow - (_TARGET - _WAIT_SHARE * standing)
        self._move(excess, now_s)
        self._work_s.clear()
        self._min_wait_s = None
        self._begin_s = now_s

    def _estimate_rank_flow(self, slot_time_s: float) -> None:
        """Estimates the flow of a whole rank from the part that arrived."""
        level = self._past_levels[0] if self._past_levels else math.inf
        rank, admitted = self._rank_at(level)
        observed = (
            self._work_s.get(rank, 0.0) / slot_time_s / max(admitted, 1e-3)
        )
        if admitted < _MIN_ADMITTED or observed < _MIN_OBSERVED_FLOW:
            return
        known = self._rank_flow.get(rank, observed)
        updated = known + _RANK_FLOW_WEIGHT * (observed - known)
        self._rank_flow[rank] = max(_MIN_RANK_FLOW, updated)

    def _rank_at(self, level: float) -> tuple[int, float]:
        """Returns the rank of a level and the share of the rank it admits."""
        top = (self._highest_rank + 1) * context.ORDINALS
        if level >= top:
            return self._highest_rank, 1.0
        rank, position = divmod(level, context.ORDINALS)
        return int(rank), position / context.ORDINALS

    def _rank_flow_at(self, level: float) -> float:
        rank, _ = self._rank_at(level)
        return self._rank_flow.get(rank, _DEFAULT_RANK_FLOW)

    def _move(self, excess: float, now_s: float) -> None:
        """Moves the level towards the value that would have had no excess."""
        top = (self._highest_rank + 1) * context.ORDINALS
        if self._level is None:
            if excess <= 0.0:
                return
            # Start within the highest rank, not at its upper boundary: there
            # is no rank above whose work would have to leave first.
            self._level = float(top - 1)
            self._past_levels.clear()
        self._past_levels.append(self._level)
        rank_flow = self._rank_flow_at(self._past_levels[0])
        corrected = self._past_levels[0] - excess / rank_flow * context.ORDINALS
        share = (corrected - self._level) * _STEP_SHARE / context.ORDINALS
        if self._flow < _IDLE_FLOW:
            idle = 1.0 - self._flow / _IDLE_FLOW
            share = _IDLE_RAISE + idle * (_ALL_IDLE_RAISE - _IDLE_RAISE)
        step = max(-_MAX_CUT, min(_ALL_IDLE_RAISE, share)) * context.ORDINALS
        moved = max(float(_MIN_LEVEL), self._level + step)
        if step < 0.0:
            moved = self._hold_at_boundary(moved, now_s)
        else:
            self._at_boundary_since_s = None
        self._level = None if moved >= top + _HEADROOM else moved

    def _hold_at_boundary(self, moved: float, now_s: float) -> float:
        """Returns a falling level, held at a rank boundary for a while."""
        assert self._level is not None
        boundary = float(
            int(self._level) // context.ORDINALS * context.ORDINALS
        )
        if moved > boundary or boundary == 0.0:
            return moved
        if self._at_boundary_since_s is None:
            self._at_boundary_since_s = now_s
        if now_s - self._at_boundary_since_s < _BOUNDARY_HOLD_S:
            return boundary
        self._at_boundary_since_s = None
        return moved
