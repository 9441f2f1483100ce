"""What a guard believes of the terms that its backend server names.

All requests to a server pass its guard, so what the server says on its answers
is known and held in one place, whichever node asked.
"""

import time

from burdockfront import incarnations
from burdockfront import rate_limits
from burdockfront import self_reports
from burdockfront import timeline


class BackendBeliefs:
    """Beliefs about the start of a backend server that is in service.

    Args:
        recorder: Where changes of a belief go.

    Attributes:
        report: What that start said last.
        rate: Holds the limit that it names.
    """

    def __init__(self, recorder: timeline.Recorder):
        self.report = self_reports.SelfReport(incarnations.NAMELESS)
        self.rate = rate_limits.RateLimit()
        self._recorder = recorder
        self._unreadable = ""

    def in_service(self, start: incarnations.Start) -> None:
        """Notes which start is in service; another one has said nothing yet."""
        if not start.may_be(self.report.start):
            self.rate.begin_anew()
            self._believe(self_reports.SelfReport(start))

    def answered(
        self,
        said: self_reports.Said,
        start: incarnations.Start,
        handed_s: float,
    ) -> None:
        """Learns from an answer that came just now.

        Args:
            said: What it says.
            start: Which start gave it.
            handed_s: When its request was handed over.
        """
        if said is self_reports.NOTHING and self.report.is_plain:
            return
        if not start.may_be(self.report.start):
            return
        if said.unreadable:
            self._note_unreadable(said.unreadable)
            return
        self.rate.answered(said.limit_per_s, handed_s, time.monotonic())
        leaving = said.leaving or self.report.leaving
        self._believe(self_reports.SelfReport(start, leaving, self.rate.per_s))

    def _believe(self, report: self_reports.SelfReport) -> None:
        before = self.report
        self.report = report
        if report.limit_per_s != before.limit_per_s:
            self._recorder.record(
                time.time(),
                "backend.limit",
                instance=report.start.instance_id,
                before=before.limit_per_s,
                limit_per_s=report.limit_per_s,
            )
        if report.leaving and not before.leaving:
            self._recorder.record(
                time.time(),
                "backend.says-it-leaves",
                instance=report.start.instance_id,
            )

    def _note_unreadable(self, value: str) -> None:
        if value == self._unreadable:
            return
        self._unreadable = value
        self._recorder.record(
            time.time(),
            "backend.limit-unreadable",
            instance=self.report.start.instance_id,
            value=value[:40],
            limit_per_s=self.report.limit_per_s,
        )
