"""The guards that a router knows, and which of them may get calls.

Routing uses numbers that the router or the guard has counted. Calls in flight
are the router's own count. The load on an answer is counted by the guard and
loses weight with age. Of what backend servers report, only the pace is used: as
a hint, within bounds, and for less than a second.

A guard that stops answering is ejected: after `_MAX_UNANSWERED` calls in a row
without an answer, or when no connection can be made. An ejected guard gets one
probe call at a time, at growing intervals; its first answer ends the ejection.
At least half of the guards of a service always stay in use: when more seem to
have failed, the fault is more likely in the router's own view or network, and
ejecting all of them would turn a false suspicion into an outage.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

_MAX_UNANSWERED = 3
_MIN_PROBE_INTERVAL_S = 0.5
_MAX_PROBE_INTERVAL_S = 8.0
_MIN_USABLE_SHARE = 0.5
# Age at which a reported load has lost its weight.
LOAD_DECAY_S = 1.0
_NEVER_S = -1e9
# A load that decides about other data centres is at most this old: a few times
# what a call takes.
_LOAD_FRESH_S = 0.3
# A guard that was full last is asked for its load again after this time. After
# 1 s, and in small services whose load varies quickly, room was found too late.
_FULL_KEPT_S = 0.5
# A reported pace counts in full up to the first age, and not at all from the
# second: machines are slow for about 0.6 s at a time, and a server that is
# avoided sends no report when it is fast again.
_PACE_KEPT_S = 0.25
_PACE_EXPIRES_S = 0.75
# Bounds of the pace that is used. A server gains no preference by a low one,
# and a high one takes no server out of use.
_MIN_PACE = 1.0
_MAX_PACE = 10.0
_DRAINING_FRESH_S = 5.0
# A service with fewer than the first share of all guards is scarce, until it
# has more than the second. The guard of a scarce service serves the calls of a
# dozen nodes, so that it learns the demand within a tenth of a second, and its
# level has to reach as many.
_SCARCE_SHARE = 1.0 / 12.0
_NOT_SCARCE_SHARE = 0.1
# Smaller systems have too few guards for such a share.
_MIN_GUARDS = 24
# Bounds of the random factor on the time that a limited guard is avoided, so
# that routers that were refused at the same moment do not return together.
_LIMIT_JITTER = (0.5, 1.5)
# A guard that refuses again within this time is still under the same limit.
_SAME_LIMIT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A guard and its backend server, as known from membership.

    Attributes:
        node_id: Id of the node that runs the guard.
        boot_id: Id of the node's process.
        service: Service of the backend server beside the guard.
        address: Where the node accepts calls from other nodes, `ip:port`.
        data_center: Data centre of the node.
        slots: Concurrency slots of the backend server, as its guard assumes.
        draining: Whether the guard takes no new work.
        suspect: Whether membership suspects that the node has failed.
    """

    node_id: str
    boot_id: str
    service: str
    address: str
    data_center: str
    slots: int
    draining: bool = False
    suspect: bool = False


@dataclasses.dataclass(slots=True)
class _State:
    boot_id: str
    in_flight: int = 0
    sent: int = 0
    unanswered: int = 0
    load: float = 0.0
    load_at_s: float = _NEVER_S
    pace: float = 1.0
    pace_at_s: float = _NEVER_S
    ejected: bool = False
    probe_interval_s: float = _MIN_PROBE_INTERVAL_S
    probe_at_s: float = 0.0
    draining_at_s: float = -1e9
    limited_until_s: float = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class GuardView:
    """What a router knows of a guard, for operators.

    Attributes:
        target: The guard.
        sent: Calls sent to it since this router knows it.
        in_flight: Calls of this router that await an answer.
        load: Load that it reported last; None if never.
        load_age_s: Age of that report in seconds; None if never.
        pace: Pace that it reported last; None if never.
        pace_age_s: Age of that report in seconds; None if never.
        ejected: Whether it gets only probes.
    """

    target: Target
    sent: int
    in_flight: int
    load: float | None
    load_age_s: float | None
    pace: float | None
    pace_age_s: float | None
    ejected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """The guards of a service that may get a call.

    Attributes:
        near: Usable guards in the router's own data centre.
        far: Usable guards in other data centres.
        limited: Guards that refused for a limit of their backend servers, and
            are not to be called again yet.
        probe_due: An ejected guard that is to be probed now.
        valid_until_s: When the selection expires, if nothing changes before.
    """

    near: list[Target]
    far: list[Target]
    limited: list[Target]
    probe_due: Target | None
    valid_until_s: float


class GuardSet:
    """Tracks guards and the results of calls to them.

    Args:
        data_center: Data centre of this router.
        rng: Source of randomness.

    Attributes:
        detects_scarcity: Whether a scarce service changes how guards are
            chosen.
    """

    def __init__(self, data_center: str, rng: random.Random):
        self._data_center = data_center
        self._rng = rng
        self._targets: dict[str, dict[str, Target]] = {}
        self._states: dict[str, _State] = {}
        self._candidates: dict[str, Candidates] = {}
        self.detects_scarcity = False
        self._has_paces = False
        self._has_scarce_service = False
        # Guards that reported an unusual pace last.
        self._paced: set[str] = set()

    def update(self, targets: Iterable[Target]) -> None:
        """Replaces the known guards by those in the current membership."""
        by_service: dict[str, dict[str, Target]] = {}
        for target in targets:
            by_service.setdefault(target.service, {})[target.node_id] = target
            state = self._states.get(target.node_id)
            if state is None or state.boot_id != target.boot_id:
                self._states[target.node_id] = _State(target.boot_id)
                self._paced.discard(target.node_id)
                self.forget(target.node_id)
        self._targets = by_service
        self._find_scarce_service()
        self._has_paces = any(
            state.pace_at_s > _NEVER_S for state in self._states.values()
        )
        self._candidates.clear()
        known = {name for group in by_service.values() for name in group}
        for node_id in list(self._states):
            if node_id not in known:
                del self._states[node_id]
                self._paced.discard(node_id)
                self.forget(node_id)

    def forget(self, node_id: str) -> None:
        """Drops further state of a guard that has left or restarted."""

    def is_far(self, target: Target) -> bool:
        """Returns whether a guard is in another data centre."""
        return target.data_center != self._data_center

    def services(self) -> list[str]:
        """Returns the names of all known services, sorted."""
        return sorted(self._targets)

    def service_count(self) -> int:
        """Returns the number of known services."""
        return len(self._targets)

    def knows(self, service: str) -> bool:
        """Returns whether any guard of a service is known."""
        return bool(self._targets.get(service))

    def targets_of(self, service: str) -> list[Target]:
        """Returns all known guards of a service."""
        return list(self._targets.get(service, {}).values())

    def find(self, service: str, node_id: str) -> Target | None:
        """Returns the guard on a node, or None."""
        return self._targets.get(service, {}).get(node_id)

    def candidates(
        self, service: str, tried: frozenset[str], now_s: float
    ) -> Candidates:
        """Returns the guards that may get a call.

        The result for first tries is cached until something changes, because
        the cost of checking each guard for each call grows with the service.

        Args:
            service: The service to call.
            tried: Guards that this call has tried already.
            now_s: The current time.
        """
        if tried:
            return self._select_candidates(service, tried, now_s)
        candidates = self._candidates.get(service)
        if candidates is None or now_s >= candidates.valid_until_s:
            candidates = self._candidates[service] = self._select_candidates(
                service, tried, now_s
            )
        return candidates

    def begin_probe(self, target: Target, now_s: float) -> None:
        """Records that a call is about to probe an ejected guard.

        The call may never be sent, so no answer is awaited: the next probe is
        due after another interval.
        """
        state = self._states[target.node_id]
        state.probe_at_s = now_s + state.probe_interval_s
        self._candidates.clear()

    def record_sent(self, node_id: str) -> None:
        """Counts a call as in flight."""
        state = self._states.get(node_id)
        if state is not None:
            state.in_flight += 1
            state.sent += 1

    def record_answer(
        self, node_id: str, load: float | None, draining: bool, now_s: float
    ) -> None:
        """Records an answer of a guard, which shows that it is alive.

        Args:
            node_id: The guard.
            load: Load that the guard reported on the answer.
            draining: Whether the guard reported that it takes no new work.
            now_s: The current time.
        """
        state = self._states.get(node_id)
        if state is None:
            return
        if state.in_flight > 0:
            state.in_flight -= 1
        state.unanswered = 0
        if state.ejected:
            state.ejected = False
            state.probe_interval_s = _MIN_PROBE_INTERVAL_S
            self._candidates.clear()
        if load is not None:
            state.load = load
            state.load_at_s = now_s
        if draining:
            state.draining_at_s = now_s
            self._candidates.clear()

    def record_pace(self, node_id: str, pace: float, now_s: float) -> None:
        """Records the pace of a backend server.

        Args:
            node_id: The guard.
            pace: How long work takes at the backend server now, relative to its
                usual time.
            now_s: The current time.
        """
        state = self._states.get(node_id)
        if state is None:
            return
        self._has_paces = True
        state.pace = pace
        state.pace_at_s = now_s
        if pace > _MIN_PACE:
            self._paced.add(node_id)
        else:
            self._paced.discard(node_id)

    def record_limited(
        self, node_id: str, retry_after_s: float, now_s: float
    ) -> bool:
        """Records that a guard refused for a limit of its backend server.

        Args:
            node_id: The guard.
            retry_after_s: Time that the guard asked callers to wait.
            now_s: The current time.

        Returns:
            Whether this is a new limit.
        """
        state = self._states.get(node_id)
        if state is None:
            return False
        is_new = now_s > state.limited_until_s + _SAME_LIMIT_S
        jitter = self._rng.uniform(*_LIMIT_JITTER)
        state.limited_until_s = now_s + retry_after_s * jitter
        self._candidates.clear()
        return is_new

    def clear_limit(self, node_id: str) -> None:
        """Records that the limit of a guard's backend server has ended."""
        state = self._states.get(node_id)
        if state is not None and state.limited_until_s > 0.0:
            state.limited_until_s = -1e9
            self._candidates.clear()

    def limit_ends_in_s(self, service: str, now_s: float) -> float | None:
        """Returns the time until the first limit of a service's guards ends.

        None unless all guards of the service that may get calls are limited.
        """
        candidates = self.candidates(service, frozenset(), now_s)
        if candidates.near or candidates.far or not candidates.limited:
            return None
        until_s = min(
            self._states[target.node_id].limited_until_s
            for target in candidates.limited
        )
        return max(0.0, until_s - now_s)

    def record_no_answer(
        self, node_id: str, unreachable: bool, now_s: float
    ) -> bool:
        """Records that a call got no answer.

        Args:
            node_id: The guard.
            unreachable: Whether no connection could be made.
            now_s: The current time.

        Returns:
            Whether this ejected the guard.
        """
        state = self._states.get(node_id)
        if state is None:
            return False
        state.in_flight = max(0, state.in_flight - 1)
        state.unanswered += _MAX_UNANSWERED if unreachable else 1
        if state.unanswered >= _MAX_UNANSWERED:
            return self._eject(state, now_s)
        return False

    def record_overdue(self, node_id: str, now_s: float) -> bool:
        """Records that a call is overdue while its answer is still awaited.

        Returns:
            Whether this ejected the guard.
        """
        state = self._states.get(node_id)
        if state is None:
            return False
        state.unanswered += 1
        return state.unanswered >= _MAX_UNANSWERED and self._eject(state, now_s)

    def record_cancelled(self, node_id: str) -> None:
        """Removes a cancelled call, which says nothing about the guard."""
        state = self._states.get(node_id)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)

    def views(self, service: str, now_s: float) -> list[GuardView]:
        """Returns what this router knows of the guards of a service."""
        found = []
        for target in self.targets_of(service):
            state = self._states[target.node_id]
            has_load = state.load_at_s > _NEVER_S
            has_pace = state.pace_at_s > _NEVER_S
            found.append(
                GuardView(
                    target,
                    state.sent,
                    state.in_flight,
                    state.load if has_load else None,
                    now_s - state.load_at_s if has_load else None,
                    state.pace if has_pace else None,
                    now_s - state.pace_at_s if has_pace else None,
                    state.ejected,
                )
            )
        return found

    def ejected(self) -> list[str]:
        """Returns the ids of ejected guards."""
        return sorted(n for n, s in self._states.items() if s.ejected)

    def _eject(self, state: _State, now_s: float) -> bool:
        is_new = not state.ejected
        if not is_new:
            state.probe_interval_s = min(
                _MAX_PROBE_INTERVAL_S, state.probe_interval_s * 2
            )
        state.ejected = True
        jitter = self._rng.uniform(0.8, 1.2)
        state.probe_at_s = now_s + state.probe_interval_s * jitter
        self._candidates.clear()
        return is_new

    def _is_suspect(self, target: Target) -> bool:
        return target.suspect or self._states[target.node_id].ejected

    def score(self, target: Target, now_s: float) -> float:
        """Returns the load per slot of a guard with one more call.

        Adds the calls in flight from this router to the load that the guard
        reported, which loses weight with age.
        """
        state = self._states[target.node_id]
        age_s = now_s - state.load_at_s
        weight = max(0.0, 1.0 - age_s / LOAD_DECAY_S)
        slots = max(1, target.slots)
        return (state.in_flight + 1) / slots + weight * state.load

    def fresh_load(self, target: Target, now_s: float) -> float | None:
        """Returns the load per slot of a guard with one more call.

        The reported load includes the calls of this router that had arrived
        then, so the larger one of it and the calls in flight counts. None if
        there is no fresh report.
        """
        state = self._states[target.node_id]
        if now_s - state.load_at_s > _LOAD_FRESH_S:
            return None
        slots = max(1, target.slots)
        return max(state.load, state.in_flight / slots) + 1 / slots

    def _find_scarce_service(self) -> None:
        if not self.detects_scarcity:
            return
        counts = [len(group) for group in self._targets.values()]
        total = sum(counts)
        if total < _MIN_GUARDS:
            self._has_scarce_service = False
            return
        share = min(counts) / total
        if share < _SCARCE_SHARE:
            self._has_scarce_service = True
        elif share > _NOT_SCARCE_SHARE:
            self._has_scarce_service = False

    @property
    def has_scarce_service(self) -> bool:
        """Whether a service has few servers for the size of the system."""
        return self._has_scarce_service

    @property
    def balances_load(self) -> bool:
        """Whether guards are also chosen by their load.

        Elsewhere, the probability of an answer in time decides alone, since the
        load of a service with many servers hardly differs between them.
        """
        return self._has_paces or self._has_scarce_service

    def load_at_s(self, node_id: str) -> float | None:
        """Returns when a guard last reported its load; None if never."""
        at_s = self._states[node_id].load_at_s
        return at_s if at_s > _NEVER_S else None

    def own_load(self, target: Target) -> float:
        """Returns this router's calls in flight per slot, and one more."""
        in_flight = self._states[target.node_id].in_flight
        return (in_flight + 1) / max(1, target.slots)

    def recent_load(self, node_id: str, now_s: float) -> float:
        """Returns the last reported load of a guard; 0 if it is too old."""
        state = self._states[node_id]
        is_old = now_s - state.load_at_s > _FULL_KEPT_S
        return 0.0 if is_old else state.load

    def is_idle(self, node_id: str) -> bool:
        """Returns whether this router has no call in flight at a guard."""
        return self._states[node_id].in_flight == 0

    def pace(self, node_id: str, now_s: float) -> float:
        """Returns the pace of a backend server, at least 1.0.

        It loses weight with the age of the report; 1.0 if unknown.
        """
        state = self._states.get(node_id)
        if state is None or state.pace <= _MIN_PACE:
            return _MIN_PACE
        left_s = _PACE_EXPIRES_S - (now_s - state.pace_at_s)
        if left_s <= 0.0:
            return _MIN_PACE
        weight = min(1.0, left_s / (_PACE_EXPIRES_S - _PACE_KEPT_S))
        pace = min(_MAX_PACE, state.pace)
        return _MIN_PACE + weight * (pace - _MIN_PACE)

    def _select_candidates(
        self, service: str, tried: frozenset[str], now_s: float
    ) -> Candidates:
        open_targets = []
        limited = []
        probe_due = None
        valid_until_s = math.inf
        for target in self._targets.get(service, {}).values():
            if target.draining or target.node_id in tried:
                continue
            state = self._states[target.node_id]
            draining_until_s = state.draining_at_s + _DRAINING_FRESH_S
            if now_s <= draining_until_s:
                valid_until_s = min(valid_until_s, draining_until_s)
                continue
            if now_s < state.limited_until_s:
                valid_until_s = min(valid_until_s, state.limited_until_s)
                limited.append(target)
                continue
            open_targets.append(target)
            if not state.ejected:
                continue
            if now_s < state.probe_at_s:
                valid_until_s = min(valid_until_s, state.probe_at_s)
            elif probe_due is None:
                probe_due = target
        usable = [t for t in open_targets if not self._is_suspect(t)]
        usable = self._with_min_share(open_targets, usable)
        near = [t for t in usable if t.data_center == self._data_center]
        far = [t for t in usable if t.data_center != self._data_center]
        return Candidates(near, far, limited, probe_due, valid_until_s)

    def _with_min_share(
        self, targets: list[Target], usable: list[Target]
    ) -> list[Target]:
        min_count = int(len(targets) * _MIN_USABLE_SHARE + 0.5)
        if len(usable) >= min_count:
            return usable
        ejected = [t for t in targets if t not in usable]
        ejected.sort(key=lambda t: self._states[t.node_id].probe_interval_s)
        return usable + ejected[: min_count - len(usable)]
