"""Which backend server gets a call.

Work stays in its own data centre unless answers in time pay for the way (see
`Router._nearest_unless_late`). Two candidates are drawn at random and the
better one is taken: with many routers that each see only a part of the load,
"the best of all" would send all of them to the same server at once. Better
means fewer
calls of ours in flight plus the load that its guard told on its last answer,
per slot.

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

from burdockfront import detours
from burdockfront import pace

_SILENT_CALLS = 3
_FIRST_PAUSE_S = 0.5
_MAX_PAUSE_S = 8.0
_KEPT_SHARE = 0.5
_LOAD_FADES_S = 1.0
_DRAIN_BELIEVED_S = 5.0
# A guard at 1.0 has all slots in use: the next call waits.
_PRESSED = 1.0
# Kilobytes between data centres that one more answer in time is worth. Callers
# count answers, those who pay for the way count bytes; where ways cost most
# this is 8 KB, where they cost least 67 KB, by the prices of three deployments.
_KB_PER_ANSWER = 16.0
# Smaller differences are chance: what is known of a server that fails a part of
# its requests, and of one that was hardly asked, is off by as much.
_LEAST_GAIN = 0.1
# Kilobytes to save before a request leaves. In an overload of all data centres
# calls leave each of them, now more, now less; that difference is chance.
_LEAST_SAVED_KB = 1.0
# From this share on all requests leave for the sake of what is saved.
_SAVED_SHARE = 0.33
# No bytes are saved for more than one answer in twenty.
_HARM = 0.05
_UNKNOWN_S = 0.05


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


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """The guards of a service that may get a call.

    Attributes:
        near: Those of our own data centre.
        far: All others.
        due: An ejected one that is to be probed now.
        until_s: When it must be looked at anew, if nothing changes before.
    """

    near: list[Target]
    far: list[Target]
    due: Target | None
    until_s: float


class Router:
    """Chooses guards and learns from what became of calls.

    Args:
        data_center: Where this router runs; its own data centre is preferred
            while its guards have room.
        rng: Source of randomness.
    """

    def __init__(self, data_center: str, rng: random.Random):
        self._data_center = data_center
        self._rng = rng
        self.pace = pace.PaceBook()
        self.ways = detours.HeardDetours()
        self._targets: dict[str, dict[str, Target]] = {}
        self._states: dict[str, _State] = {}
        self._views: dict[str, _View] = {}

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
                self.pace.forget(node_id)
                self.ways.forget(node_id)

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

    def choose(
        self,
        service: str,
        tried: frozenset[str],
        now_s: float,
        probe: bool = True,
        class_name: str = "",
        limit_s: float = math.inf,
    ) -> Target | None:
        """Returns the guard for a call, or None when there is none left.

        Args:
            service: The wanted service.
            tried: Guards that this call has tried already.
            now_s: The current time.
            probe: Whether this call may find out if an ejected guard is
                back. Not for tickets, which tie a confirmation to it.
            class_name: Class of the request, to know how long it takes.
            limit_s: After this the answer is of little value.
        """
        view = self._view(service, tried, now_s)
        if probe and view.due is not None:
            state = self._states[view.due.node_id]
            # Whoever asked may never send it; so no answer is waited for,
            # and the next probe is due after another pause.
            state.probe_at_s = now_s + state.pause_s
            self._views.clear()
            return view.due
        if not view.near and not view.far:
            return None
        return self._nearest_unless_late(
            service, class_name, limit_s, view, now_s
        )

    def sent(self, node_id: str) -> None:
        """Counts a call on its way."""
        state = self._states.get(node_id)
        if state is not None:
            state.in_flight += 1

    def answered(
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

    def unanswered(self, node_id: str, unreachable: bool, now_s: float) -> bool:
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

    def overdue(self, node_id: str, now_s: float) -> bool:
        """Learns that a call is late, though it is still waited for.

        Returns:
            Whether the guard was ejected just now.
        """
        state = self._states.get(node_id)
        if state is None:
            return False
        state.silent += 1
        return state.silent >= _SILENT_CALLS and self._eject(state, now_s)

    def abandoned(self, node_id: str) -> None:
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

    def _view(self, service: str, tried: frozenset[str], now_s: float) -> _View:
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

    def _look(self, service: str, tried: frozenset[str], now_s: float) -> _View:
        open_targets = []
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
        return _View(near, far, due, until_s)

    def _with_floor(
        self, targets: list[Target], usable: list[Target]
    ) -> list[Target]:
        floor = int(len(targets) * _KEPT_SHARE + 0.5)
        if len(usable) >= floor:
            return usable
        ejected = [t for t in targets if t not in usable]
        ejected.sort(key=lambda t: self._states[t.node_id].pause_s)
        return usable + ejected[: floor - len(usable)]

    def _nearest_unless_late(
        self,
        service: str,
        class_name: str,
        limit_s: float,
        view: _View,
        now_s: float,
    ) -> Target:
        """Returns a guard of our data centre, unless another one is worth it.

        Ways between data centres are paid for by the byte. So work leaves its
        own only if the chance of an answer in time rises by more than the way
        costs. Judged by time alone, a quarter of all requests with large
        bodies went to quicker servers elsewhere that few of them needed, two
        thirds of all bytes on a quiet day. Judged by nearness alone, one data
        centre drowns, or is always late, beside idle ones.
        """
        typical_s = self.pace.typical_s(service, class_name) or _UNKNOWN_S
        if not view.near:
            return self._better_of_two(view.far, typical_s, limit_s, now_s)
        best = self._better_of_two(view.near, typical_s, limit_s, now_s)
        if not view.far:
            return best
        other = self._sooner_of_two(view.far, typical_s, now_s)
        gained = self._chance(other, typical_s, limit_s, now_s)
        gained -= self._chance(best, typical_s, limit_s, now_s)
        way_kb = self.pace.kb_of(service, class_name)
        if gained > max(_LEAST_GAIN, way_kb / _KB_PER_ANSWER):
            return other
        harms = gained < -_HARM
        if not harms and self._saves_ways(
            best, other, class_name, way_kb, now_s
        ):
            return other
        return best

    def _chance(
        self, target: Target, typical_s: float, limit_s: float, now_s: float
    ) -> float:
        """Returns how likely a guard's answer comes, and in time."""
        expected_s = self._expected_s(target, typical_s, now_s)
        return self.pace.chance(target.node_id, expected_s, limit_s, now_s)

    def _saves_ways(
        self,
        near: Target,
        far: Target,
        class_name: str,
        way_kb: float,
        now_s: float,
    ) -> bool:
        """Whether a request should leave here, since its calls would below.

        All of them where it saves a third of what a request costs or more: a
        service is missing here, and its work is done elsewhere in any case.
        Below that in proportion to what is saved. What guards say is a second
        old, and a data centre that got everybody's requests for a small gain
        would be the next to be left.
        """
        stays_kb = self.ways.kb_of(near.node_id, class_name, now_s)
        goes_kb = way_kb + self.ways.kb_of(far.node_id, class_name, now_s)
        saved_kb = stays_kb - goes_kb - _LEAST_SAVED_KB
        return self._rng.random() * _SAVED_SHARE * stays_kb < saved_kb

    def _expected_s(
        self, target: Target, typical_s: float, now_s: float
    ) -> float:
        """Returns how long an answer of a guard will take from now on."""
        waiting = max(0.0, self._score(target, now_s) - _PRESSED)
        return typical_s * self.pace.relative(target.node_id) * (1.0 + waiting)

    def _sooner_of_two(
        self, targets: list[Target], typical_s: float, now_s: float
    ) -> Target:
        """Draws two, and returns the one that answers sooner."""
        first, second = self._two_of(targets)
        if second is first:
            return first
        first_s = self._expected_s(first, typical_s, now_s)
        second_s = self._expected_s(second, typical_s, now_s)
        return first if first_s <= second_s else second

    def _two_of(self, targets: list[Target]) -> tuple[Target, Target]:
        """Draws two; the same one twice if there is no other."""
        count = len(targets)
        if count == 1:
            return targets[0], targets[0]
        index = int(self._rng.random() * count)
        step = 1 + int(self._rng.random() * (count - 1))
        return targets[index], targets[(index + step) % count]

    def _better_of_two(
        self,
        targets: list[Target],
        typical_s: float,
        limit_s: float,
        now_s: float,
    ) -> Target:
        """Draws two, and returns the better one.

        The one whose answer is more likely to come, and in time; where that
        is about the same, the one with more room.
        """
        first, second = self._two_of(targets)
        if second is first:
            return first
        gained = self._chance(first, typical_s, limit_s, now_s)
        gained -= self._chance(second, typical_s, limit_s, now_s)
        if gained > _LEAST_GAIN:
            return first
        if gained < -_LEAST_GAIN:
            return second
        if self._score(first, now_s) <= self._score(second, now_s):
            return first
        return second

    def _score(self, target: Target, now_s: float) -> float:
        state = self._states[target.node_id]
        age_s = now_s - state.load_at_s
        trust = max(0.0, 1.0 - age_s / _LOAD_FADES_S)
        slots = max(1, target.slots)
        return (state.in_flight + 1) / slots + trust * state.load
