"""Limit on the concurrent requests of a backend server.

The guard handles every request of its backend server, so it counts the slots
in use itself; load reports are late and misleading, and are only shown to
operators. The number of slots comes from the announcement, with three
corrections:

* A claim of more slots is accepted only on evidence (see `slot_claims`).
* If the backend server sheds requests while fewer than its slots are in use,
  the announcement was too high. The limit drops below the number in use (times
  0.9) and rises again by one per second without another shed.
* After a cold start the limit rises from a tenth to the whole over `ramp_s`.
"""

import math

from burdockfront import slot_claims

_DECREASE = 0.9
_INCREASE_EVERY_S = 1.0
_COLD_SHARE = 0.1


class ConcurrencyLimit:
    """Concurrency limit of one backend server.

    Args:
        slots: Announced number of slots.
        ramp_s: Length of the ramp after a cold start.
        now_s: The current time.
        cold: Whether the server starts cold.
    """

    def __init__(
        self, slots: int, ramp_s: float, now_s: float, cold: bool = False
    ):
        self._claims = slot_claims.SlotClaims(slots)
        self._restarted = False
        self._cut_to: float | None = None
        self._ramp_s = ramp_s
        self._cold_since_s = now_s if cold else None
        self._cut_changed_s = now_s

    @property
    def slots(self) -> int:
        """Accepted number of slots, by which routers balance the load."""
        return self._claims.accepted

    def announce(self, slots: int, cold: bool, now_s: float) -> None:
        """Applies a new announcement; a cold one restarts the ramp."""
        if self._restarted:
            self._restarted = False
            self._claims = slot_claims.SlotClaims(slots)
            self._cut_to = None
        elif slots != self._claims.claimed:
            self._claims.claim(slots)
            self._cut_to = None
        if cold:
            self._cold_since_s = now_s

    def on_restart(self) -> None:
        """Marks the next announcement as that of a new incarnation."""
        self._restarted = True

    def completed(self, service_s: float, in_use: int, now_s: float) -> None:
        """Records a request that ended with `in_use` slots in use."""
        self._claims.completed(service_s, in_use, now_s)

    def set_ramp(self, ramp_s: float) -> None:
        """Sets the ramp length from a changed policy."""
        self._ramp_s = ramp_s

    def shed_by_backend(self, in_use: int, now_s: float) -> None:
        """Records that the backend server refused with `in_use` slots used."""
        self._claims.on_shed(now_s)
        cut_to = min(self._uncut(), in_use * _DECREASE)
        self._cut_to = max(1.0, cut_to)
        self._cut_changed_s = now_s

    def current(self, now_s: float) -> int:
        """Returns the current limit, at least 1."""
        if self._cut_to is None and self._cold_since_s is None:
            return self._claims.accepted
        self._recover(now_s)
        return max(1, math.floor(self._uncut() * self._ramp_share(now_s)))

    def _uncut(self) -> float:
        accepted = float(self._claims.accepted)
        return accepted if self._cut_to is None else min(accepted, self._cut_to)

    def _recover(self, now_s: float) -> None:
        elapsed_s = now_s - self._cut_changed_s
        if self._cut_to is None or elapsed_s < _INCREASE_EVERY_S:
            return
        self._cut_to += math.floor(elapsed_s / _INCREASE_EVERY_S)
        self._cut_changed_s = now_s
        if self._cut_to >= self._claims.accepted:
            self._cut_to = None

    def _ramp_share(self, now_s: float) -> float:
        if self._cold_since_s is None or self._ramp_s <= 0.0:
            return 1.0
        elapsed = (now_s - self._cold_since_s) / self._ramp_s
        if elapsed >= 1.0:
            self._cold_since_s = None
            return 1.0
        return _COLD_SHARE + (1.0 - _COLD_SHARE) * elapsed
