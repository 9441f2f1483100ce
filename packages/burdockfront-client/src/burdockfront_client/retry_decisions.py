"""Decides what follows after an attempt of a call.

What may be done after an attempt follows from what is known of it:

| known                  | idempotent          | ticket of ours | caller's |
|------------------------|---------------------|----------------|----------|
| `done`                 | return              | return         | return   |
| provably not run       | reroute (bounded)   | reroute, with  | return   |
|                        |                     | a new ticket   |          |
| rejected by the        | send again (retry   | the same, with | return   |
| backend server         | ratio)              | a new ticket   |          |
| sent, answer lost      | retry (allowance)   | ask the same owner again  |
|                        |                     | (allowance)               |

A refusal says `not-run` only if every attempt of this call provably ran
nowhere; one lost answer turns the end into `unknown`.
"""

import dataclasses
import time
from collections.abc import Callable

from burdockfront import admission
from burdockfront import allowance as allowance_lib
from burdockfront import guards
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import retries
from burdockfront_client import calls

# Less time than this is no time: an answer takes longer.
MIN_REMAINING_S = 0.002
# Of the retry ratio that operators allow; the rest is for what is counted in
# another window than it was earned in.
_RATIO_USED = 0.9
# Of a server that refuses half of everything, 99 in 100 calls are taken within
# so many more tries; each costs a token of the retry ratio.
_MOST_REJECTIONS = 6
# All guards of a service decide these alike.
_SAME_EVERYWHERE = frozenset(
    [
        outcomes.Reason.SHED,
        outcomes.Reason.OVERLOAD_DEEPER,
        outcomes.Reason.QUARANTINED,
    ]
)
_BACKEND_REFUSALS = frozenset(
    [outcomes.Reason.REJECTED, outcomes.Reason.OTHER_INCARNATION]
)


@dataclasses.dataclass(slots=True)
class Progress:
    """What is known so far of one call.

    Attributes:
        tried: Guards that should not be asked again.
        handed: Guards whose backend server was handed the call, or may have.
        rejections: Times that it was sent again after a rejection.
    """

    tried: set[str] = dataclasses.field(default_factory=set)
    handed: set[str] = dataclasses.field(default_factory=set)
    last: guards.Target | None = None
    rejections: int = 0
    reroutes: int = 0
    hop_retries: int = 0
    lost: bool = False
    refusal: outcomes.Answer | None = None


class RetryDecisions:
    """What follows after attempts, within the bounds of retries.

    Args:
        policy_of: Returns the policy in force of a service.
        counters: What was done so far.
        retry_burst: Retries of a service that may be saved up here.
    """

    def __init__(
        self,
        policy_of: Callable[[str], policy_lib.Policy],
        counters: calls.Counters,
        retry_burst: float,
    ):
        self._policy_of = policy_of
        self.counters = counters
        self._retry_burst = retry_burst
        self._ratios: dict[str, allowance_lib.RetryRatio] = {}

    @property
    def services_remembered(self) -> int:
        """Services that a retry ratio is kept for."""
        return len(self._ratios)

    def set_retry_burst(self, burst: float) -> None:
        """Takes how many retries of a service may be spent unearned."""
        if burst == self._retry_burst:
            return
        self._retry_burst = burst
        for ratio in self._ratios.values():
            ratio.set_burst(burst)

    def first_try(self, call: calls.Call) -> None:
        """Counts a call that will be sent."""
        ratio = self._ratio(call.service)
        ratio.first_try(time.monotonic(), call.context.repeated)

    def judge(
        self, call: calls.Call, sent: calls.AttemptResult, progress: Progress
    ) -> outcomes.Answer | None:
        """Returns the final answer, or None when the call goes on."""
        if sent.delivery is calls.Delivery.UNREACHED:
            refusal = outcomes.not_run(
                outcomes.Reason.UNREACHABLE, admission.RETRY_AFTER_S
            )
            return self._after_refusal(call, refusal, progress)
        if sent.answer is None:
            lost = outcomes.unknown(
                outcomes.Reason.LOST_ANSWER, admission.RETRY_AFTER_S
            )
            return self._after_loss(call, lost, progress)
        if sent.answer.outcome is outcomes.Outcome.NOT_RUN:
            return self._after_refusal(call, sent.answer, progress)
        if sent.answer.outcome is outcomes.Outcome.UNKNOWN:
            return self._after_loss(call, sent.answer, progress)
        return self._after_done(call, sent.answer, progress)

    def _after_loss(
        self, call: calls.Call, lost: outcomes.Answer, progress: Progress
    ) -> outcomes.Answer | None:
        progress.lost = True
        if call.idempotent and self.may_retry(call, progress):
            return None
        return lost

    def _after_done(
        self, call: calls.Call, answer: outcomes.Answer, progress: Progress
    ) -> outcomes.Answer | None:
        kind = self._retry_kind(call.service)
        wanted = kind.retries_errors and answer.status >= 500
        if wanted and call.idempotent and self.may_retry(call, progress):
            return None
        return answer

    def _after_refusal(
        self, call: calls.Call, refusal: outcomes.Answer, progress: Progress
    ) -> outcomes.Answer | None:
        """Goes on elsewhere after a provable not-run, within a bound."""
        progress.refusal = refusal
        rules = self._policy_of(call.service).retry
        if self._retry_kind(call.service).retries_refusals:
            if self.may_retry(call, progress):
                progress.tried.clear()
                return None
            return refusal
        if refusal.reason in _BACKEND_REFUSALS:
            return self._after_rejection(call, refusal, progress)
        in_bound = progress.reroutes < rules.reroutes
        if in_bound and refusal.reason not in _SAME_EVERYWHERE:
            progress.reroutes += 1
            self.counters.reroutes += 1
            return None
        return refusal

    def _after_rejection(
        self, call: calls.Call, refusal: outcomes.Answer, progress: Progress
    ) -> outcomes.Answer | None:
        """Goes on after a backend server's own refusal.

        It was handed the request, and all that goes on after it adds to the
        load like a retry, so it is bounded like one. The same server may be
        asked again: one that refuses a part of all requests, whatever its
        load, takes the next as likely as any other, and is nearer.
        """
        if progress.rejections >= _MOST_REJECTIONS:
            return refusal
        ratio = self._ratio(call.service)
        if not ratio.retry(time.monotonic(), call.context.priority):
            return refusal
        progress.rejections += 1
        self.counters.reroutes += 1
        if refusal.reason is outcomes.Reason.REJECTED:
            assert progress.last is not None
            progress.tried.discard(progress.last.node_id)
        return None

    def may_retry(self, call: calls.Call, progress: Progress) -> bool:
        """Takes what a retry of a call costs, or returns False."""
        now_s = time.monotonic()
        if call.deadline_s - now_s <= MIN_REMAINING_S:
            return False
        permitted = self._retry_kind(call.service).permits(
            call.pool,
            self._ratio(call.service),
            progress.hop_retries,
            self._policy_of(call.service).retry,
            now_s,
            call.context.priority,
        )
        if permitted:
            progress.hop_retries += 1
            self.counters.retries += 1
        return permitted

    def _retry_kind(self, service: str) -> retries.RetryKind:
        return retries.KINDS.get(self._policy_of(service).retry.kind)()

    def _ratio(self, service: str) -> allowance_lib.RetryRatio:
        ratio = self._ratios.get(service)
        if ratio is None:
            share = self._policy_of(service).retry.ratio * _RATIO_USED
            ratio = allowance_lib.RetryRatio(share, self._retry_burst)
            self._ratios[service] = ratio
        return ratio


def honest(answer: outcomes.Answer, progress: Progress) -> outcomes.Answer:
    """Returns `unknown` in place of a `not-run` that can't be proved."""
    refused = answer.outcome is outcomes.Outcome.NOT_RUN
    if not (refused and progress.lost):
        return answer
    reason = answer.reason or outcomes.Reason.LOST_ANSWER
    return outcomes.unknown(reason, answer.retry_after_s)


def may_have_arrived(sent: calls.AttemptResult) -> bool:
    """Whether an attempt may have reached a backend server."""
    if sent.answer is None:
        return sent.delivery is calls.Delivery.LOST
    if sent.answer.outcome is outcomes.Outcome.NOT_RUN:
        return sent.answer.reason in _BACKEND_REFUSALS
    return True
