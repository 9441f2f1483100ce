"""Leases that the holder checks by its monotonic clock before each action.

A process that was paused does not notice it. Without the check it resumes,
assumes that it still holds the lease, and acts concurrently with its successor.
Each action therefore calls `token`, which compares the monotonic clock with the
end of the lease. The duration is counted from *before* the grant was requested,
since the platform cannot have started the lease earlier. The token is a fencing
token: it increases with each grant, so even an action that was already in
flight when the lease expired is recognised as outdated.
"""

import dataclasses

from burdockfront import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A lease granted by the platform.

    Attributes:
        name: Name of the leased resource.
        fencing_token: Increases with each grant of this name.
        duration_s: Validity of the lease.
    """

    name: str
    fencing_token: int
    duration_s: float


class LeaseHolder:
    """One process's view of one lease.

    Args:
        margin_s: Safety margin before the end, for differing clock rates.
    """

    def __init__(self, margin_s: float):
        self._margin_s = margin_s
        self._grant: Grant | None = None
        self._until_s = 0.0

    def record_grant(self, grant: Grant, requested_at_s: float) -> None:
        """Records a grant or a renewal.

        Args:
            grant: The grant from the platform.
            requested_at_s: Monotonic time just before the request was sent.
        """
        newer = self._grant is None or (
            grant.fencing_token >= self._grant.fencing_token
        )
        if newer:
            self._grant = grant
            self._until_s = requested_at_s + grant.duration_s - self._margin_s

    def holds(self, now_s: float) -> bool:
        """Whether the holder may act now."""
        return self._grant is not None and now_s < self._until_s

    def token(self, now_s: float) -> int:
        """Returns the fencing token for one action.

        Raises:
            LeaseLostError: The lease has expired by this process's clock.
        """
        if self._grant is None or now_s >= self._until_s:
            raise errors.LeaseLostError(
                "the lease has expired by this process's clock (was it "
                "paused?); nothing was done. Acquire the lease again before "
                "acting."
            )
        return self._grant.fencing_token
