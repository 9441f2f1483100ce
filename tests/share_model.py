"""Model of fair shares without a network: entries, guards and a delay.

Requests of client accounts arrive at the entries and make several calls of one
short service. Its guards measure the work of the accounts, and set their level
from the flow. What a guard answers reaches the entries after a delay.
"""

import collections
import dataclasses
import random

from burdockfront import context as context_lib
from burdockfront import fair_shares
from burdockfront import flow_level
from burdockfront import levels

_STEP_S = 0.05
_WINDOW_S = 0.25
_WORK_S = 0.05
_SERVICE = "ledger"
_CLASS = "listing"
# Answers that an entry gets of each guard in one step are observed this often.
_OBSERVED_PER_STEP = 2


@dataclasses.dataclass(slots=True)
class _Guard:
    slots: int
    control: flow_level.FlowControl
    meter: fair_shares.ShareMeter
    work_s: float = 0.0

    def record(self, context: context_lib.RequestContext) -> None:
        self.control.record_arrival(context.priority, _WORK_S)
        if self.meter.active:
            self.meter.record(context, _WORK_S)
        self.work_s += _WORK_S

    def advance(self, now_s: float) -> None:
        if self.control.is_window_over(now_s):
            self.control.advance(self.slots, now_s)
            self.meter.advance(self.control.level, self.slots, now_s)


@dataclasses.dataclass(slots=True)
class _Entry:
    levels: levels.LevelTracker
    shares: fair_shares.ShareTracker


class ShareModel:
    """Entries and guards of one short service.

    Args:
        seed: Seed of all randomness.
        slots: Slots of each guard.
        entries: Number of entries.
        calls: Calls of the service per request.
        delay_s: Time until an entry gets the answers of a guard.
        sends_tags: Whether the entries send tags.

    Attributes:
        asked: Requests per account since the last `forget`.
        served: Admitted requests per account since the last `forget`.
        level_log: Level of the service at the first entry after each step.
        now_s: Time of the model.
        silent: Whether no answer reaches the entries.
    """

    def __init__(
        self,
        seed: int,
        slots: tuple[int, ...] = (20, 20, 20, 20),
        entries: int = 12,
        calls: int = 4,
        delay_s: float = 0.5,
        sends_tags: bool = True,
    ):
        self._rng = random.Random(seed)
        self._calls = calls
        self._delay_s = delay_s
        self._sends_tags = sends_tags
        self.now_s = 0.0
        self.silent = False
        self.guards = [self._new_guard(count) for count in slots]
        self.entries = [self._new_entry() for _ in range(entries)]
        self._answers: collections.deque[
            tuple[float, int, dict[str, float]]
        ] = collections.deque()
        self.level_log: list[int] = []
        self.forget()

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the service can serve."""
        slots = sum(guard.slots for guard in self.guards)
        return slots / _WORK_S / self._calls

    def forget(self) -> None:
        """Resets the counts of requests."""
        self.asked: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.level_log = []

    def served_share(self, account: str) -> float:
        """Returns the part of an account's requests that was served."""
        return self.served[account] / max(1, self.asked[account])

    def restart_guard(self, index: int) -> None:
        """Replaces a guard by one without state."""
        self.guards[index] = self._new_guard(self.guards[index].slots)

    def run(
        self,
        duration_s: float,
        rates_per_s: dict[str, float],
        ranks: dict[str, int] | None = None,
        entries_of: dict[str, range] | None = None,
    ) -> None:
        """Runs the model.

        Args:
            duration_s: For how long.
            rates_per_s: Requests per second by account.
            ranks: Rank of each account's requests; 1 by default.
            entries_of: Entries at which an account's requests arrive; by
                default all.
        """
        until_s = self.now_s + duration_s
        everywhere = range(len(self.entries))
        while self.now_s < until_s:
            for account, rate_per_s in rates_per_s.items():
                places = (entries_of or {}).get(account, everywhere)
                rank = (ranks or {}).get(account, 1)
                for _ in range(self._count(rate_per_s * _STEP_S)):
                    entry = self.entries[self._rng.choice(places)]
                    self._send(entry, account, rank)
            self.now_s += _STEP_S
            for guard in self.guards:
                guard.advance(self.now_s)
                self._answers.append(
                    (
                        self.now_s + self._delay_s,
                        guard.control.level,
                        guard.meter.over_share,
                    )
                )
            self._deliver()
            entry = self.entries[0]
            self.level_log.append(
                entry.levels.level_of(_SERVICE, _CLASS, self.now_s)
            )

    def _new_guard(self, slots: int) -> _Guard:
        return _Guard(
            slots,
            flow_level.FlowControl(_WINDOW_S, self.now_s),
            fair_shares.ShareMeter(),
        )

    def _new_entry(self) -> _Entry:
        tracker = levels.LevelTracker()
        return _Entry(tracker, fair_shares.ShareTracker(tracker))

    def _count(self, expected: float) -> int:
        """Returns a random number of arrivals in one step."""
        whole = int(expected)
        return whole + (self._rng.random() < expected - whole)

    def _send(self, entry: _Entry, account: str, rank: int) -> None:
        self.asked[account] += 1
        ordinal = self._rng.randrange(context_lib.ORDINALS)
        tag = account if self._sends_tags else ""
        if self._sends_tags:
            ordinal, tag = entry.shares.terms_of(
                _SERVICE, _CLASS, tag, ordinal, self.now_s
            )
        context = context_lib.RequestContext(
            "r", "a", _CLASS, rank, ordinal, 0, 1.0, 0, account_tag=tag
        )
        level = entry.levels.level_of(_SERVICE, _CLASS, self.now_s)
        if context.priority > level:
            return
        self.served[account] += 1
        for _ in range(self._calls):
            self._rng.choice(self.guards).record(context)

    def _deliver(self) -> None:
        while self._answers and self._answers[0][0] <= self.now_s:
            _, level, over_share = self._answers.popleft()
            if self.silent:
                continue
            for entry in self.entries:
                for _ in range(_OBSERVED_PER_STEP):
                    entry.levels.observe(_SERVICE, _CLASS, level, self.now_s)
                    if over_share:
                        entry.shares.observe(
                            _SERVICE,
                            _CLASS,
                            over_share,
                            self._delay_s,
                            self.now_s,
                        )
