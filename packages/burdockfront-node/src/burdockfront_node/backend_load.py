"""Tracks the load reports of the backend server beside a guard."""

import time
from collections.abc import Sequence

from burdockfront import incarnations
from burdockfront import load_reports
from burdockfront import timeline

_MAX_VALUE_LENGTH = 40
# The pace may change many times a second. Changes of its class are recorded at
# most at this interval.
_CHANGE_INTERVAL_S = 1.0


class BackendLoad:
    """The load and pace that the backend server reports.

    Args:
        recorder: Records reports that are not used, and changes of the pace.

    Attributes:
        server_load: The reports of the incarnation in service.
    """

    def __init__(self, recorder: timeline.Recorder):
        self.server_load = load_reports.ServerLoad()
        self._recorder = recorder
        self._is_slow = False
        self._changed_s = -_CHANGE_INTERVAL_S

    def on_answer(
        self,
        values: Sequence[str],
        incarnation: incarnations.Incarnation,
        sent_s: float,
    ) -> None:
        """Records the report on an answer that has just arrived.

        Args:
            values: All values of the report on this answer, at least one.
            incarnation: The incarnation that gave the answer.
            sent_s: Time at which its request was sent.
        """
        now_s = time.monotonic()
        problem = self.server_load.record(incarnation, values, sent_s, now_s)
        if problem is not None:
            self._recorder.record(
                time.time(),
                "backend.load-ignored",
                instance=incarnation.instance_id,
                reason=problem,
                value=values[0][:_MAX_VALUE_LENGTH],
            )
        is_slow = self.server_load.slowdown > load_reports.SLOW_PACE
        if is_slow is not self._is_slow:
            self._record_class(now_s)

    def on_announcement(
        self, incarnation: incarnations.Incarnation, warm_in_s: float
    ) -> None:
        """Records the incarnation in service and its remaining warm-up.

        Args:
            incarnation: The incarnation in service.
            warm_in_s: Remaining time in which it is slow after its start.
        """
        now_s = time.monotonic()
        self.server_load.on_in_service(incarnation)
        self.server_load.record_warm_up(warm_in_s, now_s)
        self._record_class(now_s)

    def on_silent(self) -> None:
        """Records that the server has stopped announcing itself."""
        now_s = time.monotonic()
        self.server_load.record_warm_up(0.0, now_s)
        self._record_class(now_s)

    def pace(self) -> float:
        """Returns how long work takes now, relative to its usual time."""
        return self.server_load.pace(time.monotonic())

    def latest(self) -> load_reports.LoadReport | None:
        """Returns the latest report, or None if there is no recent one."""
        return self.server_load.latest(time.monotonic())

    def _record_class(self, now_s: float) -> None:
        """Records a change between a usual and a slow pace."""
        pace = self.server_load.pace(now_s)
        is_slow = pace > load_reports.SLOW_PACE
        if is_slow is self._is_slow:
            return
        if now_s - self._changed_s < _CHANGE_INTERVAL_S:
            return
        self._is_slow = is_slow
        self._changed_s = now_s
        self._recorder.record(
            time.time(),
            "backend.pace",
            pace_class="slow" if is_slow else "usual",
            pace=round(pace, 2),
        )
