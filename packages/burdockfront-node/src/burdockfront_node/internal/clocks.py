"""A wall clock that never steps back within one process."""

import time


class SteadyWallClock:
    """The wall clock at the start, carried on by the monotonic clock.

    Ticket expiry is judged by it. If it could step back, an entry that the
    ledger has already forgotten could become acceptable once more.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def __call__(self) -> float:
        """Returns wall clock seconds."""
        return self._offset_s + time.monotonic()
