"""Fair shares of client accounts at a guard whose service is short of slots.

A guard counts the work of each account while its level is below open, and
computes the max-min share: the work per account at which the sum fits into its
slots. Accounts that ask for more are named on its answers, with their demand
relative to that share.

Entries order the new work of a rank by these ratios. The ordinals of a rank are
divided into two bands: the lower one has all work of accounts within their
share and the first 1/ratio of a named account's work; the upper one has the
rest. A level at the boundary of the bands is max-min. A level above it admits
an equal part of all excess, and a level below it cuts all accounts alike, down
from their share.

A call carries the ratio under which it was sent. A guard sees only the work
that was admitted, and derives from the ratio what the account asked for.
"""

import collections
import dataclasses
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from burdockfront import context as context_lib
from burdockfront import levels

# Ordinals below this are work within the share. With half of the ordinals for
# the excess, the flow per ordinal is about the same in both bands, and the gain
# of the level control does not change at the boundary.
BAND = context_lib.ORDINALS // 2
MAX_NAMED = 8
REPORT_LIFETIME_S = 2.0
# Accounts tracked per rank. Only accounts with more than this fraction of the
# work can be above a share that matters.
_TRACKED = 48
# Part of the slots that the shares fill. It is slightly below the target flow
# of the level control, so that the level settles above the lower band.
_ROOM_SHARE = 0.93
# Part of the slots that remains for a rank even if more important ranks fill
# them all.
_MIN_ROOM_SHARE = 0.05
# Weight of earlier windows in the counts, which depends on the number of calls:
# with three calls of each account in memory, the ninth largest of 30 equal
# accounts seemed three times as large as it was.
_MIN_DECAY = 0.75
_MAX_DECAY = 0.94
_CALLS_PER_ACCOUNT = 15
_RATIO_WEIGHT = 0.5
# An account is named above the first ratio, and until it is below the second.
_NAME_ABOVE = 1.25
_KEEP_ABOVE = 1.05
_MAX_RATIO = 64.0
# A lower admitted share gives no usable estimate of the demand.
_MIN_ADMITTED = 0.125
# Windows until a level takes effect on arrivals; see `flow_level`.
_DELAY_WINDOWS = 2
_RATIO_MARK = "~"
# Weight of one report in an entry's view of a service. Guards of a service
# name different ratios, because each sees only a part of the calls.
_RECEIVED_WEIGHT = 0.2
# Interval in which reports for the answers of a class are merged anew.
_MERGE_S = 0.1


class WorkCounter:
    """Decaying work of the accounts with the most work, in bounded memory.

    This is the space-saving algorithm: a new account replaces the one with the
    least work, and the work of the replaced one is kept as its error.

    Args:
        capacity: Maximum number of accounts.
    """

    def __init__(self, capacity: int = _TRACKED):
        self._capacity = capacity
        self._work_s: dict[str, float] = {}
        self._error_s: dict[str, float] = {}
        self.total_s = 0.0

    def __len__(self) -> int:
        return len(self._work_s)

    def add(self, tag: str, work_s: float) -> None:
        """Adds work of an account."""
        self.total_s += work_s
        known = self._work_s.get(tag)
        if known is not None:
            self._work_s[tag] = known + work_s
            return
        error_s = 0.0
        if len(self._work_s) >= self._capacity:
            least = min(self._work_s, key=self._work_s.__getitem__)
            error_s = self._work_s.pop(least)
            del self._error_s[least]
        self._work_s[tag] = error_s + work_s
        self._error_s[tag] = error_s

    def proven(self) -> dict[str, float]:
        """Returns the work that each tracked account has at least."""
        return {
            tag: work_s - self._error_s[tag]
            for tag, work_s in self._work_s.items()
        }

    def decay(self, factor: float) -> None:
        """Multiplies all work by a factor."""
        self.total_s *= factor
        for tag in self._work_s:
            self._work_s[tag] *= factor
            self._error_s[tag] *= factor


def max_min_share(demands: Iterable[float], room: float) -> float:
    """Returns the share per account at which the sum of demands fits.

    Args:
        demands: Demand of each account.
        room: What they may use together.

    Returns:
        The share; infinity if all demands fit.
    """
    ordered = sorted(demands)
    left = room
    for index, demand in enumerate(ordered):
        share = left / (len(ordered) - index)
        if demand > share:
            return max(0.0, share)
        left -= demand
    return math.inf


def ratios_above_share(
    demands: Mapping[str, float], other: float, room: float
) -> dict[str, float]:
    """Returns the accounts with the highest demand, relative to their share.

    If more accounts than can be named are above the max-min share, the demand
    of the largest one that is not named takes the place of the share. The level
    then cuts all of them alike. Otherwise a named account would get less than
    one that is not named and asks for less.

    Args:
        demands: Demand by account.
        other: Demand of small accounts that are not known one by one.
        room: What all may use together.
    """
    share = max_min_share(demands.values(), room - other)
    if share == math.inf:
        return {}
    ranked = sorted(demands.items(), key=lambda item: -item[1])
    if len(ranked) > MAX_NAMED:
        share = max(share, ranked[MAX_NAMED][1])
    if share <= 0.0:
        return {}
    return {
        tag: min(_MAX_RATIO, demand / share)
        for tag, demand in ranked[:MAX_NAMED]
        if demand > share
    }


def ordinal_in_bands(ordinal: int, ratio: float) -> int:
    """Returns the ordinal of new work while accounts are above their share.

    Args:
        ordinal: Ordinal of the request, 0 to 255.
        ratio: Demand of its account relative to the share; 1.0 if within.
    """
    position = ordinal * ratio
    if position < context_lib.ORDINALS:
        return int(position / 2)
    excess = (position - context_lib.ORDINALS) / (ratio - 1.0) / 2
    return min(context_lib.ORDINALS - 1, BAND + int(excess))


def mark(tag: str, ratio: float) -> str:
    """Returns the tag of a call that is sent under a ratio."""
    return f"{tag}{_RATIO_MARK}{ratio:.3g}"


def parse_mark(account_tag: str) -> tuple[str, float]:
    """Returns the account and the ratio of a call's tag.

    The ratio is 0.0 if the call was sent while no account was named.
    """
    tag, mark_found, text = account_tag.partition(_RATIO_MARK)
    if not mark_found:
        return tag, 0.0
    try:
        ratio = float(text)
    except ValueError:
        return tag, 0.0
    return tag, ratio if 1.0 <= ratio <= _MAX_RATIO else 0.0


class ShareMeter:
    """Finds the accounts above their fair share at one guard.

    Args:
        in_use: Whether there are client accounts. Defaults to always.

    Attributes:
        active: Whether calls have to be recorded: the level is below open.
        over_share: Ratio by account above its share; empty if there is none.
    """

    def __init__(self, in_use: Callable[[], bool] = lambda: True):
        self.active = False
        self._in_use = in_use
        self.over_share: dict[str, float] = {}
        self._counters: dict[int, WorkCounter] = {}
        self._untagged_s: dict[int, float] = collections.defaultdict(float)
        self._past_levels: collections.deque[int] = collections.deque(
            maxlen=_DELAY_WINDOWS + 1
        )
        self._window_weight_s = 0.0
        self._calls = 0
        self._begin_s = 0.0

    def record(
        self, context: context_lib.RequestContext, work_s: float
    ) -> None:
        """Records an admitted call.

        Args:
            context: Its context.
            work_s: Slot time that calls of its class take.
        """
        self._calls += 1
        tag, ratio = parse_mark(context.account_tag)
        if ratio:
            if context.ordinal >= BAND:
                # The work below the boundary stands for all of the account's.
                return
            work_s *= ratio
        rank = context.rank
        work_s /= self._admitted_share(rank, BAND if ratio else 2 * BAND)
        if not tag:
            self._untagged_s[rank] += work_s
            return
        counter = self._counters.get(rank)
        if counter is None:
            counter = self._counters[rank] = WorkCounter()
        counter.add(tag, work_s)

    def advance(self, level: int, slots: float, now_s: float) -> None:
        """Ends a window, and updates the accounts above their share.

        Args:
            level: Current level of the guard.
            slots: Current number of slots.
            now_s: The current time.
        """
        if level >= levels.OPEN or not self._in_use():
            self.reset()
            return
        if not self.active:
            self.active = True
            self._begin_s = now_s
            self._past_levels.append(levels.OPEN)
            self._past_levels.append(level)
            return
        self._past_levels.append(level)
        elapsed_s = max(1e-3, now_s - self._begin_s)
        self._begin_s = now_s
        self._window_weight_s += elapsed_s
        self._update(level, slots)
        decay = self._decay()
        self._calls = 0
        self._window_weight_s *= decay
        for counter in self._counters.values():
            counter.decay(decay)
        for rank in self._untagged_s:
            self._untagged_s[rank] *= decay

    def _decay(self) -> float:
        """Returns the factor at which enough calls remain in the counts."""
        accounts = max(map(len, self._counters.values()), default=0)
        wanted = max(1, _CALLS_PER_ACCOUNT * accounts)
        return min(_MAX_DECAY, max(_MIN_DECAY, 1.0 - self._calls / wanted))

    def reset(self) -> None:
        """Forgets all work and names no account."""
        if not self.active:
            return
        self.active = False
        self.over_share = {}
        self._counters.clear()
        self._untagged_s.clear()
        self._past_levels.clear()
        self._window_weight_s = 0.0
        self._calls = 0

    def _update(self, level: int, slots: float) -> None:
        """Computes the ratios of the rank at the level."""
        rank = level // context_lib.ORDINALS
        present = [known for known in self._counters if known <= rank]
        if not present:
            self.over_share = {}
            return
        # The level may be above all ranks that have calls.
        rank = max(present)
        counter = self._counters[rank]
        slot_time_s = slots * self._window_weight_s
        before_s = sum(
            known.total_s
            for of_rank, known in self._counters.items()
            if of_rank < rank
        ) + sum(
            work_s
            for of_rank, work_s in self._untagged_s.items()
            if of_rank < rank
        )
        room_s = max(
            _MIN_ROOM_SHARE * slot_time_s, _ROOM_SHARE * slot_time_s - before_s
        )
        # Calls without an account are never named. They keep the part of the
        # room that they are of the demand, or they would displace all others.
        untagged_s = self._untagged_s[rank]
        room_s *= counter.total_s / max(1e-9, counter.total_s + untagged_s)
        proven = counter.proven()
        other_s = max(0.0, counter.total_s - sum(proven.values()))
        found = ratios_above_share(proven, other_s, room_s)
        self.over_share = self._smoothed(found)

    def _smoothed(self, found: dict[str, float]) -> dict[str, float]:
        """Returns the named accounts, with hysteresis at the border."""
        named = {}
        for tag in found.keys() | self.over_share.keys():
            known = self.over_share.get(tag)
            target = found.get(tag, 1.0)
            if known is None:
                if target >= _NAME_ABOVE:
                    named[tag] = target
                continue
            ratio = known + _RATIO_WEIGHT * (target - known)
            if ratio >= _KEEP_ABOVE:
                named[tag] = ratio
        return largest(named)

    def _admitted_share(self, rank: int, band: int) -> float:
        """Returns the part of a rank's ordinals that was admitted.

        Args:
            rank: The rank.
            band: Number of ordinals over which the work is spread.
        """
        level = self._past_levels[0]
        position = level + 1 - rank * context_lib.ORDINALS
        return min(1.0, max(_MIN_ADMITTED, position / band))


def largest(ratios: Mapping[str, float]) -> dict[str, float]:
    """Returns the accounts with the highest ratios, in a bounded number."""
    ranked = sorted(ratios.items(), key=lambda item: -item[1])
    return {tag: round(ratio, 2) for tag, ratio in ranked[:MAX_NAMED]}


def merged(
    one: Mapping[str, float], other: Mapping[str, float]
) -> dict[str, float]:
    """Returns the higher ratio of each account, in a bounded number."""
    ratios = dict(one)
    for tag, ratio in other.items():
        ratios[tag] = max(ratios.get(tag, 0.0), ratio)
    return largest(ratios)


@dataclasses.dataclass(slots=True)
class _Report:
    """Accounts above their share of a service, as received.

    Attributes:
        ratios: Smoothed ratio by account.
        at_s: When the guard that named them computed the ratios.
    """

    ratios: dict[str, float]
    at_s: float


class ShareTracker:
    """Accounts above their share, received from guards of other services.

    Args:
        level_tracker: Knows the calls that requests of a class lead to.

    Attributes:
        any_named: Whether there are reports, which may have expired.
        applied: Number of requests whose account was above its share.
        tags_calls: Returns whether calls carry tags of accounts. Defaults to
            always.
    """

    def __init__(self, level_tracker: levels.LevelTracker):
        self.tags_calls: Callable[[], bool] = lambda: True
        self.any_named = False
        self.applied = 0
        self._level_tracker = level_tracker
        self._reports: dict[tuple[str, str], _Report] = {}
        self._merged: dict[str, tuple[float, _Report | None]] = {}

    def observe(
        self,
        service: str,
        class_name: str,
        over_share: Mapping[str, float],
        age_s: float,
        now_s: float,
    ) -> None:
        """Records the accounts that an answer names.

        Args:
            service: The called service.
            class_name: Class of the call.
            over_share: Ratio by account.
            age_s: Time since a guard computed the ratios.
            now_s: The current time.
        """
        if age_s >= REPORT_LIFETIME_S:
            return
        at_s = now_s - age_s
        key = (service, class_name)
        known = self._reports.get(key)
        self.any_named = True
        if known is None or now_s - known.at_s >= REPORT_LIFETIME_S:
            self._reports[key] = _Report(largest(over_share), at_s)
            return
        # Runs for each answer of a short service, so it avoids function calls
        # for each account.
        ratios = {}
        for tag, before in known.ratios.items():
            target = over_share.get(tag, 1.0)
            ratio = before + _RECEIVED_WEIGHT * (target - before)
            if ratio >= _KEEP_ABOVE or tag in over_share:
                ratios[tag] = ratio
        for tag, target in over_share.items():
            if tag not in ratios:
                ratios[tag] = 1.0 + _RECEIVED_WEIGHT * (target - 1.0)
        if len(ratios) > 2 * MAX_NAMED:
            ranked = sorted(ratios.items(), key=lambda item: -item[1])
            ratios = dict(ranked[: 2 * MAX_NAMED])
        known.ratios = ratios
        known.at_s = max(known.at_s, at_s)

    def terms_of(
        self,
        service: str,
        class_name: str,
        account_tag: str,
        ordinal: int,
        now_s: float,
    ) -> tuple[int, str]:
        """Returns ordinal and tag of new work.

        Args:
            service: The service that is called.
            class_name: Class of the request.
            account_tag: Tag of its account; empty without one.
            ordinal: Ordinal of the request.
            now_s: The current time.
        """
        report = self._reports.get((service, class_name))
        if report is None or now_s - report.at_s >= REPORT_LIFETIME_S:
            return ordinal, account_tag
        named = report.ratios.get(account_tag, 1.0)
        ratio = min(_MAX_RATIO, max(1.0, named))
        if ratio > 1.0:
            self.applied += 1
        return ordinal_in_bands(ordinal, ratio), mark(account_tag, ratio)

    def over_share_below(
        self, class_name: str, now_s: float
    ) -> tuple[dict[str, float], float] | None:
        """Returns what the services that a class calls have reported.

        Returns:
            Ratio by account, and the time at which it was computed; None if
            nothing is reported.
        """
        merged_s, report = self._merged.get(class_name, (-math.inf, None))
        if now_s - merged_s >= _MERGE_S:
            report = self._merge(class_name, now_s)
            self._merged[class_name] = (now_s, report)
        if report is None or now_s - report.at_s >= REPORT_LIFETIME_S:
            return None
        return report.ratios, report.at_s

    def reports(self, now_s: float) -> dict[str, dict[str, float]]:
        """Returns the highest ratio of each account, by service."""
        found: dict[str, dict[str, float]] = {}
        for (service, _), report in self._reports.items():
            if now_s - report.at_s < REPORT_LIFETIME_S:
                ratios = found.setdefault(service, {})
                for tag, ratio in report.ratios.items():
                    ratios[tag] = max(ratios.get(tag, 0.0), round(ratio, 2))
        return found

    def remove_expired(self, now_s: float) -> None:
        """Removes reports that have expired."""
        self._reports = {
            key: report
            for key, report in self._reports.items()
            if now_s - report.at_s < REPORT_LIFETIME_S
        }
        self._merged.clear()
        self.any_named = bool(self._reports)

    def _merge(self, class_name: str, now_s: float) -> _Report | None:
        ratios: dict[str, float] = {}
        at_s = math.inf
        for key in self._level_tracker.calls_of(class_name, now_s):
            report = self._reports.get(key)
            if report is None or now_s - report.at_s >= REPORT_LIFETIME_S:
                continue
            at_s = min(at_s, report.at_s)
            for tag, ratio in report.ratios.items():
                ratios[tag] = max(ratios.get(tag, 0.0), ratio)
        return _Report(largest(ratios), at_s) if ratios else None
