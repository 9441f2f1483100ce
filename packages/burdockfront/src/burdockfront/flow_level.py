"""A level that follows the flow of work, for guards far from the entries.

Between a refusal at an entry and its effect on a deep service lie the layers in
between: some tenths of a second. A control that looks at queues there is late
twice, since a queue adds up what flowed in before: it cuts long after enough
has been refused and opens long after room is there, and the service swings
between idle and drowned. So this control looks at the flow itself: how much
slot time the calls that arrive will take, beside the slot time there is.

What arrives now follows from the level of some windows ago, so that level is
corrected, in proportion to what is missing or left and measured in what the
rank at the level adds, and the present one moves towards the result.
Corrections that have not taken effect yet are then not made a second time. The
level stops for a while at the border of a rank: what the lower rank needs is
known only after the work that was let in before has left.
"""

import collections
import math

from burdockfront import context
from burdockfront import levels

# The share of the slots that may be spoken for. Above, waits grow out of hand
# with each burst; below, room stands idle that refused requests could use.
_TARGET = 0.95
# A standing wait of this takes a tenth off the target until it has gone.
_FULL_WAIT_S = 0.08
_WAIT_SHARE = 0.1
# What a whole rank of requests adds to the flow of a service, until that has
# been learned. Taken for this, a rank that adds a quarter of it made the level
# rise for ten seconds after a restart with a third of the slots idle.
_USUAL_RANK_FLOW = 2.0
_LEAST_RANK_FLOW = 0.3
_RANK_FLOW_WEIGHT = 0.5
# Less of a rank than this tells too little of the whole.
_LEAST_ADMITTED = 0.1
# A rank that adds less than this to the flow is hardly there; its calls may
# bear another one.
_LEAST_SEEN_FLOW = 0.15
# How far the level moves at once towards where it should have been.
_STEP_SHARE = 0.4
# Where half of the slots are idle there is no doubt: it opens at this pace, and
# at four times that where all are.
_IDLE_FLOW = 0.5
_IDLE_RAISE = 0.15
_ALL_IDLE_RAISE = 0.6
_MOST_CUT = 0.25
# Windows until a refusal at the entries shows here: three or four layers, and
# as many answers on which the level travels.
_DELAY_WINDOWS = 2
_BORDER_HOLD_S = 1.0
# Above the highest rank by this much it is open: levels near the top are then
# numbers that can be averaged, not a jump.
_HEADROOM = context.ORDINALS // 2
_LEAST_LEVEL = context.ORDINALS // 8


class FlowControl:
    """The level of one guard.

    Args:
        window_s: How often the level is set.
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
        # Levels of the last windows, the oldest one first.
        self._caused_by: collections.deque[float] = collections.deque(
            maxlen=_DELAY_WINDOWS + 1
        )
        self._shortest_wait_s: float | None = None
        self._at_border_since_s: float | None = None

    @property
    def level(self) -> int:
        """Highest priority number that is admitted now."""
        return levels.OPEN if self._level is None else int(self._level)

    @property
    def busy(self) -> float:
        """Share of the slots that the calls of the last window take."""
        return self._flow

    def record_arrival(self, priority: int, work_s: float) -> None:
        """Counts a call that was let in.

        Args:
            priority: Its priority number.
            work_s: Slot time that calls of its class take.
        """
        rank = priority // context.ORDINALS
        self._work_s[rank] = self._work_s.get(rank, 0.0) + work_s
        self._highest_rank = max(self._highest_rank, rank)

    def record_wait(self, delay_s: float) -> None:
        """Records the wait of a call that got a slot."""
        shortest_s = self._shortest_wait_s
        if shortest_s is None or delay_s < shortest_s:
            self._shortest_wait_s = delay_s

    def is_window_over(self, now_s: float) -> bool:
        """Whether the window is over and `advance` is due."""
        return now_s - self._begin_s >= self._window_s

    def advance(self, slots: float, now_s: float) -> None:
        """Closes the window and sets the level.

        Args:
            slots: How many slots there are now.
            now_s: The current time.
        """
        elapsed_s = max(1e-3, now_s - self._begin_s)
        slot_time_s = slots * elapsed_s
        flow = sum(self._work_s.values()) / slot_time_s
        self._flow = flow
        self._learn_rank_flow(slot_time_s)
        wait_s = self._shortest_wait_s or 0.0
        standing = min(1.0, wait_s / _FULL_WAIT_S)
        excess = flow - (_TARGET - _WAIT_SHARE * standing)
        self._move(excess, now_s)
        self._work_s.clear()
        self._shortest_wait_s = None
        self._begin_s = now_s

    def _learn_rank_flow(self, slot_time_s: float) -> None:
        """Learns what the whole rank adds of which a part arrived."""
        level = self._caused_by[0] if self._caused_by else math.inf
        rank, admitted = self._rank_at(level)
        found = self._work_s.get(rank, 0.0) / slot_time_s / max(admitted, 1e-3)
        if admitted < _LEAST_ADMITTED or found < _LEAST_SEEN_FLOW:
            return
        known = self._rank_flow.get(rank, found)
        learned = known + _RANK_FLOW_WEIGHT * (found - known)
        self._rank_flow[rank] = max(_LEAST_RANK_FLOW, learned)

    def _rank_at(self, level: float) -> tuple[int, float]:
        """Returns the rank a level lies in, and which part of it is let in."""
        top = (self._highest_rank + 1) * context.ORDINALS
        if level >= top:
            return self._highest_rank, 1.0
        rank, position = divmod(level, context.ORDINALS)
        return int(rank), position / context.ORDINALS

    def _rank_flow_at(self, level: float) -> float:
        rank, _ = self._rank_at(level)
        return self._rank_flow.get(rank, _USUAL_RANK_FLOW)

    def _move(self, excess: float, now_s: float) -> None:
        """Moves the level towards where the excess would have been none."""
        top = (self._highest_rank + 1) * context.ORDINALS
        if self._level is None:
            if excess <= 0.0:
                return
            # Within the highest rank, not at its upper border: nobody is above
            # whose work would have to leave first.
            self._level = float(top - 1)
            self._caused_by.clear()
        self._caused_by.append(self._level)
        rank_flow = self._rank_flow_at(self._caused_by[0])
        wanted = self._caused_by[0] - excess / rank_flow * context.ORDINALS
        share = (wanted - self._level) * _STEP_SHARE / context.ORDINALS
        if self._flow < _IDLE_FLOW:
            idle = 1.0 - self._flow / _IDLE_FLOW
            share = _IDLE_RAISE + idle * (_ALL_IDLE_RAISE - _IDLE_RAISE)
        step = max(-_MOST_CUT, min(_ALL_IDLE_RAISE, share)) * context.ORDINALS
        moved = max(float(_LEAST_LEVEL), self._level + step)
        if step < 0.0:
            moved = self._hold_at_border(moved, now_s)
        else:
            self._at_border_since_s = None
        self._level = None if moved >= top + _HEADROOM else moved

    def _hold_at_border(self, moved: float, now_s: float) -> float:
        """Returns where a falling level comes to lie now."""
        assert self._level is not None
        border = float(int(self._level) // context.ORDINALS * context.ORDINALS)
        if moved > border or border == 0.0:
            return moved
        if self._at_border_since_s is None:
            self._at_border_since_s = now_s
        if now_s - self._at_border_since_s < _BORDER_HOLD_S:
            return border
        self._at_border_since_s = None
        return moved
