"""Admission level from an estimate of the demand, for scarce deep services.

A guard far below the entries observes only the demand that was admitted there,
up to several seconds ago: a request that waits or makes calls one after the
other keeps arriving long after the level has changed. Relating the current
arrivals to the level of a fixed time ago therefore misjudges the demand by a
large factor, in either direction, and the service oscillates between overload
and idle slots.

Each call carries the share of its rank's requests that was admitted when its
request entered the system. A call that was admitted with a share of a quarter
stands for four requests that asked. The sum of the work of all admitted calls,
each divided by that share, is an unbiased estimate of the whole demand,
regardless of the delay (the Horvitz-Thompson estimator).

The level follows directly from the demand of each rank and the capacity: ranks
are admitted in order, and of the first rank that does not fit as large a share
as fits.
"""

import math

from burdockfront import context
from burdockfront import levels

# Target utilization of the slots. Above it, waits grow sharply with each burst;
# below it, slots are idle that refused requests could use.
_TARGET = 0.95
# Time constant of the estimates. Shorter ones follow the noise of a few hundred
# calls; longer ones delay the reaction to a burst.
_SMOOTHING_S = 0.3
# An overloaded service receives fewer calls than it admitted, because each call
# waits for the previous one of its request. The demand estimate therefore falls
# with this time constant at most.
_FALL_S = 0.7
# Demand of a rank that is not admitted at all is not observed, and its last
# estimate expires with this time constant.
_UNOBSERVED_FALL_S = 5.0
# Waiting work up to this length is normal; more is worked off within this time.
_NORMAL_BACKLOG_S = 0.05
_WORK_OFF_S = 0.5
# Largest share of the slots that is kept free for waiting work. Where requests
# hold their slots while deeper calls wait, the queue is no measure of the work.
_MAX_RESERVED = 0.5
# Some requests are always admitted: without them there would be no estimate.
_MIN_SHARE = levels.MIN_ADMITTED_SHARE
# Demand, relative to the capacity, below which a rank is not worth cutting.
_MIN_DEMAND = 0.05


class DemandControl:
    """Sets the level of one guard from the estimated demand of each rank.

    Args:
        window_s: Interval between updates of the level.
        now_s: The current time.
    """

    def __init__(self, window_s: float, now_s: float):
        self._window_s = window_s
        self._begin_s = now_s
        self._level = levels.OPEN
        self._flow = 0.0
        self._arrived_work_s = 0.0
        # Work of the calls that arrived in this window, each divided by the
        # share that was admitted with it, by rank.
        self._asked_work_s: dict[int, float] = {}
        self._smoothed: dict[int, float] = {}
        self._demand: dict[int, float] = {}

    @property
    def level(self) -> int:
        """Highest priority number that is currently admitted."""
        return self._level

    @property
    def busy(self) -> float:
        """Share of the slot time that the calls of the last window take."""
        return self._flow

    def record_arrival(
        self, priority: int, work_s: float, admitted_share: float
    ) -> None:
        """Records the arrival of a call.

        Args:
            priority: Its priority number.
            work_s: Slot time that calls of its class take.
            admitted_share: Share of its rank that was admitted when its request
                entered the system.
        """
        rank = priority // context.ORDINALS
        asked_s = work_s / max(_MIN_SHARE, admitted_share)
        self._arrived_work_s += work_s
        self._asked_work_s[rank] = self._asked_work_s.get(rank, 0.0) + asked_s

    def is_window_over(self, now_s: float) -> bool:
        """Whether the window is over and `advance` is due."""
        return now_s - self._begin_s >= self._window_s

    def advance(self, slots: float, backlog_s: float, now_s: float) -> None:
        """Ends the window and updates the level.

        Args:
            slots: Current number of slots.
            backlog_s: Work of the waiting calls, divided by the slots.
            now_s: The current time.
        """
        elapsed_s = max(1e-3, now_s - self._begin_s)
        slot_time_s = slots * elapsed_s
        self._flow = self._arrived_work_s / slot_time_s
        for rank in self._asked_work_s.keys() | self._demand.keys():
            self._update_demand(rank, slot_time_s, elapsed_s)
        excess_s = max(0.0, backlog_s - _NORMAL_BACKLOG_S)
        reserved = min(_MAX_RESERVED, excess_s / _WORK_OFF_S)
        self._level = self._level_for(_TARGET - reserved)
        self._arrived_work_s = 0.0
        self._asked_work_s.clear()
        self._begin_s = now_s

    def _update_demand(
        self, rank: int, slot_time_s: float, elapsed_s: float
    ) -> None:
        asked = self._asked_work_s.get(rank, 0.0) / slot_time_s
        known = self._demand.get(rank, 0.0)
        if not asked and self._level < rank * context.ORDINALS:
            decay = math.exp(-elapsed_s / _UNOBSERVED_FALL_S)
            self._demand[rank] = self._smoothed[rank] = known * decay
            return
        weight = 1.0 - math.exp(-elapsed_s / _SMOOTHING_S)
        smoothed = self._smoothed.get(rank, 0.0)
        smoothed += weight * (asked - smoothed)
        self._smoothed[rank] = smoothed
        falling = known * math.exp(-elapsed_s / _FALL_S)
        self._demand[rank] = max(smoothed, falling)

    def _level_for(self, capacity: float) -> int:
        """Returns the level up to which the demand fits into a capacity."""
        for rank in sorted(self._demand):
            demand = self._demand[rank]
            if demand > max(capacity, _MIN_DEMAND):
                share = max(_MIN_SHARE, capacity / demand)
                return int((rank + share) * context.ORDINALS)
            capacity -= demand
        return levels.OPEN
