"""Tracker of attempts that a backend server is processing.

A backend server copies the context header to its nested calls. The tracker
maps that context to the open attempt, which holds the remaining allowance and
the deadline, so the backend server has to track neither.
"""

import dataclasses
import time

from burdockfront import allowance
from burdockfront import context as context_lib


@dataclasses.dataclass(slots=True)
class OpenAttempt:
    """One attempt that was handed to a backend server and is unanswered.

    Attributes:
        context: Context of the attempt.
        pool: Allowance shared by the nested calls of the attempt.
        deadline_s: Monotonic time after which the answer is of no use.
    """

    context: context_lib.RequestContext
    pool: allowance.AllowancePool
    deadline_s: float


class AttemptTracker:
    """Open attempts by attempt id."""

    def __init__(self) -> None:
        self._open: dict[str, OpenAttempt] = {}

    def __len__(self) -> int:
        return len(self._open)

    def begin(self, context: context_lib.RequestContext) -> OpenAttempt:
        """Opens an attempt with the allowance from its context."""
        attempt = OpenAttempt(
            context,
            allowance.AllowancePool(context.allowance),
            time.monotonic() + context.remaining_s,
        )
        self._open[context.attempt_id] = attempt
        return attempt

    def end(self, attempt_id: str) -> None:
        """Closes an attempt; an id that is not open is ignored."""
        self._open.pop(attempt_id, None)

    def parent_of(self, context: context_lib.RequestContext) -> OpenAttempt:
        """Returns the open attempt that a nested call belongs to.

        If no such attempt is open here, because the backend server called a
        node other than its own or had already answered, the returned attempt
        has no allowance: another node accounts for it, or the attempt is over.
        """
        attempt = self._open.get(context.attempt_id)
        if attempt is not None:
            return attempt
        return OpenAttempt(
            context,
            allowance.AllowancePool(0),
            time.monotonic() + context.remaining_s,
        )
