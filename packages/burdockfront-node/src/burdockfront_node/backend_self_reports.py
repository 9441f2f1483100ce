"""What a guard believes of the terms that its backend server names.

All requests to a server pass its guard, so what the server says on its answers
is known and held in one place, whichever node asked.
"""

import collections
import dataclasses
import time
from collections.abc import Callable

from burdockfront import incarnations
from burdockfront import rate_limits
from burdockfront import self_reports
from burdockfront import timeline

# Starts of one server that are heard of within a moment; two as a rule.
_MOST_TOLD = 8


class BackendSelfReports:
    """Beliefs about the start of a backend server that is in service.

    Args:
        recorder: Where changes of a belief go.

    Attributes:
        report: What that start said last.
        rate: Holds the limit that it names.
        is_plain: It said nothing out of the ordinary, and has answered.
        on_leaving: Called with each start that is found to leave.
    """

    def __init__(self, recorder: timeline.Recorder):
        self.report = self_reports.SelfReport(incarnations.UNIDENTIFIED)
        self.rate = rate_limits.RateLimit()
        self.is_plain = False
        self.on_leaving: Callable[[incarnations.Incarnation], None] = _ignore
        self._recorder = recorder
        self._unreadable = ""
        # Whether any answer of this start has come to this process.
        self._answered = False
        # What was told of starts that are not in service (yet).
        self._told: collections.OrderedDict[
            incarnations.Incarnation, self_reports.SelfReport
        ] = collections.OrderedDict()

    def on_in_service(self, incarnation: incarnations.Incarnation) -> None:
        """Notes which start is in service; another one has said nothing yet."""
        if incarnation.may_be(self.report.incarnation):
            if incarnation.born_ms is not None:
                # Known now, it tells the next start of this id from this one.
                self.report = dataclasses.replace(
                    self.report, incarnation=incarnation
                )
            return
        self._answered = False
        self.rate.reset()
        self._believe(self_reports.SelfReport(incarnation), "start")
        for report in list(self._told.values()):
            self.on_relayed_report(report)

    def on_answer(
        self,
        notice: self_reports.BackendNotice,
        incarnation: incarnations.Incarnation,
        handed_s: float,
    ) -> None:
        """Learns from an answer that came just now.

        Args:
            notice: What it says.
            incarnation: Which start gave it.
            handed_s: When its request was handed over.
        """
        if not incarnation.may_be(self.report.incarnation):
            return
        self._answered = True
        if notice.unreadable:
            self._note_unreadable(notice.unreadable)
        else:
            self.rate.observe(notice.limit_per_s, handed_s, time.monotonic())
        believed = dataclasses.replace(
            self.report,
            leaving=notice.leaving or self.report.leaving,
            limit_per_s=self.rate.per_s,
        )
        self._believe(believed, "answer")

    def on_relayed_report(self, report: self_reports.SelfReport) -> None:
        """Takes what another node remembers, or a question to the server told.

        What answers said to this process is newer.
        """
        if not report.incarnation.may_be(self.report.incarnation):
            self._told[report.incarnation] = report
            if len(self._told) > _MOST_TOLD:
                self._told.popitem(last=False)
            if report.leaving:
                self.on_leaving(report.incarnation)
            return
        believed = self.report
        if report.leaving:
            # Never taken back, so it holds whatever an answer said before.
            believed = dataclasses.replace(believed, leaving=True)
        if self._takes_limit(report):
            assert report.limit_per_s is not None
            self.rate.set_limit(report.limit_per_s, time.monotonic())
            believed = dataclasses.replace(
                believed, limit_per_s=report.limit_per_s
            )
        self._believe(believed, "told")

    def _takes_limit(self, report: self_reports.SelfReport) -> bool:
        """Whether nothing newer is known than what another node remembers."""
        known = self._answered or self.rate.per_s is not None
        return report.limit_per_s is not None and not known

    def report_for(
        self, told: self_reports.SelfReport | None
    ) -> self_reports.SelfReport | None:
        """Returns what a router should hear with an answer.

        Args:
            told: What it believes; if that is wrong it has to be corrected.
        """
        if told is None and self.report.is_plain:
            return None
        if self.report.incarnation == incarnations.UNIDENTIFIED:
            # Remembered elsewhere, it would keep the next start out as well.
            return dataclasses.replace(self.report, leaving=False)
        return self.report

    def _believe(self, report: self_reports.SelfReport, source: str) -> None:
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
    """Stands in until the guard listens."""
