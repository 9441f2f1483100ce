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

# The bounds are part of the format, because reports are read for each answer.
# Counts have at most five digits, as in announcements. A slowdown below 10 or
# above 10,000 is assumed to be damaged: a small one would attract all the work
# of a service to one server.
_COUNT = r"[ \t]*([0-9]{1,5})[ \t]*"
_SLOTS = r"[ \t]*([1-9][0-9]{0,4})[ \t]*"
_SLOWDOWN = r"[ \t]*([1-9][0-9]{1,3}(?:\.[0-9]{1,6})?|10000)[ \t]*"
_FORMAT = re.compile(f"{_COUNT},{_COUNT},{_SLOTS}(?:,{_SLOWDOWN})?")
# Three or four numbers of any size.
_NUMBER = r"[ \t]*-?[0-9]+(?:\.[0-9]+)?[ \t]*"
_NUMBERS = re.compile(f"{_NUMBER}(?:,{_NUMBER}){{2,3}}")
_MAX_LENGTH = 100
_USUAL_SLOWDOWN = 100.0
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


def _problem_of(value: str) -> Problem:
    """Returns why a value does not have the expected format."""
    is_readable = len(value) <= _MAX_LENGTH and _NUMBERS.fullmatch(value)
    return Problem.OUT_OF_RANGE if is_readable else Problem.UNREADABLE


class ServerLoad:
    """The latest load report of the incarnation in service.

    Attributes:
        is_reported: The incarnation in service reports its load with the
            slowdown of its machine. Decisions that need to know how fast a
            server is now are made only then.
        slowdown: Slowdown of the latest report, however old; 1.0 without one.
        ignored: Number of reports that were not used.
    """

    def __init__(self) -> None:
        self.is_reported = False
        self.slowdown = 1.0
        self.ignored = 0
        self._incarnation = incarnations.UNIDENTIFIED
        self._found: re.Match[str] | None = None
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
        self.slowdown = 1.0
        self._found = None
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

        Called for each answer, so it makes few function calls: the report is
        decoded in full only by `latest`.

        Args:
            incarnation: The incarnation that gave the answer.
            values: All values of the header on this answer, at least one.
            sent_s: Time at which the request was sent.
            now_s: The current time.

        Returns:
            Why the report is not used, the first time that this happens with
            this incarnation; otherwise None.
        """
        current = self._incarnation
        if incarnation is not current and not incarnation.may_be(current):
            return self._ignore(Problem.OTHER_INCARNATION)
        if sent_s < self._sent_s - MAX_AGE_S:
            # A shorter request may overtake a longer one, whose answer is
            # nevertheless up to date. An answer this late may have been held
            # up on its connection.
            return self._ignore(Problem.OUTDATED)
        if values[1:]:
            return self._ignore(Problem.DUPLICATE)
        found = _FORMAT.fullmatch(values[0])
        if found is None:
            return self._ignore(_problem_of(values[0]))
        slowdown = found[4]
        self.slowdown = (
            1.0 if slowdown is None else float(slowdown) / _USUAL_SLOWDOWN
        )
        if slowdown is not None:
            self.is_reported = True
        self._found = found
        self._sent_s = max(self._sent_s, sent_s)
        self._received_s = now_s
        return None

    def _ignore(self, problem: Problem) -> Problem | None:
        self.ignored += 1
        if problem in self._known_problems:
            return None
        self._known_problems.add(problem)
        return problem

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

    def latest(self, now_s: float) -> LoadReport | None:
        """Returns the latest report, or None if there is no recent one."""
        found = self._found
        if found is None or now_s - self._received_s > MAX_AGE_S:
            return None
        running, waiting, slots = (int(found[number]) for number in (1, 2, 3))
        return LoadReport(running, waiting, slots, self.slowdown)

    def pace(self, now_s: float) -> float:
        """Returns how long work takes now, relative to its usual time.

        A recent report includes the slowdown of the machine, but not the one
        of a server that is warming up.
        """
        pace = 1.0
        if now_s - self._received_s <= MAX_AGE_S:
            pace = self.slowdown
        return pace * _WARM_UP_FACTOR if now_s < self._warm_at_s else pace
