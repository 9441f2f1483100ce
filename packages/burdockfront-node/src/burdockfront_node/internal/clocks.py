"""A wall clock that never goes back within one process."""

import time


class SteadyWallClock:
    """Wall clock time at creation, advanced by the monotonic clock.

    Ticket expiry is checked against this clock. If it could go back, a ticket
    whose ledger entry is already evicted could become valid again.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Returns the wall clock time in seconds."""
        return self._offset_s + time.monotonic()
