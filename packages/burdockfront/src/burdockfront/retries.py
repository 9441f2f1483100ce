"""Kinds of retry policy, which decide whether a call is retried.

`chain` is the kind for production use. `hop` and `layers` reproduce common
practice and serve as baselines that can be compared by changing the policy
alone.
"""

from typing import Protocol

from burdockfront import allowance
from burdockfront import policy
from burdockfront import registry

KINDS = registry.Registry("retry kind")


class RetryKind(Protocol):
    """Decides whether a call may be retried.

    Attributes:
        retries_errors: Whether an error answer of the backend server itself
            is retried.
        retries_refusals: Whether a refusal is retried like a lost answer,
            instead of being rerouted within a separate limit.
    """

    retries_errors: bool
    retries_refusals: bool

    def permits(
        self,
        pool: allowance.AllowancePool,
        ratio: allowance.RetryRatio,
        hop_retries: int,
        rules: policy.RetryPolicy,
        now_s: float,
        priority: int,
    ) -> bool:
        """Takes the cost of a retry; returns False if it is not permitted.

        Args:
            pool: Allowance that the retry is charged to.
            ratio: Retry ratio of the node.
            hop_retries: Retries of the call so far.
            rules: Parameters of the retry policy.
            now_s: The current time.
            priority: Priority number of the request.
        """


@KINDS.register("chain")
class ChainRetries:
    """An allowance for the whole call tree and a ratio for the whole node."""

    retries_errors = False
    retries_refusals = False

    def permits(
        self,
        pool: allowance.AllowancePool,
        ratio: allowance.RetryRatio,
        hop_retries: int,
        rules: policy.RetryPolicy,
        now_s: float,
        priority: int,
    ) -> bool:
        """Takes a unit of the allowance and a token of the ratio."""
        if pool.units == 0 or not ratio.retry(now_s, priority):
            return False
        return pool.use()


@KINDS.register("hop")
class HopRetries:
    """Baseline: a retry limit per hop, within the ratio of the node."""

    retries_errors = True
    retries_refusals = True

    def permits(
        self,
        pool: allowance.AllowancePool,
        ratio: allowance.RetryRatio,
        hop_retries: int,
        rules: policy.RetryPolicy,
        now_s: float,
        priority: int,
    ) -> bool:
        """Counts the retries of this hop only."""
        return hop_retries < rules.allowance and ratio.retry(now_s)


@KINDS.register("layers")
class LayerRetries:
    """Baseline: a retry limit per layer, without any other bound."""

    retries_errors = True
    retries_refusals = True

    def permits(
        self,
        pool: allowance.AllowancePool,
        ratio: allowance.RetryRatio,
        hop_retries: int,
        rules: policy.RetryPolicy,
        now_s: float,
        priority: int,
    ) -> bool:
        """Counts the retries of this hop only."""
        return hop_retries < rules.allowance
