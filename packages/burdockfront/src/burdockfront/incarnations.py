"""Tracks which incarnation of a node's backend server is in service.

Each start of a backend server is a new incarnation. It has an id, which an
earlier incarnation may have had as well, and reports its start time. It
announces itself by periodic heartbeats, which are numbered from its start on.
Heartbeats may arrive seconds late: after a newer one of the same incarnation,
after the incarnation has announced that it leaves, or after another incarnation
has replaced it.

Accepting a late heartbeat would hand requests to a server that does not exist
any more, or to one whose announcement to leave was acknowledged. Therefore,
within an incarnation only a higher sequence number is accepted, and leaving
cannot be revoked. An incarnation that was replaced returns only after two fresh
heartbeats in a row: a single delayed one is not enough, and a server that runs
sends the second one within its heartbeat period.

An incarnation that was not observed before is accepted immediately, also under
a known id. The exception is one whose start time is before that of the
incarnation in service. As a rule its heartbeat is a late one; otherwise it is
from a server whose clock was set back. It needs two heartbeats in a row, like
one that was replaced.
"""

import collections
import dataclasses

_MAX_TRACKED = 64
_FRESH_TO_RETURN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of an incarnation.

    Attributes:
        instance_id: Id of the backend server; a later incarnation may have the
            same id.
        service: Its service.
        data_center: Its data centre.
        release: Version of its software.
        slots: Number of requests that it serves concurrently.
        leaving: It accepts no new work.
        warm_in_s: Remaining time in which it is slow after its start.
        sequence: Increases with each message of this incarnation.
        born_ms: Start time in Unix milliseconds; None if not reported.
    """

    instance_id: str
    service: str
    data_center: str
    release: str
    slots: int
    leaving: bool
    warm_in_s: float
    sequence: int
    born_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Incarnation:
    """Identifies an incarnation.

    Attributes:
        instance_id: Id of the backend server; a later incarnation may have the
            same id.
        born_ms: Start time in Unix milliseconds; None if not reported.
    """

    instance_id: str
    born_ms: int | None = None

    def may_be(self, other: "Incarnation") -> bool:
        """Whether both may identify the same incarnation.

        An unknown start time may be any.
        """
        if self.instance_id != other.instance_id:
            return False
        return self.born_ms == other.born_ms or None in (
            self.born_ms,
            other.born_ms,
        )


# For a backend server whose incarnations cannot be told apart.
UNIDENTIFIED = Incarnation("")


@dataclasses.dataclass(slots=True)
class _State:
    """State of one incarnation.

    Attributes:
        sequence: Highest sequence number received.
        leaving: It has announced that it leaves, or was found to leave.
        fresh: Fresh heartbeats in a row.
    """

    sequence: int
    leaving: bool = False
    fresh: int = 0


class IncarnationTracker:
    """The incarnations that one node has observed."""

    def __init__(self) -> None:
        self._states: collections.OrderedDict[Incarnation, _State] = (
            collections.OrderedDict()
        )
        self._current: Heartbeat | None = None

    @property
    def current(self) -> Heartbeat | None:
        """Latest accepted heartbeat of the incarnation in service, or None."""
        return self._current

    def observe(self, heartbeat: Heartbeat) -> bool:
        """Processes a heartbeat.

        Returns:
            Whether it is fresh and from the incarnation that is in service now.
        """
        incarnation = incarnation_of(heartbeat)
        state = self._find(incarnation)
        if state is not None and heartbeat.sequence <= state.sequence:
            return False
        if state is None:
            state = self._add(incarnation, heartbeat)
        state.sequence = heartbeat.sequence
        state.leaving = state.leaving or heartbeat.leaving
        state.fresh += 1
        if state.leaving:
            heartbeat = dataclasses.replace(heartbeat, leaving=True)
        current = self._current
        same = current is not None and incarnation_of(current) == incarnation
        if current is None or same:
            if state.leaving and not same:
                return False
            self._current = heartbeat
            self._reset_other_streaks(state)
            return True
        return self._replace(state, heartbeat)

    def leave(self, instance_id: str) -> bool:
        """Records the announcement that an incarnation leaves.

        The announcement does not say which incarnation of this id leaves. It is
        applied to the one in service if that has the id, and otherwise to the
        most recently observed one with the id.

        Returns:
            Whether the incarnation in service leaves.
        """
        current = self._current
        if current is not None and current.instance_id == instance_id:
            self._leave_current(current)
            return True
        latest = self._latest(instance_id)
        if latest is None:
            # The announcement overtook the first heartbeat of its incarnation.
            latest = self._states[Incarnation(instance_id, None)] = _State(0)
            self._evict()
        latest.leaving = True
        return False

    def leave_incarnation(self, incarnation: Incarnation) -> bool:
        """Records that an incarnation leaves, regardless of its heartbeats.

        Returns:
            Whether the incarnation in service leaves.
        """
        current = self._current
        if current is not None and incarnation.may_be(incarnation_of(current)):
            self._leave_current(current)
            return True
        state = self._find(incarnation)
        if state is None:
            state = self._states[incarnation] = _State(0)
            self._evict()
        state.leaving = True
        return False

    def _leave_current(self, current: Heartbeat) -> None:
        state = self._find(incarnation_of(current))
        if state is not None:
            state.leaving = True
        self._current = dataclasses.replace(current, leaving=True)

    def record_replaced(self, instance_id: str) -> None:
        """Records that another incarnation answered in place of this one."""
        current = self._current
        if current is not None and current.instance_id == instance_id:
            self._current = None
            state = self._find(incarnation_of(current))
            if state is not None:
                state.fresh = 0

    def _find(self, incarnation: Incarnation) -> _State | None:
        """Returns the state of an incarnation.

        A health check or an announcement to leave has no start time. State that
        was recorded from these is taken over by the first incarnation of the
        same id that reports one.
        """
        state = self._states.get(incarnation)
        if state is not None or incarnation.born_ms is None:
            return state
        undated = Incarnation(incarnation.instance_id, None)
        state = self._states.pop(undated, None)
        if state is None:
            return None
        self._states[incarnation] = state
        current = self._current
        if current is not None and incarnation_of(current) == undated:
            self._current = dataclasses.replace(
                current, born_ms=incarnation.born_ms
            )
        return state

    def _latest(self, instance_id: str) -> _State | None:
        for incarnation in reversed(self._states):
            if incarnation.instance_id == instance_id:
                return self._states[incarnation]
        return None

    def _add(self, incarnation: Incarnation, heartbeat: Heartbeat) -> _State:
        # An incarnation that was not observed before is accepted immediately,
        # so one fresh heartbeat less is required of it.
        fresh = _FRESH_TO_RETURN - 1
        current = self._current
        if current is not None and _is_earlier(
            incarnation, incarnation_of(current)
        ):
            fresh = 0
        state = _State(heartbeat.sequence - 1, fresh=fresh)
        self._states[incarnation] = state
        self._evict()
        return state

    def _evict(self) -> None:
        while len(self._states) > _MAX_TRACKED:
            self._states.popitem(last=False)

    def _reset_other_streaks(self, sender: _State) -> None:
        """Ends the streaks of fresh heartbeats of all other incarnations.

        Otherwise two late heartbeats of an incarnation that has ended would
        count as two in a row, even minutes apart.
        """
        for state in self._states.values():
            if state is not sender:
                state.fresh = 0

    def _replace(self, state: _State, heartbeat: Heartbeat) -> bool:
        if state.leaving or state.fresh < _FRESH_TO_RETURN:
            return False
        assert self._current is not None
        replaced = self._states.get(incarnation_of(self._current))
        if replaced is not None:
            replaced.fresh = 0
        self._current = heartbeat
        return True


def incarnation_of(heartbeat: Heartbeat) -> Incarnation:
    """Returns the incarnation that sent a heartbeat."""
    return Incarnation(heartbeat.instance_id, heartbeat.born_ms)


def _is_earlier(incarnation: Incarnation, other: Incarnation) -> bool:
    """Whether an incarnation reports an earlier start time than another one."""
    if incarnation.born_ms is None or other.born_ms is None:
        return False
    return incarnation.born_ms < other.born_ms
