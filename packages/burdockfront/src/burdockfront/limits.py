"""How many requests a backend server is given at once.

The guard sees every request of its backend server, so it counts slots in use
itself; load reports lag and mislead, and are only shown to operators. The
number of slots comes from the announcement, and two things correct it:

* The backend server sheds although fewer than its slots are in use: the
  announcement was too high. The limit goes below the number in use (times
  0.9) and returns by one per second without another shed.
* A cold start: the limit climbs from a tenth to the whole over `ramp_s`.
"""

import math

_DECREASE = 0.9
_INCREASE_EVERY_S = 1.0
_COLD_SHARE = 0.1


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

    @property
    def slots(self) -> int:
        """Slots that the backend server announced."""
        return self._slots

    def announce(self, slots: int, cold: bool, now_s: float) -> None:
        """Takes a new announcement; a cold one starts the ramp again."""
        if slots != self._slots:
            self._slots = slots
            self._learned = float(slots)
        if cold:
            self._cold_since_s = now_s

    def set_ramp(self, ramp_s: float) -> None:
        """Takes the ramp from a changed policy."""
        self._ramp_s = ramp_s

    def shed_by_backend(self, in_use: int, now_s: float) -> None:
        """Learns that the backend server refused with `in_use` slots used."""
        self._learned = max(1.0, min(self._learned, in_use * _DECREASE))
        self._changed_s = now_s

    def current(self, now_s: float) -> int:
        """Returns the limit now, at least 1."""
        elapsed_s = now_s - self._changed_s
        if elapsed_s >= _INCREASE_EVERY_S and self._learned < self._slots:
            steps = math.floor(elapsed_s / _INCREASE_EVERY_S)
            self._learned = min(float(self._slots), self._learned + steps)
            self._changed_s = now_s
        return max(1, math.floor(self._learned * self._warmth(now_s)))

    def _warmth(self, now_s: float) -> float:
        if self._cold_since_s is None or self._ramp_s <= 0.0:
            return 1.0
        elapsed = (now_s - self._cold_since_s) / self._ramp_s
        return min(1.0, _COLD_SHARE + (1.0 - _COLD_SHARE) * elapsed)
