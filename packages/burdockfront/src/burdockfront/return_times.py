"""Estimates when refused requests should return, from the course of levels.

A caller that returns has a new request id and thus a new ordinal, so the chance
that it is admitted follows from its rank and from the level at that time: it is
the share of the ordinals of its rank that the level admits. The level is
extrapolated from its present value and its recent rate of change.

Callers honour a retry-after time up to a third of their remaining time. An
answer within the target latency has its full value, a later one about a third.
So a return within the target latency is preferred unless the chance is more
than three times as high later. Each time is spread over a range, because many
requests are refused at the same moment.

State is one pair of averages for each service, class and rank. It is lost with
the process; until refusals were seen for a while, levels are taken as constant.
"""

import dataclasses
import math
import random

from burdockfront import context
from burdockfront import levels

# Range of early returns, as shares of the target latency. The rest of it is
# left for serving the request.
_EARLY_SHARES = (0.3, 0.6)
# Range of late returns, as shares of the longest time that callers honour.
_LATE_SHARES = (0.6, 0.95)
_HONOURED_SHARE = 1.0 / 3.0
# Value of an answer after the target latency, relative to one within it.
_LATE_VALUE = 1.0 / 3.0
_MIN_S = 0.05
# Range of a time that says that nothing will be free in time, as multiples of
# the remaining time.
_TOO_LATE_SHARES = (1.0, 1.3)
# Rise of a level that is assumed possible at any time. Levels of guards rise by
# up to 60% per window, but those of a saturated service did not rise faster
# than this in the model of a site.
_MAX_RISE_PER_S = 512.0
# Time constants of the averages, the lag of which behind each other is
# proportional to the rate of change.
_FAST_S = 0.5
_SLOW_S = 2.0
# A level is recorded at most this often, to keep refusals cheap.
_SAMPLE_S = 0.1
# Older averages say nothing about the present.
_EXPIRY_S = 5.0
# Rates of change are not extrapolated further than this: they turn sooner.
_HORIZON_S = 1.0


@dataclasses.dataclass(slots=True)
class _Course:
    """Course of the level of one service for requests of one class and rank.

    Attributes:
        fast: Average of the level with the short time constant.
        slow: Average with the long time constant, which lags behind.
        at_s: Time of the latest sample.
        missing: Distance from the highest admitted priority number up to the
            lowest one of the rank; negative if a part of the rank is admitted.
        is_early_better: Whether an early return is worth more than a late one.
    """

    fast: float
    slow: float
    at_s: float
    missing: float = 0.0
    is_early_better: bool = True

    @property
    def rate_per_s(self) -> float:
        """Rate of change of the level."""
        return (self.fast - self.slow) / (_SLOW_S - _FAST_S)

    def record(self, level: int, now_s: float) -> None:
        """Adds a sample of the level."""
        elapsed_s = now_s - self.at_s
        self.at_s = now_s
        if elapsed_s > _EXPIRY_S:
            self.fast = self.slow = level
            return
        fast_weight = 1.0 - math.exp(-elapsed_s / _FAST_S)
        slow_weight = 1.0 - math.exp(-elapsed_s / _SLOW_S)
        self.fast += fast_weight * (level - self.fast)
        self.slow += slow_weight * (level - self.slow)


class ReturnTimes:
    """Retry-after times of one entry.

    Args:
        level_tracker: Levels of the paths.
        rng: Source of randomness.
    """

    def __init__(self, level_tracker: levels.LevelTracker, rng: random.Random):
        self._level_tracker = level_tracker
        self._rng = rng
        # By service, class and rank. Classes are names of routes, so their
        # number is bounded.
        self._courses: dict[tuple[str, str, int], _Course] = {}

    def retry_after_s(
        self,
        service: str,
        class_name: str,
        rank: int,
        target_s: float,
        remaining_s: float,
        now_s: float,
    ) -> float:
        """Returns when a request that was refused for overload should return.

        Args:
            service: Requested service.
            class_name: Class of the request.
            rank: Rank of the request.
            target_s: Target latency of the request.
            remaining_s: Time until the caller's deadline.
            now_s: The current time.
        """
        key = (service, class_name, rank)
        course = self._courses.get(key)
        if course is None or now_s - course.at_s >= _SAMPLE_S:
            course = self._update(key, target_s, remaining_s, now_s)
        limit_s = remaining_s * _HONOURED_SHARE
        if course.missing > _MAX_RISE_PER_S * remaining_s:
            # Nothing will be free before the deadline, however fast the level
            # rises.
            shares, of_s = _TOO_LATE_SHARES, remaining_s
        elif course.is_early_better and _EARLY_SHARES[1] * target_s < limit_s:
            shares, of_s = _EARLY_SHARES, target_s
        else:
            shares, of_s = _LATE_SHARES, limit_s
        low, high = shares
        wait_s = of_s * (low + (high - low) * self._rng.random())
        return wait_s if wait_s > _MIN_S else _MIN_S

    def rate_per_s(self, service: str, class_name: str, rank: int) -> float:
        """Returns the rate of change of a level; 0 if it is unknown."""
        course = self._courses.get((service, class_name, rank))
        return 0.0 if course is None else course.rate_per_s

    def _update(
        self,
        key: tuple[str, str, int],
        target_s: float,
        remaining_s: float,
        now_s: float,
    ) -> _Course:
        """Records the present level, and decides on early or late returns."""
        service, class_name, rank = key
        level = self._level_tracker.level_of(service, class_name, now_s)
        course = self._courses.get(key)
        if course is None:
            course = self._courses[key] = _Course(level, level, now_s)
        course.record(level, now_s)
        rate = course.rate_per_s
        admitted = level + levels.ENTRY_SLACK
        course.missing = missing = rank * context.ORDINALS - admitted
        early = _chance(missing, rate, target_s * sum(_EARLY_SHARES) / 2)
        late = _chance(missing, rate, remaining_s * _HONOURED_SHARE)
        course.is_early_better = early > 0.0 and early >= _LATE_VALUE * late
        return course


def _chance(missing: float, rate_per_s: float, after_s: float) -> float:
    """Returns the share of the ordinals of a rank that are admitted later.

    Args:
        missing: Distance from the highest admitted priority number up to the
            lowest one of the rank; negative if a part of the rank is admitted.
        rate_per_s: Rate of change of the level.
        after_s: Time from now.
    """
    rise = rate_per_s * min(after_s, _HORIZON_S)
    return min(1.0, max(0.0, (rise - missing) / context.ORDINALS))
