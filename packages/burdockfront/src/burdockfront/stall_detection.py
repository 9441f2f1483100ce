"""Detects a backend server that has stopped answering altogether.

A frozen backend server fills its slots with requests and answers none of them.
Its announcements stop too, but that is detected only after seconds. Until then
its guard looks overloaded: it refuses requests and lowers its level, and
routers refuse requests that healthy servers of the service could serve.

A server counts as stalled when requests are in flight and none has ended for
much longer than a request usually takes. A server that is merely slow still
ends requests now and then, so the time limit is a multiple of the usual
service time, with a lower bound for fast services.
"""

_FLOOR_S = 0.5
_SERVICE_TIME_FACTOR = 8.0
_SERVICE_TIME_WEIGHT = 0.1
# Used until the first answer.
_INITIAL_SERVICE_S = 0.05


class StallDetector:
    """Detects stalls of one backend server.

    Args:
        floor_s: Lower bound of the time without an answer after which the
            server counts as stalled; must exceed what the longest requests of
            its service usually take.
    """

    def __init__(self, floor_s: float = _FLOOR_S) -> None:
        self._floor_s = floor_s
        self._in_flight = 0
        self._last_progress_s = 0.0
        self._service_s = _INITIAL_SERVICE_S
        self._stalled_since_s: float | None = None

    @property
    def stalled(self) -> bool:
        """Whether the server is currently stalled."""
        return self._stalled_since_s is not None

    def on_sent(self, now_s: float) -> None:
        """Records a request that was handed over to the server."""
        if self._in_flight == 0:
            self._last_progress_s = now_s
        self._in_flight += 1

    def on_answer(self, took_s: float, now_s: float) -> None:
        """Records an answer, which ends a stall."""
        self._in_flight -= 1
        self._last_progress_s = now_s
        self._service_s += _SERVICE_TIME_WEIGHT * (took_s - self._service_s)
        self._stalled_since_s = None

    def on_restart(self, now_s: float) -> None:
        """Resets the detector for a new incarnation of the server.

        Time without an answer under the previous incarnation does not count.
        """
        self._last_progress_s = now_s
        self._service_s = _INITIAL_SERVICE_S
        self._stalled_since_s = None

    def on_abandoned(self) -> None:
        """Records a request whose answer is no longer awaited."""
        self._in_flight -= 1

    def on_announcement(self, now_s: float) -> None:
        """Ends a stall if no requests are in flight.

        A frozen process can't send announcements.
        """
        if self._in_flight == 0:
            self._stalled_since_s = None

    def check(self, now_s: float) -> bool:
        """Updates and returns whether the server is stalled."""
        limit_s = max(self._floor_s, _SERVICE_TIME_FACTOR * self._service_s)
        overdue = (
            self._in_flight > 0 and now_s - self._last_progress_s > limit_s
        )
        if overdue and self._stalled_since_s is None:
            self._stalled_since_s = now_s
        return self.stalled
