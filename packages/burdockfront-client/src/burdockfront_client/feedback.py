"""What a router learns from the answers of guards."""

import collections
import time

from burdockfront import guards
from burdockfront import levels
from burdockfront import outcomes
from burdockfront import routing
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_client import calls

_SERVER_ERROR = 500
_TIMEOUT_STATUS = 504
# Of the backend server, not of the load.
_FAULTS = frozenset(
    [
        outcomes.Reason.REJECTED,
        outcomes.Reason.UNREACHABLE,
        outcomes.Reason.LOST_ANSWER,
    ]
)
# Heads of a call and of its answer, about.
_HEADS_BYTES = 600
_BYTES_PER_KB = 1000.0


class Feedback:
    """Brings what an answer tells to those whom it concerns.

    Args:
        router: Learns who answered, how fast, and what is limited.
        level_tracker: Learns the levels on answers.
        recorder: Where events go.
        counters: What was done so far.

    Attributes:
        reports: What guards told of their backend servers.
        far_bytes: Bytes to and from other data centres, by service and class.
    """

    def __init__(
        self,
        router: routing.Router,
        level_tracker: levels.LevelTracker,
        recorder: timeline.Recorder,
        counters: calls.Counters,
    ):
        self.reports = self_reports.ReceivedReports()
        self.far_bytes: collections.Counter[str] = collections.Counter()
        self._router = router
        self._level_tracker = level_tracker
        self._recorder = recorder
        self._counters = counters

    def learn(
        self,
        call: calls.Call,
        target: guards.Target,
        answer: outcomes.Answer,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Learns from an answer.

        Args:
            call: What was asked.
            target: The guard that answered.
            answer: Its answer.
            elapsed_s: How long it took.
            now_s: The current time.
        """
        self._learn_pace(call, target, answer, elapsed_s, now_s)
        self._router.record_answer(
            target.node_id, answer.load, answer.draining, now_s
        )
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
            self._note_limited(target, answer, now_s)
        if answer.level is not None:
            self._level_tracker.observe(
                call.service,
                call.context.class_name,
                answer.level,
                now_s,
            )
        if self._router.is_far(target):
            self._note_way(call, answer)

    def _note_way(self, call: calls.Call, answer: outcomes.Answer) -> None:
        """Counts what a call to another data centre moved."""
        way_kb = _kb_of(call, answer)
        answer.far_kb += way_kb
        way_bytes = round(way_kb * _BYTES_PER_KB)
        self._counters.far_calls += 1
        self._counters.far_bytes += way_bytes
        self.far_bytes[f"{call.service} {call.context.class_name}"] += way_bytes

    def _learn_pace(
        self,
        call: calls.Call,
        target: guards.Target,
        answer: outcomes.Answer,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        estimates = self._router.estimates
        if answer.reason in _FAULTS:
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
        estimates.record_size(call.service, class_name, _kb_of(call, answer))
        if answer.status < _SERVER_ERROR:
            estimates.record_answer(
                call.service, target.node_id, class_name, elapsed_s, now_s
            )

    def _note_limited(
        self, target: guards.Target, answer: outcomes.Answer, now_s: float
    ) -> None:
        """Stays away from a guard that refused for a limit of its server."""
        away_s = answer.retry_after_s or 0.0
        report = answer.report
        if self._router.record_limited(target.node_id, away_s, now_s):
            self._recorder.record(
                time.time(),
                "router.limited",
                target=target.node_id,
                limit_per_s=report.limit_per_s if report else None,
                away_s=round(away_s, 3),
            )


def _kb_of(call: calls.Call, answer: outcomes.Answer) -> float:
    """Returns the kilobytes that a call and its answer have, about."""
    size_bytes = _HEADS_BYTES + len(call.body) + len(answer.body)
    return size_bytes / _BYTES_PER_KB
