"""Finds out that a backend server has stopped answering altogether.

A frozen backend server takes its slots' worth of requests and answers none.
Its announcements stop too, but only after seconds that is noticed, and until
then its guard looks like an overloaded one: it refuses, lowers its level, and
routers refuse requests that its healthy siblings could serve.

Symptom: requests are in its hands and none of them has ended for much longer
than one takes. One that is merely slow still ends requests now and then, so
the bound is a multiple of the usual time, with a floor for fast services.
"""

_FLOOR_S = 0.5
_TIMES = 8.0
_WEIGHT = 0.1
# Until the first answer.
_FIRST_USUAL_S = 0.05


class StallDetector:
    """Watches one backend server's answers.

    Args:
        floor_s: Never judged to have stalled sooner than this; above what
            the longest requests of its service usually take.
    """

    def __init__(self, floor_s: float = _FLOOR_S) -> None:
        self._floor_s = floor_s
        self._in_hand = 0
        self._quiet_since_s = 0.0
        self._usual_s = _FIRST_USUAL_S
        self._stalled_since_s: float | None = None

    @property
    def stalled(self) -> bool:
        """Whether it answers nothing at the moment."""
        return self._stalled_since_s is not None

    def on_sent(self, now_s: float) -> None:
        """Notes a request that was handed over."""
        if self._in_hand == 0:
            self._quiet_since_s = now_s
        self._in_hand += 1

    def on_answer(self, took_s: float, now_s: float) -> None:
        """Notes an answer: it is alive."""
        self._in_hand -= 1
        self._quiet_since_s = now_s
        self._usual_s += _WEIGHT * (took_s - self._usual_s)
        self._stalled_since_s = None

    def on_restart(self, now_s: float) -> None:
        """Notes another start: the silence of the one before says nothing."""
        self._quiet_since_s = now_s
        self._usual_s = _FIRST_USUAL_S
        self._stalled_since_s = None

    def on_abandoned(self) -> None:
        """Notes a request whose answer nobody waits for any more."""
        self._in_hand -= 1

    def on_announcement(self, now_s: float) -> None:
        """Notes an announcement, which a frozen process can't make."""
        if self._in_hand == 0:
            self._stalled_since_s = None

    def check(self, now_s: float) -> bool:
        """Returns whether it has stalled, as of now."""
        bound_s = max(self._floor_s, _TIMES * self._usual_s)
        quiet = self._in_hand > 0 and now_s - self._quiet_since_s > bound_s
        if quiet and self._stalled_since_s is None:
            self._stalled_since_s = now_s
        return self.stalled
