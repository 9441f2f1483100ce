"""Leases: the holder judges by its own monotonic clock, before each act.

A holder that was paused does not know it. Symptom without the check: it wakes,
still believes in its lease, and acts beside its successor. So every act asks
`token`, which compares the holder's own clock with the time counted from
*before* the grant was requested (the platform can't have started the lease
earlier). The token is a fencing token: it grows with each grant, so even an
act that was already on its way when the lease lapsed is recognised as old.
"""

import dataclasses

from burdockfront import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A lease as the platform granted it.

    Attributes:
        name: What is leased.
        fencing_token: Grows with each grant of this name.
        duration_s: How long it lasts.
    """

    name: str
    fencing_token: int
    duration_s: float


class LeaseHolder:
    """One process's view of one lease.

    Args:
        margin_s: Safety margin before the end, for clock rates that differ.
    """

    def __init__(self, margin_s: float):
        self._margin_s = margin_s
        self._grant: Grant | None = None
        self._until_s = 0.0

    def record_grant(self, grant: Grant, requested_at_s: float) -> None:
        """Takes a grant or a renewal.

        Args:
            grant: What the platform said.
            requested_at_s: Our monotonic clock just before we asked.
        """
        newer = self._grant is None or (
            grant.fencing_token >= self._grant.fencing_token
        )
        if newer:
            self._grant = grant
            self._until_s = requested_at_s + grant.duration_s - self._margin_s

    def holds(self, now_s: float) -> bool:
        """Tells whether the holder may act now."""
        return self._grant is not None and now_s < self._until_s

    def token(self, now_s: float) -> int:
        """Returns the fencing token for one act.

        Raises:
            LeaseLostError: The lease is over by our own clock.
        """
        if self._grant is None or now_s >= self._until_s:
            raise errors.LeaseLostError(
                "the lease is over by this process's clock (was it paused?); "
                "nothing was done. Acquire the lease again before acting."
            )
        return self._grant.fencing_token
