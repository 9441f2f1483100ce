"""Decides whether a call is retried, rerouted or answered after an attempt.

The decision depends on the result of the attempt and on whether the call is
idempotent, carries a ticket minted by the dispatcher, or one of the caller:

| result of the attempt  | idempotent          | minted ticket  | caller's |
|------------------------|---------------------|----------------|----------|
| `done`                 | return              | return         | return   |
| provably not run       | reroute (bounded)   | reroute, with  | return   |
|                        |                     | a new ticket   |          |
| rejected by the        | send again (retry   | the same, with | return   |
| backend server         | ratio)              | a new ticket   |          |
|                        |                     | (*)            |          |
| sent, answer lost      | retry (allowance)   | ask the same owner again  |
|                        |                     | (allowance)               |

(*) Where answers name the request but not the attempt, to another server only;
see `RetryDecisions.may_ask_again`.

A final refusal is `not-run` only if no attempt of the call can have run; after
a lost answer it is `unknown`.
"""

import time
from collections.abc import Callable

from burdockfront import admission
from burdockfront import allowance as allowance_lib
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import retries
from burdockfront_client import call_progress
from burdockfront_client import calls

# Less remaining time than this counts as none: an answer takes longer.
MIN_REMAINING_S = 0.002
# Share of the configured retry ratio that is used. The rest covers retries that
# are counted in a later window than the one that earned them.
_RATIO_USED = 0.9
# Maximum number of repeats of a call after rejections. If a backend server
# rejects half of its requests, 99 of 100 calls are accepted within this many
# repeats. Each costs a token of the retry ratio.
_MAX_REJECTIONS = 6
# Early refusals count as first tries for this time. If older ones earned
# retries, these would exceed the ratio of the window in which they are made.
_EARLY_REFUSALS_S = 1.0
# Refusals that any other guard of the service would repeat, so the call is not
# rerouted.
_SAME_EVERYWHERE = frozenset(
    [
        outcomes.Reason.SHED,
        outcomes.Reason.OVERLOAD_DEEPER,
        outcomes.Reason.QUARANTINED,
    ]
)


def _unlimited(service: str) -> int:
    """Returns more servers than any service has."""
    return calls.UNLIMITED_BACKENDS


class RetryDecisions:
    """Decides after each attempt, within the limits on retries.

    Args:
        policy_of: Returns the active policy of a service.
        counters: Totals to update.
        retry_burst: Retries of a service that are permitted before any are
            earned.
        answers_name_attempts: Whether answers of backend servers name the
            attempt, not only the request.
        servers_of: Returns the number of known servers of a service.
    """

    def __init__(
        self,
        policy_of: Callable[[str], policy_lib.Policy],
        counters: calls.Counters,
        retry_burst: float,
        answers_name_attempts: bool = True,
        servers_of: Callable[[str], int] = _unlimited,
    ):
        self._answers_name_attempts = answers_name_attempts
        self._servers_of = servers_of
        self._policy_of = policy_of
        self.counters = counters
        self._retry_burst = retry_burst
        # Early refusals since the last call, by service: time of the first one
        # and their number.
        self._early_refusals: dict[str, tuple[float, int]] = {}
        self._ratios: dict[str, allowance_lib.RetryRatio] = {}

    @property
    def tracked_services(self) -> int:
        """Number of services with a stored retry ratio."""
        return len(self._ratios)

    def set_retry_burst(self, burst: float) -> None:
        """Sets how many retries of a service are permitted unearned."""
        if burst == self._retry_burst:
            return
        self._retry_burst = burst
        for ratio in self._ratios.values():
            ratio.set_burst(burst)

    def first_try(self, call: calls.Call) -> None:
        """Counts the first attempt of a call."""
        ratio = self._ratio(call.service)
        now_s = time.monotonic()
        if self._early_refusals:
            since_s, count = self._early_refusals.pop(call.service, (0.0, 0))
            if count and now_s - since_s <= _EARLY_REFUSALS_S:
                ratio.first_try(now_s, count=count)
        ratio.first_try(now_s, call.context.repeated)

    def count_early_refusal(self, service: str, now_s: float) -> None:
        """Counts the first try of a call that was refused unbuilt.

        It is added to the ratio with the next call of the service, as that
        costs a refusal a single function call.
        """
        known = self._early_refusals.get(service)
        if known is None or now_s - known[0] > _EARLY_REFUSALS_S:
            self._early_refusals[service] = (now_s, 1)
        else:
            self._early_refusals[service] = (known[0], known[1] + 1)

    def decide(
        self,
        call: calls.Call,
        result: calls.AttemptResult,
        progress: call_progress.Progress,
    ) -> outcomes.Answer | None:
        """Returns the final answer, or None if another attempt follows."""
        if result.delivery is calls.Delivery.UNREACHED:
            refusal = outcomes.not_run(
                outcomes.Reason.UNREACHABLE, admission.RETRY_AFTER_S
            )
            return self._after_refusal(call, refusal, progress)
        if result.answer is None:
            lost = outcomes.unknown(
                outcomes.Reason.LOST_ANSWER, admission.RETRY_AFTER_S
            )
            return self._after_loss(call, lost, progress)
        if result.answer.outcome is outcomes.Outcome.NOT_RUN:
            return self._after_refusal(call, result.answer, progress)
        if result.answer.outcome is outcomes.Outcome.UNKNOWN:
            return self._after_loss(call, result.answer, progress)
        return self._after_done(call, result.answer, progress)

    def _after_loss(
        self,
        call: calls.Call,
        lost: outcomes.Answer,
        progress: call_progress.Progress,
    ) -> outcomes.Answer | None:
        progress.lost = True
        if call.idempotent and self.may_retry(call, progress):
            return None
        return lost

    def _after_done(
        self,
        call: calls.Call,
        answer: outcomes.Answer,
        progress: call_progress.Progress,
    ) -> outcomes.Answer | None:
        if answer.status < 500:
            return answer
        retryable = self._retry_kind(call.service).retries_errors
        if retryable and call.idempotent and self.may_retry(call, progress):
            return None
        return answer

    def _after_refusal(
        self,
        call: calls.Call,
        refusal: outcomes.Answer,
        progress: call_progress.Progress,
    ) -> outcomes.Answer | None:
        """Reroutes a call that provably did not run, within a limit."""
        progress.refusal = refusal
        retry_policy = self._policy_of(call.service).retry
        if self._retry_kind(call.service).retries_refusals:
            if self.may_retry(call, progress):
                progress.tried.clear()
                if not self.may_ask_again(call):
                    progress.tried |= progress.handed
                return None
            return refusal
        if refusal.reason in call_progress.BACKEND_REFUSALS:
            return self._after_rejection(call, refusal, progress)
        within_limit = progress.reroutes < retry_policy.reroutes
        if within_limit and refusal.reason not in _SAME_EVERYWHERE:
            progress.reroutes += 1
            self.counters.reroutes += 1
            return None
        return refusal

    def _after_rejection(
        self,
        call: calls.Call,
        refusal: outcomes.Answer,
        progress: call_progress.Progress,
    ) -> outcomes.Answer | None:
        """Sends a call again that the backend server itself rejected.

        The server received the request, so another attempt adds load like a
        retry and is limited like one. The same server may be chosen again, if
        the call allows it: a server that rejects a share of all requests
        regardless of its load is as likely to accept the next one as any other,
        and is nearer.
        """
        if progress.rejections >= _MAX_REJECTIONS:
            return refusal
        asks_again = self.may_ask_again(call)
        if not asks_again and self._all_asked(call, progress):
            return refusal
        ratio = self._ratio(call.service)
        if not ratio.retry(time.monotonic(), call.context.priority):
            return refusal
        progress.rejections += 1
        self.counters.reroutes += 1
        if refusal.reason is outcomes.Reason.REJECTED and asks_again:
            assert progress.last is not None
            progress.tried.discard(progress.last.node_id)
        return None

    def may_ask_again(self, call: calls.Call) -> bool:
        """Whether a server that has rejected a call may receive it again.

        A server may send its rejection twice. Where answers name only the
        request, the second copy can't be told from the answer to a repeat that
        the server runs, whichever connection it arrives on. A call that must
        not run twice therefore goes to each server at most once.
        """
        return call.idempotent or self._answers_name_attempts

    def _all_asked(
        self, call: calls.Call, progress: call_progress.Progress
    ) -> bool:
        """Whether no server is left that may receive the call."""
        asked = len(progress.handed)
        if asked >= call.max_backends:
            return True
        return asked >= self._servers_of(call.service)

    def may_retry(
        self, call: calls.Call, progress: call_progress.Progress
    ) -> bool:
        """Consumes the cost of a retry, or returns False if not permitted."""
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
