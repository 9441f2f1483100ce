"""When peers exchange members, so that bad hours cost little more than good.

At rest all tables are equal and an exchange is one number. When a data centre
goes, hundreds of entries change within seconds, and news of them is on its
way everywhere. Two costs then explode if nothing bounds them. Every probe
finds unequal digests and would repair by sending most of the table both ways,
although pushes bring the same news anyway; and each piece of news is pushed
at once. Symptom: control traffic of each node at many times its budget, in
the very seconds in which the living nodes take over the load of the dead.

* `RepairPace`: unequal digests are repaired once our own table has stood
  still for a while (then what differs was really missed), or after having
  differed for long.
* `ByteBudget`: pushes and repairs of members stay within so many bytes per
  second; what does not fit rides on later probes.

That is enough because lateness is harmless here: routers find a dead guard by
their own calls, and a leaving one says so on its answers. Operators' documents
are few and have to be in force within seconds: they are not paced at all.
"""


class ByteBudget:
    """A token bucket of bytes that may be overdrawn, and is paid back.

    Sizes are known only after an exchange, so it is allowed while anything is
    left, and closed until its debt is paid.

    Args:
        rate_bytes_per_s: Bytes per second in the long run.
        burst_bytes: Bytes that may come at once.
    """

    def __init__(self, rate_bytes_per_s: float, burst_bytes: float):
        assert rate_bytes_per_s > 0, rate_bytes_per_s
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_bytes = burst_bytes
        self._left_bytes = burst_bytes
        self._at_s: float | None = None

    def allows(self, now_s: float) -> bool:
        """Whether anything may be sent now."""
        if self._at_s is not None:
            earned = (now_s - self._at_s) * self._rate_bytes_per_s
            self._left_bytes = min(self._burst_bytes, self._left_bytes + earned)
        self._at_s = now_s
        return self._left_bytes > 0

    def consume(self, size_bytes: int, now_s: float) -> None:
        """Counts what was sent or received."""
        self.allows(now_s)
        self._left_bytes -= size_bytes


class SyncPacer:
    """Whether unequal digests are worth a repair now.

    Args:
        quiet_s: Our own table must have stood still this long.
        max_unequal_s: After differing for so long, repair in any case.
        now_s: The current time.
    """

    def __init__(self, quiet_s: float, max_unequal_s: float, now_s: float):
        self._quiet_s = quiet_s
        self._max_unequal_s = max_unequal_s
        self._changed_s = now_s - quiet_s
        self._unequal_since_s: float | None = None

    def record_change(self, now_s: float) -> None:
        """Notes that our table changed."""
        self._changed_s = now_s

    def record_equal(self) -> None:
        """Notes that a peer's table is the same as ours."""
        self._unequal_since_s = None

    def sync_due(self, now_s: float) -> bool:
        """Notes that a peer's table differs; returns whether to repair."""
        if self._unequal_since_s is None:
            self._unequal_since_s = now_s
        quiet = now_s - self._changed_s >= self._quiet_s
        overdue = now_s - self._unequal_since_s >= self._max_unequal_s
        if not quiet and not overdue:
            return False
        self._unequal_since_s = None
        return True
