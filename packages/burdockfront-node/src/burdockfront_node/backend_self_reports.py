"""Tracks the current self report of the backend server beside a guard.

All requests to a server pass through its guard, so the self reports on its
answers are merged and applied in one place, whichever node sent the request.
"""

import collections
import dataclasses
import time
from collections.abc import Callable

from burdockfront import incarnations
from burdockfront import rate_limits
from burdockfront import self_reports
from burdockfront import timeline

# Limit on the incarnations of one server that are reported within a short time;
# usually there are two.
_MAX_RELAYED = 8


class BackendSelfReports:
    """The self report of the incarnation that is in service.

    Args:
        recorder: Records changes of the report.

    Attributes:
        report: The latest report of that incarnation.
        rate: Token bucket for the limit that it reports.
        is_plain: The incarnation has answered, is not leaving and reports no
            limit.
        on_leaving: Called with each incarnation that is found to leave.
    """

    def __init__(self, recorder: timeline.Recorder):
        self.report = self_reports.SelfReport(incarnations.UNIDENTIFIED)
        self.rate = rate_limits.RateLimit()
        self.is_plain = False
        self.on_leaving: Callable[[incarnations.Incarnation], None] = _ignore
        self._recorder = recorder
        self._unreadable = ""
        # Whether this process has received an answer of this incarnation.
        self._answered = False
        # Relayed reports of incarnations that are not in service (yet).
        self._relayed: collections.OrderedDict[
            incarnations.Incarnation, self_reports.SelfReport
        ] = collections.OrderedDict()

    def on_in_service(self, incarnation: incarnations.Incarnation) -> None:
        """Records which incarnation is in service.

        A new incarnation starts without any report.
        """
        if incarnation.may_be(self.report.incarnation):
            if incarnation.born_ms is not None:
                # Once known, the start time distinguishes this incarnation
                # from the next one with the same id.
                self.report = dataclasses.replace(
                    self.report, incarnation=incarnation
                )
            return
        self._answered = False
        self.rate.reset()
        self._update(self_reports.SelfReport(incarnation), "start")
        for report in list(self._relayed.values()):
            self.on_relayed_report(report)

    def on_answer(
        self,
        notice: self_reports.BackendNotice,
        incarnation: incarnations.Incarnation,
        handed_s: float,
    ) -> None:
        """Merges the self report on an answer that has just arrived.

        Args:
            notice: The self report on the answer.
            incarnation: The incarnation that gave the answer.
            handed_s: Time at which its request was handed over.
        """
        if not incarnation.may_be(self.report.incarnation):
            return
        self._answered = True
        if notice.unreadable:
            self._note_unreadable(notice.unreadable)
        else:
            self.rate.observe(notice.limit_per_s, handed_s, time.monotonic())
        updated = dataclasses.replace(
            self.report,
            leaving=notice.leaving or self.report.leaving,
            limit_per_s=self.rate.per_s,
        )
        self._update(updated, "answer")

    def on_relayed_report(self, report: self_reports.SelfReport) -> None:
        """Merges a report that another node received from this server.

        Reports on answers that this process received are newer.
        """
        if not report.incarnation.may_be(self.report.incarnation):
            self._relayed[report.incarnation] = report
            if len(self._relayed) > _MAX_RELAYED:
                self._relayed.popitem(last=False)
            if report.leaving:
                self.on_leaving(report.incarnation)
            return
        updated = self.report
        if report.leaving:
            # A leave is never revoked, so it applies whatever earlier answers
            # reported.
            updated = dataclasses.replace(updated, leaving=True)
        if self._accepts_limit(report):
            assert report.limit_per_s is not None
            self.rate.set_limit(report.limit_per_s, time.monotonic())
            updated = dataclasses.replace(
                updated, limit_per_s=report.limit_per_s
            )
        self._update(updated, "told")

    def _accepts_limit(self, report: self_reports.SelfReport) -> bool:
        """Whether a relayed limit is not superseded by newer information."""
        known = self._answered or self.rate.per_s is not None
        return report.limit_per_s is not None and not known

    def report_for(
        self, known: self_reports.SelfReport | None
    ) -> self_reports.SelfReport | None:
        """Returns the report to send to a router with an answer, if any.

        Args:
            known: The report that the router has; if it is wrong it has to be
                corrected.
        """
        if known is None and self.report.is_plain:
            return None
        if self.report.incarnation == incarnations.UNIDENTIFIED:
            # A router that recorded the leave would apply it to the next
            # incarnation as well.
            return dataclasses.replace(self.report, leaving=False)
        return self.report

    def _update(self, report: self_reports.SelfReport, source: str) -> None:
        before = self.report
        self.report = report
        self.is_plain = self._answered and report.is_plain
        if report.limit_per_s != before.limit_per_s:
            self._recorder.record(
                time.time(),
                "backend.limit",
                instance=report.incarnation.instance_id,
                before=before.limit_per_s,
                limit_per_s=report.limit_per_s,
                source=source,
            )
        if report.leaving and not before.leaving:
            self._recorder.record(
                time.time(),
                "backend.says-it-leaves",
                instance=report.incarnation.instance_id,
                source=source,
            )
            self.on_leaving(report.incarnation)

    def _note_unreadable(self, value: str) -> None:
        if value == self._unreadable:
            return
        self._unreadable = value
        self._recorder.record(
            time.time(),
            "backend.limit-unreadable",
            instance=self.report.incarnation.instance_id,
            value=value[:40],
            limit_per_s=self.report.limit_per_s,
        )


def _ignore(incarnation: incarnations.Incarnation) -> None:
    """Default of `on_leaving` until the guard sets its own."""
