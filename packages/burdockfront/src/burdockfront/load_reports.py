"""Load reports that backend servers attach to their answers.

A backend server may report how many requests it runs and queues, its slots, and
how long work takes on its machine at this moment. A report is a hint with an
age: it changes many times a second, can be wrong, and is valid for one
incarnation of the server. A report that cannot be used counts as no report; it
neither takes the server out of use nor gives it preference. The previous report
then stays valid until it expires.
"""

import dataclasses
import enum
import re
from collections.abc import Sequence

from burdockfront import incarnations

# Three or four comma-separated numbers, within the bounds below.
_FORMAT = re.compile(
    r"[ \t]*([0-9]{1,6})[ \t]*,[ \t]*([0-9]{1,6})[ \t]*,[ \t]*([0-9]{1,6})"
    r"[ \t]*(?:,[ \t]*([0-9]{1,5}(?:\.[0-9]{1,6})?)[ \t]*)?"
)
# As the largest number of slots that a native announcement may have.
_MAX_COUNT = 100_000
_USUAL_SLOWDOWN = 100.0
# A value outside of these bounds is assumed to be damaged: below, one damaged
# report would attract all the work of a service; above, it would end it.
_MIN_SLOWDOWN = 10.0
_MAX_SLOWDOWN = 10_000.0
# The slowdown changes many times a second. A busy server sends a new report
# with each answer, so an older one means that its answers have stopped.
MAX_AGE_S = 1.0
# Work takes about twice as long on a server that is warming up.
_WARM_UP_FACTOR = 2.0
# Longer warm-ups are assumed to be damaged values.
_MAX_WARM_UP_S = 600.0
# A pace above this one is reported to operators.
SLOW_PACE = 1.5
_NEVER_S = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """A load report of a backend server.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests in its own queue.
        slots: Number of requests that it can run concurrently.
        slowdown: How long work takes at this moment, relative to its usual
            time.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class Problem(enum.StrEnum):
    """Why a report was not used."""

    UNREADABLE = "unreadable"
    OUT_OF_RANGE = "out-of-range"
    DUPLICATE = "duplicate"
    OUTDATED = "outdated"
    OTHER_INCARNATION = "other-incarnation"


def parse(values: Sequence[str]) -> LoadReport | Problem:
    """Parses the report on an answer.

    Args:
        values: All values of the header on this answer, at least one.
    """
    if len(values) != 1:
        return Problem.DUPLICATE
    found = _FORMAT.fullmatch(values[0])
    if found is None:
        return Problem.UNREADABLE
    running, waiting, slots = (int(found[number]) for number in (1, 2, 3))
    slowdown = float(found[4] or _USUAL_SLOWDOWN)
    if slots < 1 or max(running, waiting, slots) > _MAX_COUNT:
        return Problem.OUT_OF_RANGE
    if not _MIN_SLOWDOWN <= slowdown <= _MAX_SLOWDOWN:
        return Problem.OUT_OF_RANGE
    return LoadReport(running, waiting, slots, slowdown / _USUAL_SLOWDOWN)


class ServerLoad:
    """The latest load report of the incarnation in service.

    Attributes:
        is_reported: The incarnation in service has reported its load or that
            it is warming up.
        ignored: Number of reports that were not used.
    """

    def __init__(self) -> None:
        self.is_reported = False
        self.ignored = 0
        self._incarnation = incarnations.UNIDENTIFIED
        self._report: LoadReport | None = None
        self._sent_s = _NEVER_S
        self._received_s = _NEVER_S
        self._warm_at_s = _NEVER_S
        # Problems of this incarnation that were already returned.
        self._known_problems: set[Problem] = set()

    def on_in_service(self, incarnation: incarnations.Incarnation) -> None:
        """Records which incarnation is in service.

        The load of a new incarnation is unknown, also under a known id.
        """
        if incarnation.may_be(self._incarnation):
            if incarnation.born_ms is not None:
                # Once known, the start time distinguishes this incarnation
                # from the next one with the same id.
                self._incarnation = incarnation
            return
        self._incarnation = incarnation
        self.is_reported = False
        self._report = None
        self._sent_s = _NEVER_S
        self._received_s = _NEVER_S
        self._warm_at_s = _NEVER_S
        self._known_problems.clear()

    def record(
        self,
        incarnation: incarnations.Incarnation,
        values: Sequence[str],
        sent_s: float,
        now_s: float,
    ) -> Problem | None:
        """Records the report on an answer.

        Args:
            incarnation: The incarnation that gave the answer.
            values: All values of the header on this answer, at least one.
            sent_s: Time at which the request was sent.
            now_s: The current time.

        Returns:
            Why the report is not used, the first time that this happens with
            this incarnation; otherwise None.
        """
        problem = self._problem_of(incarnation, values, sent_s)
        if problem is None:
            self._received_s = now_s
            self.is_reported = True
            return None
        self.ignored += 1
        if problem in self._known_problems:
            return None
        self._known_problems.add(problem)
        return problem

    def _problem_of(
        self,
        incarnation: incarnations.Incarnation,
        values: Sequence[str],
        sent_s: float,
    ) -> Problem | None:
        """Stores a report, or returns why it is not used."""
        if not incarnation.may_be(self._incarnation):
            return Problem.OTHER_INCARNATION
        if sent_s < self._sent_s:
            return Problem.OUTDATED
        found = parse(values)
        if isinstance(found, Problem):
            return found
        self._report = found
        self._sent_s = sent_s
        return None

    def record_warm_up(self, warm_in_s: float, now_s: float) -> None:
        """Records how long the incarnation in service will be warming up.

        Args:
            warm_in_s: The remaining time; 0 if it is not warming up.
            now_s: The current time.
        """
        if not 0.0 < warm_in_s <= _MAX_WARM_UP_S:
            self._warm_at_s = _NEVER_S
            return
        self._warm_at_s = now_s + warm_in_s
        self.is_reported = True

    def latest(self, now_s: float) -> LoadReport | None:
        """Returns the latest report, or None if there is no recent one."""
        if now_s - self._received_s > MAX_AGE_S:
            return None
        return self._report

    def pace(self, now_s: float) -> float:
        """Returns how long work takes now, relative to its usual time.

        A recent report includes the slowdown of the machine, but not the one
        of a server that is warming up.
        """
        report = self.latest(now_s)
        pace = 1.0 if report is None else report.slowdown
        return pace * _WARM_UP_FACTOR if now_s < self._warm_at_s else pace
