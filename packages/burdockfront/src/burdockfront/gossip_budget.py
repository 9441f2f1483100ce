"""Bounds on the control traffic of gossip after many members change at once.

While nothing changes all tables are equal, and one exchange compares a single
digest. When a data centre fails, hundreds of entries change within seconds and
updates about them are in flight between all nodes. Without bounds, two costs
explode. Every probe finds unequal digests and would start an anti-entropy sync
that sends most of the table in both directions, although pushes deliver the
same updates anyway; and every update is pushed immediately. The control traffic
of each node then rises to many times its budget, in the seconds in which the
remaining nodes take over the load of the failed ones.

* `SyncPacer`: unequal digests trigger a sync only once the local table has not
  changed for a while (an entry that still differs was then really missed), or
  after the digests have differed for a long time.
* `ByteBudget`: pushes and syncs of members stay within a byte rate; updates
  that do not fit are piggybacked on later probes.

Late membership updates are harmless, so these bounds suffice: routers detect a
failed guard by their own calls, and a leaving guard announces it on its
answers. Operators' documents are few and must take effect within seconds, so
they are not limited at all.
"""


class ByteBudget:
    """A token bucket of bytes that may be overdrawn.

    The size of an exchange is known only afterwards, so an exchange is allowed
    while any bytes are left, and the next one only once the debt is paid back.

    Args:
        rate_bytes_per_s: Refill rate.
        burst_bytes: Capacity of the bucket.
    """

    def __init__(self, rate_bytes_per_s: float, burst_bytes: float):
        assert rate_bytes_per_s > 0, rate_bytes_per_s
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_bytes = burst_bytes
        self._left_bytes = burst_bytes
        self._refilled_at_s: float | None = None

    def allows(self, now_s: float) -> bool:
        """Whether an exchange may begin now."""
        if self._refilled_at_s is not None:
            earned = (now_s - self._refilled_at_s) * self._rate_bytes_per_s
            self._left_bytes = min(self._burst_bytes, self._left_bytes + earned)
        self._refilled_at_s = now_s
        return self._left_bytes > 0

    def consume(self, size_bytes: int, now_s: float) -> None:
        """Charges the bytes that an exchange sent or received."""
        self.allows(now_s)
        self._left_bytes -= size_bytes


class SyncPacer:
    """Decides whether unequal digests justify an anti-entropy sync now.

    Args:
        quiet_s: Time for which the local table must not have changed.
        max_unequal_s: Time after which digests that still differ cause a sync
            in any case.
        now_s: The current time.
    """

    def __init__(self, quiet_s: float, max_unequal_s: float, now_s: float):
        self._quiet_s = quiet_s
        self._max_unequal_s = max_unequal_s
        self._changed_s = now_s - quiet_s
        self._unequal_since_s: float | None = None

    def record_change(self, now_s: float) -> None:
        """Records a change of the local table."""
        self._changed_s = now_s

    def record_equal(self) -> None:
        """Records that a peer's digest equals the local one."""
        self._unequal_since_s = None

    def sync_due(self, now_s: float) -> bool:
        """Records that a peer's digest differs; returns whether to sync."""
        if self._unequal_since_s is None:
            self._unequal_since_s = now_s
        quiet = now_s - self._changed_s >= self._quiet_s
        overdue = now_s - self._unequal_since_s >= self._max_unequal_s
        if not quiet and not overdue:
            return False
        self._unequal_since_s = None
        return True
