"""How many requests a backend server is given at once.

The guard sees every request of its backend server, so it counts slots in use
itself; load reports lag and mislead, and are only shown to operators. The
number of slots comes from the announcement, and three things correct it:

* The backend server sheds although fewer than its slots are in use: the
  limit goes below the number in use (times 0.9).
* Its own time per request (without its deeper calls) has grown while the
  limit was used to the full. That may be a queue inside it (the announcement
  was too high) or plain slowness. A trial tells: the limit is cut for a
  window. If requests get faster, the queue was real and the cut stays; if
  not, the cut is taken back and the slower time is accepted as its own.
  Without the trial a slow service would be cut to one request at a time.
* A cold start: the limit climbs from a tenth to the whole over `ramp_s`.

Lowered limits return by one per second.
"""

import dataclasses
import math

_DECREASE = 0.9
_INCREASE_EVERY_S = 1.0
_COLD_SHARE = 0.1
_WINDOW_S = 1.0
_LEAST_SAMPLES = 8
_GROWN = 1.8
_TRIAL_CUT = 0.5
_IMPROVED = 0.87
_BASE_DRIFT = 1.01
_FULL_USE = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class _Trial:
    """A cut whose effect is being looked at."""

    limit_before: float
    mean_before_s: float


class _OwnTime:
    """Own times of one window."""

    def __init__(self, now_s: float):
        self._begin_s = now_s
        self._sum_s = 0.0
        self._count = 0
        self.most_in_use = 0

    def add(self, own_s: float, in_use: int) -> None:
        """Adds a request that ended."""
        self._sum_s += own_s
        self._count += 1
        self.most_in_use = max(self.most_in_use, in_use)

    def over(self, now_s: float) -> bool:
        """Whether the window is long and full enough to be judged."""
        long_enough = now_s - self._begin_s >= _WINDOW_S
        return long_enough and self._count >= _LEAST_SAMPLES

    def mean_s(self) -> float:
        """Returns the mean own time."""
        return self._sum_s / self._count


class ConcurrencyLimit:
    """The limit of one backend server.

    Args:
        slots: Slots that it announced.
        ramp_s: Length of the ramp after a cold start.
        now_s: The current time.
        cold: Whether it starts cold.
    """

    def __init__(
        self, slots: int, ramp_s: float, now_s: float, cold: bool = False
    ):
        self._slots = slots
        self._learned = float(slots)
        self._ramp_s = ramp_s
        self._cold_since_s = now_s if cold else None
        self._changed_s = now_s
        self._window = _OwnTime(now_s)
        self._base_s: float | None = None
        self._trial: _Trial | None = None
        self._suspected = False
        self._settling = False

    @property
    def slots(self) -> int:
        """Slots that the backend server announced."""
        return self._slots

    def announce(self, slots: int, cold: bool, now_s: float) -> None:
        """Takes a new announcement; a cold one starts the ramp again."""
        if slots != self._slots:
            self._slots = slots
            self._learned = float(slots)
            self._trial = None
            self._settling = False
        if cold:
            self._cold_since_s = now_s

    def set_ramp(self, ramp_s: float) -> None:
        """Takes the ramp from a changed policy."""
        self._ramp_s = ramp_s

    def shed_by_backend(self, in_use: int, now_s: float) -> None:
        """Learns that the backend server refused with `in_use` slots used."""
        self._learned = max(1.0, min(self._learned, in_use * _DECREASE))
        self._changed_s = now_s

    def served(self, own_s: float, in_use: int, now_s: float) -> None:
        """Learns from a request that ended.

        Args:
            own_s: Time of the backend server itself, without deeper calls.
            in_use: Slots that were in use, with this one.
            now_s: The current time.
        """
        self._window.add(own_s, in_use)
        if self._window.over(now_s):
            self._judge(self._window, now_s)
            self._window = _OwnTime(now_s)

    def current(self, now_s: float) -> int:
        """Returns the limit now, at least 1."""
        elapsed_s = now_s - self._changed_s
        if elapsed_s >= _INCREASE_EVERY_S and self._learned < self._slots:
            steps = math.floor(elapsed_s / _INCREASE_EVERY_S)
            self._learned = min(float(self._slots), self._learned + steps)
            self._changed_s = now_s
        return max(1, math.floor(self._learned * self._warmth(now_s)))

    def _judge(self, window: _OwnTime, now_s: float) -> None:
        mean_s = window.mean_s()
        if self._base_s is None:
            self._base_s = mean_s
        suspicious = self._suspicious(window, mean_s, self._base_s)
        if self._settling:
            # Half of this window was before the cut: it says nothing.
            self._settling = False
        elif self._trial is not None:
            self._end_trial(self._trial, mean_s)
        elif suspicious and self._suspected:
            # Twice in a row: the first such window may hold a change of load.
            self._trial = _Trial(self._learned, mean_s)
            self._learned = max(1.0, self._learned * _TRIAL_CUT)
            self._settling = True
        self._suspected = suspicious and self._trial is None
        self._base_s = min(self._base_s * _BASE_DRIFT, mean_s)
        if self._trial is not None or mean_s > self._base_s * _GROWN:
            # No growth while requests are slow: it would undo the cut.
            self._changed_s = now_s

    def _suspicious(
        self, window: _OwnTime, mean_s: float, base_s: float
    ) -> bool:
        full = window.most_in_use >= self._learned * _FULL_USE
        return full and self._learned > 1.0 and mean_s > base_s * _GROWN

    def _end_trial(self, trial: _Trial, mean_s: float) -> None:
        self._trial = None
        if mean_s > trial.mean_before_s * _IMPROVED:
            self._learned = trial.limit_before
            self._base_s = mean_s

    def _warmth(self, now_s: float) -> float:
        if self._cold_since_s is None or self._ramp_s <= 0.0:
            return 1.0
        elapsed = (now_s - self._cold_since_s) / self._ramp_s
        return min(1.0, _COLD_SHARE + (1.0 - _COLD_SHARE) * elapsed)
