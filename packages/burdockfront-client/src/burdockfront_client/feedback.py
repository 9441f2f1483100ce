"""Updates the router's view of guards from their answers."""

import collections
import time

from burdockfront import fair_shares
from burdockfront import guards
from burdockfront import levels
from burdockfront import outcomes
from burdockfront import routing
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_client import calls

_SERVER_ERROR = 500
_TIMEOUT_STATUS = 504
# Reasons that indicate a fault of the backend server, not overload.
_BACKEND_FAULTS = frozenset(
    [
        outcomes.Reason.REJECTED,
        outcomes.Reason.UNREACHABLE,
        outcomes.Reason.LOST_ANSWER,
    ]
)
# Approximate size of the heads of a call and its answer together.
_HEADS_BYTES = 600
_BYTES_PER_KB = 1000.0
_USUAL_PACE = 1.0
# More than the number of nodes of the largest system. Guards that have left
# stay in the set until it is full. It is then cleared: a pace is valid for a
# second only, so missing the end of one does no harm.
_MAX_PACED = 1024


class Feedback:
    """Passes the data on an answer to the router and the trackers.

    Args:
        router: Receives answers, latencies and rate limits of guards.
        level_tracker: Receives the admission levels on answers.
        share_tracker: Receives the accounts above their share on answers.
        recorder: Records events.
        counters: Totals to update.

    Attributes:
        reports: Self reports of backend servers, received from their guards.
        far_bytes: Bytes to and from other data centres, by service and class.
    """

    def __init__(
        self,
        router: routing.Router,
        level_tracker: levels.LevelTracker,
        share_tracker: fair_shares.ShareTracker,
        recorder: timeline.Recorder,
        counters: calls.Counters,
    ):
        self.reports = self_reports.ReceivedReports()
        self.far_bytes: collections.Counter[str] = collections.Counter()
        self._router = router
        self._level_tracker = level_tracker
        self._share_tracker = share_tracker
        self._recorder = recorder
        self._counters = counters
        # Guards whose last pace was not the usual one.
        self._paced: set[str] = set()

    def record(
        self,
        call: calls.Call,
        target: guards.Target,
        answer: outcomes.Answer,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Records an answer.

        Args:
            call: The call.
            target: The guard that answered.
            answer: Its answer.
            elapsed_s: Time from sending the attempt to its answer.
            now_s: The current time.
        """
        self._update_estimates(call, target, answer, elapsed_s, now_s)
        self._router.record_answer(
            target.node_id, answer.load, answer.draining, now_s
        )
        if answer.pace != _USUAL_PACE or target.node_id in self._paced:
            self._record_pace(target.node_id, answer.pace, now_s)
        self._router.transfer_costs.record_report(
            target.node_id, call.context.class_name, answer.far_kb, now_s
        )
        if answer.report is not None:
            from_server = (
                answer.outcome is outcomes.Outcome.DONE
                or answer.reason is outcomes.Reason.REJECTED
            )
            self.reports.record(target.node_id, answer.report, from_server)
            if answer.report.limit_per_s is None:
                self._router.clear_limit(target.node_id)
        if answer.reason is outcomes.Reason.LIMITED:
            self._record_limit(target, answer, now_s)
        if answer.service_levels:
            self._level_tracker.services.observe(answer.service_levels, now_s)
        if answer.level is not None:
            self._level_tracker.observe(
                call.service,
                call.context.class_name,
                answer.level,
                now_s,
                answer.bottleneck,
            )
        if answer.over_share:
            self._share_tracker.observe(
                call.service,
                call.context.class_name,
                answer.over_share,
                answer.over_share_age_s,
                now_s,
            )
        if self._router.is_far(target):
            self._record_transfer(call, answer)

    def _record_pace(self, node_id: str, pace: float, now_s: float) -> None:
        if pace == _USUAL_PACE:
            self._paced.discard(node_id)
        elif node_id not in self._paced:
            if len(self._paced) >= _MAX_PACED:
                self._paced.clear()
            self._paced.add(node_id)
        self._router.record_pace(node_id, pace, now_s)

    def _record_transfer(
        self, call: calls.Call, answer: outcomes.Answer
    ) -> None:
        """Counts the bytes of a call to another data centre."""
        size_kb = _size_kb(call, answer)
        answer.far_kb += size_kb
        size_bytes = round(size_kb * _BYTES_PER_KB)
        self._counters.far_calls += 1
        self._counters.far_bytes += size_bytes
        self.far_bytes[f"{call.service} {call.context.class_name}"] += (
            size_bytes
        )

    def _update_estimates(
        self,
        call: calls.Call,
        target: guards.Target,
        answer: outcomes.Answer,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        estimates = self._router.estimates
        if answer.reason in _BACKEND_FAULTS:
            estimates.record_failure(target.node_id, now_s)
        class_name = call.context.class_name
        timed_out = (
            answer.reason is outcomes.Reason.DEADLINE
            and answer.outcome is outcomes.Outcome.UNKNOWN
        )
        if timed_out or answer.status == _TIMEOUT_STATUS:
            estimates.record_timeout(
                call.service, target.node_id, class_name, elapsed_s
            )
        if answer.outcome is not outcomes.Outcome.DONE:
            return
        estimates.record_size(call.service, class_name, _size_kb(call, answer))
        if answer.status < _SERVER_ERROR:
            estimates.record_answer(
                call.service,
                target.node_id,
                class_name,
                elapsed_s,
                now_s,
                answer.pace,
            )

    def _record_limit(
        self, target: guards.Target, answer: outcomes.Answer, now_s: float
    ) -> None:
        """Avoids a guard that refused because of its server's rate limit."""
        avoid_s = answer.retry_after_s or 0.0
        report = answer.report
        if self._router.record_limited(target.node_id, avoid_s, now_s):
            self._recorder.record(
                time.time(),
                "router.limited",
                target=target.node_id,
                limit_per_s=report.limit_per_s if report else None,
                away_s=round(avoid_s, 3),
            )


def _size_kb(call: calls.Call, answer: outcomes.Answer) -> float:
    """Returns the approximate size of a call and its answer in kilobytes."""
    size_bytes = _HEADS_BYTES + len(call.body) + len(answer.body)
    return size_bytes / _BYTES_PER_KB
