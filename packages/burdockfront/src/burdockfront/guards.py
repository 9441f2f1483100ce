"""The guards that a router knows, and which of them are in use.

What is trusted: calls in flight are our own count. The load on an answer was
counted by the guard, not reported by the backend server, and fades with age.
Load reports of backend servers, which lag and mislead, take no part.

A guard that leaves answers out is ejected: after `_SILENT_CALLS` calls in a
row without an answer, or when it can't be reached. An ejected guard gets one
probe call at a time, with a growing pause; the first answer brings it back.
At least half of a service is always kept in use: when more seem bad, the
router's own view (or its network) is the likelier culprit, and emptying the
service would turn a doubt into an outage.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

_SILENT_CALLS = 3
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 8.0
_KEPT_SHARE = 0.5
_LOAD_FADES_S = 1.0
_DRAIN_BELIEVED_S = 5.0
# Routers that were refused in one moment return spread over so much of the time
# that they were told.
_AWAY_SPREAD = (0.5, 1.5)
# Refused again sooner than this, it is still the same limit.
_SAME_LIMIT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A guard beside a backend server, as membership knows it.

    Attributes:
        node_id: The node.
        boot_id: The node's process.
        service: Service of the backend server beside it.
        address: Where the node takes calls of nodes, `ip:port`.
        data_center: Its data centre.
        slots: Slots of the backend server that its guard believes.
        draining: It takes no new work.
        suspect: Members doubt that it is alive.
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
    silent: int = 0
    load: float = 0.0
    load_at_s: float = -1e9
    ejected: bool = False
    pause_s: float = _FIRST_PAUSE_S
    probe_at_s: float = 0.0
    drained_at_s: float = -1e9
    limited_until_s: float = -1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Candidates:
    """The guards of a service that may get a call.

    Attributes:
        near: Those of our own data centre.
        far: All others.
        limited: Those that refused for a limit of their backend servers, and
            are not to be asked again yet.
        due: An ejected one that is to be probed now.
        until_s: When it must be looked at anew, if nothing changes before.
    """

    near: list[Target]
    far: list[Target]
    limited: list[Target]
    due: Target | None
    until_s: float


class GuardSet:
    """Knows guards, and learns from what became of calls.

    Args:
        data_center: Where this router runs.
        rng: Source of randomness.
    """

    def __init__(self, data_center: str, rng: random.Random):
        self._data_center = data_center
        self._rng = rng
        self._targets: dict[str, dict[str, Target]] = {}
        self._states: dict[str, _State] = {}
        self._views: dict[str, Candidates] = {}

    def update(self, targets: Iterable[Target]) -> None:
        """Takes the backend servers that membership knows now."""
        by_service: dict[str, dict[str, Target]] = {}
        for target in targets:
            by_service.setdefault(target.service, {})[target.node_id] = target
            state = self._states.get(target.node_id)
            if state is None or state.boot_id != target.boot_id:
                self._states[target.node_id] = _State(target.boot_id)
        self._targets = by_service
        self._views.clear()
        known = {name for group in by_service.values() for name in group}
        for node_id in list(self._states):
            if node_id not in known:
                del self._states[node_id]
                self.forget(node_id)

    def forget(self, node_id: str) -> None:
        """Drops what else is known of a guard that is gone."""

    def is_far(self, target: Target) -> bool:
        """Whether a guard is in another data centre."""
        return target.data_center != self._data_center

    def services(self) -> list[str]:
        """Returns the names of known services."""
        return sorted(self._targets)

    def targets_of(self, service: str) -> list[Target]:
        """Returns all known guards of a service."""
        return list(self._targets.get(service, {}).values())

    def find(self, service: str, node_id: str) -> Target | None:
        """Returns one guard by name."""
        return self._targets.get(service, {}).get(node_id)

    def candidates(
        self, service: str, tried: frozenset[str], now_s: float
    ) -> Candidates:
        """Returns which guards may get a call.

        For first tries it is kept until something changes: looking at each
        guard for each call costs more the larger the service is.
        """
        if tried:
            return self._look(service, tried, now_s)
        view = self._views.get(service)
        if view is None or now_s >= view.until_s:
            view = self._views[service] = self._look(service, tried, now_s)
        return view

    def begin_probe(self, target: Target, now_s: float) -> None:
        """Notes that a call finds out whether an ejected guard is back.

        Whoever asked may never send it; so no answer is waited for, and the
        next probe is due after another pause.
        """
        state = self._states[target.node_id]
        state.probe_at_s = now_s + state.pause_s
        self._views.clear()

    def record_sent(self, node_id: str) -> None:
        """Counts a call on its way."""
        state = self._states.get(node_id)
        if state is not None:
            state.in_flight += 1

    def record_answer(
        self, node_id: str, load: float | None, draining: bool, now_s: float
    ) -> None:
        """Learns from any answer of a guard: it is alive."""
        state = self._states.get(node_id)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        state.silent = 0
        if state.ejected:
            state.ejected = False
            state.pause_s = _FIRST_PAUSE_S
            self._views.clear()
        if load is not None:
            state.load = load
            state.load_at_s = now_s
        if draining:
            state.drained_at_s = now_s
            self._views.clear()

    def record_limited(self, node_id: str, away_s: float, now_s: float) -> bool:
        """Learns that a guard refused for a limit of its backend server.

        Args:
            node_id: The guard.
            away_s: How long it says to stay away.
            now_s: The current time.

        Returns:
            Whether that is news.
        """
        state = self._states.get(node_id)
        if state is None:
            return False
        fresh = now_s > state.limited_until_s + _SAME_LIMIT_S
        spread = self._rng.uniform(*_AWAY_SPREAD)
        state.limited_until_s = now_s + away_s * spread
        self._views.clear()
        return fresh

    def clear_limit(self, node_id: str) -> None:
        """Learns that the limit of a guard's backend server has ended."""
        state = self._states.get(node_id)
        if state is not None and state.limited_until_s > 0.0:
            state.limited_until_s = -1e9
            self._views.clear()

    def limit_ends_in_s(self, service: str, now_s: float) -> float | None:
        """Returns when there may be room at a service again.

        None unless all its guards that could be asked refuse for limits.
        """
        view = self.candidates(service, frozenset(), now_s)
        if view.near or view.far or not view.limited:
            return None
        until_s = min(
            self._states[target.node_id].limited_until_s
            for target in view.limited
        )
        return max(0.0, until_s - now_s)

    def record_no_answer(
        self, node_id: str, unreachable: bool, now_s: float
    ) -> bool:
        """Learns that a call got no answer.

        Args:
            node_id: The guard.
            unreachable: No connection could be made at all.
            now_s: The current time.

        Returns:
            Whether the guard was ejected just now.
        """
        state = self._states.get(node_id)
        if state is None:
            return False
        state.in_flight = max(0, state.in_flight - 1)
        state.silent += _SILENT_CALLS if unreachable else 1
        if state.silent >= _SILENT_CALLS:
            return self._eject(state, now_s)
        return False

    def record_overdue(self, node_id: str, now_s: float) -> bool:
        """Learns that a call is late, though it is still waited for.

        Returns:
            Whether the guard was ejected just now.
        """
        state = self._states.get(node_id)
        if state is None:
            return False
        state.silent += 1
        return state.silent >= _SILENT_CALLS and self._eject(state, now_s)

    def record_cancelled(self, node_id: str) -> None:
        """Forgets a call that its caller cancelled: it proves nothing."""
        state = self._states.get(node_id)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)

    def ejected(self) -> list[str]:
        """Returns the ids of ejected guards."""
        return sorted(n for n, s in self._states.items() if s.ejected)

    def _eject(self, state: _State, now_s: float) -> bool:
        fresh = not state.ejected
        if not fresh:
            state.pause_s = min(_MAX_PAUSE_S, state.pause_s * 2)
        state.ejected = True
        jitter = self._rng.uniform(0.8, 1.2)
        state.probe_at_s = now_s + state.pause_s * jitter
        self._views.clear()
        return fresh

    def _doubted(self, target: Target) -> bool:
        return target.suspect or self._states[target.node_id].ejected

    def score(self, target: Target, now_s: float) -> float:
        """Returns slots used or asked for, per slot; a further call's too."""
        state = self._states[target.node_id]
        age_s = now_s - state.load_at_s
        trust = max(0.0, 1.0 - age_s / _LOAD_FADES_S)
        slots = max(1, target.slots)
        return (state.in_flight + 1) / slots + trust * state.load

    def _look(
        self, service: str, tried: frozenset[str], now_s: float
    ) -> Candidates:
        open_targets = []
        limited = []
        due = None
        until_s = math.inf
        for target in self._targets.get(service, {}).values():
            if target.draining or target.node_id in tried:
                continue
            state = self._states[target.node_id]
            believed_s = state.drained_at_s + _DRAIN_BELIEVED_S
            if now_s <= believed_s:
                until_s = min(until_s, believed_s)
                continue
            if now_s < state.limited_until_s:
                until_s = min(until_s, state.limited_until_s)
                limited.append(target)
                continue
            open_targets.append(target)
            if not state.ejected:
                continue
            if now_s < state.probe_at_s:
                until_s = min(until_s, state.probe_at_s)
            elif due is None:
                due = target
        usable = [t for t in open_targets if not self._doubted(t)]
        usable = self._with_floor(open_targets, usable)
        near = [t for t in usable if t.data_center == self._data_center]
        far = [t for t in usable if t.data_center != self._data_center]
        return Candidates(near, far, limited, due, until_s)

    def _with_floor(
        self, targets: list[Target], usable: list[Target]
    ) -> list[Target]:
        floor = int(len(targets) * _KEPT_SHARE + 0.5)
        if len(usable) >= floor:
            return usable
        ejected = [t for t in targets if t not in usable]
        ejected.sort(key=lambda t: self._states[t.node_id].pause_s)
        return usable + ejected[: floor - len(usable)]
