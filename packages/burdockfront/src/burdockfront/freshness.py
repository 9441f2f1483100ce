"""Freshness of a node's table of routes.

Few nodes query the store; the other nodes receive changes from them by gossip.
If no change arrives, nothing may have changed. Or the watcher is partitioned,
waits for an answer that never comes, or assumes that another node watches.
A node therefore does not infer from missing updates that its table is current,
but tracks when it was last known to be the newest. Answers of the store confirm
this, and each message between nodes carries the age of that confirmation
(`Claim`) along with the version.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Version and age of a node's table, as it reports them to peers.

    Attributes:
        version: Version that is active there; -1 without a table.
        age_s: Time since it was known to be the newest; None if it never was,
            or if the node's release does not report it.
    """

    version: int
    age_s: float | None = None


class Freshness:
    """The time at which the active table was last known to be the newest.

    A newer table that replaces the active one is at least as fresh, so a
    confirmation stays valid.

    Attributes:
        source: Source of the latest confirmation: `store`, or the address of a
            peer.
    """

    def __init__(self) -> None:
        self._confirmed_s: float | None = None
        self.source = ""

    def confirm(self, at_s: float, source: str) -> None:
        """Records that no newer table was known at some time.

        Args:
            at_s: That time, on the monotonic clock.
            source: The source of this information.
        """
        if self._confirmed_s is None or at_s > self._confirmed_s:
            self._confirmed_s = at_s
            self.source = source

    def age_s(self, now_s: float) -> float | None:
        """Returns the time since the last confirmation; None before one."""
        if self._confirmed_s is None:
            return None
        return max(0.0, now_s - self._confirmed_s)
