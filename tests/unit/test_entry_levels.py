"""How fast an entry hears that a service has capacity again.

An entry that refuses nearly everything receives few answers, and levels come
on answers only.
"""

import random
import statistics

from burdockfront import context
from burdockfront import levels

_RANK = 2
_REFUSED_S = 0.002
_SERVED_S = 0.15
_OPENS_AT_S = 3.0
# Long enough for the slowest entry to get twenty requests.
_END_S = 10.0


class _Entry:
    """An entry whose requests come at random, and the guards behind it.

    Attributes:
        admitted: Time and whether it was sent, for each request that the
            guards would have admitted.
        rejected: Number of requests that the guards refused.
        requests: Number of all requests while the level was low.
    """

    def __init__(self, rate_per_s: float, low_level: int, seed: int):
        self._rng = random.Random(seed)
        self._rate_per_s = rate_per_s
        self._low_level = low_level
        self.admitted: list[tuple[float, bool]] = []
        self.rejected = 0
        self.requests = 0

    def run(self) -> "_Entry":
        tracker = levels.LevelTracker()
        tracker.observe("fees", "browse", self._low_level, 0.0)
        answers: list[tuple[float, int]] = []
        now_s = 0.0
        while now_s < _END_S:
            now_s += self._rng.expovariate(self._rate_per_s)
            answers.sort()
            while answers and answers[0][0] <= now_s:
                at_s, level = answers.pop(0)
                tracker.observe("fees", "browse", level, at_s)
            opened = now_s >= _OPENS_AT_S
            level = levels.OPEN if opened else self._low_level
            ordinal = self._rng.randrange(context.ORDINALS)
            priority = _RANK * context.ORDINALS + ordinal
            sent = not tracker.refuses("fees", "browse", priority, now_s)
            if sent:
                took_s = _SERVED_S if priority <= level else _REFUSED_S
                answers.append((now_s + took_s, level))
            if priority <= level:
                self.admitted.append((now_s, sent))
            self.requests += not opened
            self.rejected += sent and priority > level
        return self

    def opened_after_s(self) -> float:
        """Time until the entry sends nine of the next ten requests."""
        later = [one for one in self.admitted if one[0] >= _OPENS_AT_S]
        for first, (at_s, _) in enumerate(later):
            if sum(sent for _, sent in later[first : first + 10]) >= 9:
                return at_s - _OPENS_AT_S
        return _END_S


def _entries(rate_per_s: float, low_level: int) -> list[_Entry]:
    return [_Entry(rate_per_s, low_level, seed).run() for seed in range(40)]


def test_entry_that_refuses_nearly_everything_opens_within_half_a_second():
    # Guards against an entry that goes on refusing while slots are idle.
    for rate_per_s in (4.0, 8.0, 30.0):
        entries = _entries(rate_per_s, low_level=200)
        opened_s = [entry.opened_after_s() for entry in entries]
        assert statistics.median(opened_s) < 0.45, rate_per_s
        assert max(opened_s) < 1.2, rate_per_s


def test_few_requests_reach_guards_in_vain_while_a_rank_is_shut():
    # A request that is let through to hear the level costs a relay.
    for rate_per_s, most in ((4.0, 0.4), (8.0, 0.25), (30.0, 0.1)):
        entries = _entries(rate_per_s, low_level=200)
        rejected = sum(entry.rejected for entry in entries)
        assert rejected < most * sum(entry.requests for entry in entries)
