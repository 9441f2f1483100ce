"""How many requests a backend server is given at once.

The guard sees every request of its backend server, so it counts slots in use
itself; load reports lag and mislead, and are only shown to operators. The
number of slots comes from the announcement, and three things correct it:

* A claim that grows is believed on proof only (see `slot_claims`).
* The backend server sheds although fewer than its slots are in use: the
  announcement was too high. The limit goes below the number in use (times
  0.9) and returns by one per second without another shed.
* A cold start: the limit climbs from a tenth to the whole over `ramp_s`.
"""

import math

from burdockfront import slot_claims

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
        self._claims = slot_claims.SlotClaims(slots)
        self._begins = False
        self._cut_to: float | None = None
        self._ramp_s = ramp_s
        self._cold_since_s = now_s if cold else None
        self._changed_s = now_s

    @property
    def slots(self) -> int:
        """Slots that are believed, for routers to share the load by."""
        return self._claims.accepted

    def announce(self, slots: int, cold: bool, now_s: float) -> None:
        """Takes a new announcement; a cold one starts the ramp again."""
        if self._begins:
            self._begins = False
            self._claims = slot_claims.SlotClaims(slots)
            self._cut_to = None
        elif slots != self._claims.claimed:
            self._claims.claim(slots)
            self._cut_to = None
        if cold:
            self._cold_since_s = now_s

    def on_restart(self) -> None:
        """Notes that the next announcement is that of another start."""
        self._begins = True

    def completed(self, service_s: float, in_use: int, now_s: float) -> None:
        """Learns from a request that ended with `in_use` slots in use."""
        self._claims.completed(service_s, in_use, now_s)

    def set_ramp(self, ramp_s: float) -> None:
        """Takes the ramp from a changed policy."""
        self._ramp_s = ramp_s

    def shed_by_backend(self, in_use: int, now_s: float) -> None:
        """Learns that the backend server refused with `in_use` slots used."""
        self._claims.on_shed(now_s)
        cut_to = min(self._uncut(), in_use * _DECREASE)
        self._cut_to = max(1.0, cut_to)
        self._changed_s = now_s

    def current(self, now_s: float) -> int:
        """Returns the limit now, at least 1."""
        if self._cut_to is None and self._cold_since_s is None:
            return self._claims.accepted
        self._recover(now_s)
        return max(1, math.floor(self._uncut() * self._warmth(now_s)))

    def _uncut(self) -> float:
        believed = float(self._claims.accepted)
        return believed if self._cut_to is None else min(believed, self._cut_to)

    def _recover(self, now_s: float) -> None:
        elapsed_s = now_s - self._changed_s
        if self._cut_to is None or elapsed_s < _INCREASE_EVERY_S:
            return
        self._cut_to += math.floor(elapsed_s / _INCREASE_EVERY_S)
        self._changed_s = now_s
        if self._cut_to >= self._claims.accepted:
            self._cut_to = None

    def _warmth(self, now_s: float) -> float:
        if self._cold_since_s is None or self._ramp_s <= 0.0:
            return 1.0
        elapsed = (now_s - self._cold_since_s) / self._ramp_s
        if elapsed >= 1.0:
            self._cold_since_s = None
            return 1.0
        return _COLD_SHARE + (1.0 - _COLD_SHARE) * elapsed
