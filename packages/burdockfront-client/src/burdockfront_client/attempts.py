"""Attempts that a backend server is working on, and calls made for them.

A backend server passes the context header on to its deeper calls. This book
finds the attempt behind it: the allowance that is left and the time that has
passed since the hand-over, neither of which the backend server has to track.
"""

import dataclasses
import time

from burdockfront import allowance
from burdockfront import context as context_lib


@dataclasses.dataclass(slots=True)
class OpenAttempt:
    """One attempt between hand-over and answer.

    Attributes:
        context: Context of the attempt.
        pool: Allowance that its deeper calls may spend.
        deadline_s: Monotonic time at which its answer is worthless.
    """

    context: context_lib.RequestContext
    pool: allowance.AllowancePool
    deadline_s: float


class AttemptTracker:
    """Open attempts by their id."""

    def __init__(self) -> None:
        self._open: dict[str, OpenAttempt] = {}

    def __len__(self) -> int:
        return len(self._open)

    def begin(self, context: context_lib.RequestContext) -> OpenAttempt:
        """Opens an attempt with the allowance that came with it."""
        attempt = OpenAttempt(
            context,
            allowance.AllowancePool(context.allowance),
            time.monotonic() + context.remaining_s,
        )
        self._open[context.attempt_id] = attempt
        return attempt

    def end(self, attempt_id: str) -> None:
        """Closes an attempt."""
        self._open.pop(attempt_id, None)

    def parent_of(self, context: context_lib.RequestContext) -> OpenAttempt:
        """Returns the open attempt that a deeper call belongs to.

        A context whose attempt is not open here (the backend server called
        another node than its own, or after its answer) has no allowance: it
        is accounted for elsewhere, or gone.
        """
        attempt = self._open.get(context.attempt_id)
        if attempt is not None:
            return attempt
        return OpenAttempt(
            context,
            allowance.AllowancePool(0),
            time.monotonic() + context.remaining_s,
        )
