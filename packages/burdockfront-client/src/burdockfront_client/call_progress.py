"""State of one call over its attempts, and what the attempts prove together."""

import dataclasses

from burdockfront import guards
from burdockfront import outcomes
from burdockfront_client import calls

# Refusals by the backend server itself, which has received the call.
BACKEND_REFUSALS = frozenset(
    [outcomes.Reason.REJECTED, outcomes.Reason.OTHER_INCARNATION]
)


@dataclasses.dataclass(slots=True)
class Progress:
    """State of one call over its attempts.

    Attributes:
        tried: Guards that should not be chosen again.
        handed: Guards whose backend server received, or may have received, the
            call.
        last: Guard of the last attempt.
        rejections: How often the call was sent again after a rejection.
        reroutes: How often the call was rerouted after another refusal.
        hop_retries: Retries of this call that the retry policy permitted.
        lost: Whether an attempt may have run without a known result.
        refusal: The last answer that proves that an attempt did not run.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    handed: set[str] = dataclasses.field(default_factory=set)
    last: guards.Target | None = None
    rejections: int = 0
    reroutes: int = 0
    hop_retries: int = 0
    lost: bool = False
    refusal: outcomes.Answer | None = None


def downgrade_unproven(
    answer: outcomes.Answer, progress: Progress
) -> outcomes.Answer:
    """Returns `unknown` in place of a `not-run` that can't be proved."""
    refused = answer.outcome is outcomes.Outcome.NOT_RUN
    if not (refused and progress.lost):
        return answer
    reason = answer.reason or outcomes.Reason.LOST_ANSWER
    return outcomes.unknown(reason, answer.retry_after_s)


def may_have_arrived(result: calls.AttemptResult) -> bool:
    """Whether an attempt may have reached a backend server."""
    if result.answer is None:
        return result.delivery is calls.Delivery.LOST
    if result.answer.outcome is outcomes.Outcome.NOT_RUN:
        return result.answer.reason in BACKEND_REFUSALS
    return True
