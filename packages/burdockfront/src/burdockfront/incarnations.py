"""Which incarnation of the backend server beside a node is the one in service.

Each start of a backend server is a new incarnation. It has an id, which may be
that of an earlier start, and tells when it was born. It announces itself again
and again, and each announcement is numbered from its start on. Messages may
come seconds late: after a newer one of the same incarnation, after the
incarnation has said that it leaves, or after another one has taken its place.

Believing a late one would hand requests to nobody, or to a server that was
acknowledged as leaving. So within an incarnation only a higher number counts,
leaving can't be taken back, and one that was replaced needs two fresh messages
in a row to return: a single delayed message is not enough, a server that lives
sends the second one within its period.

A start that was never heard of counts at once, also under an id that is known.
But one that was born before the one in service is a late message as a rule, and
else a server whose clock was set back: it needs two messages in a row, like one
that was replaced.
"""

import collections
import dataclasses

_REMEMBERED = 64
_FRESH_TO_RETURN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an incarnation says of itself.

    Attributes:
        instance_id: Id of the backend server; a later start may have it too.
        service: Its service.
        data_center: Its data centre.
        release: Version of its software.
        slots: Requests that it works on at once.
        leaving: It wants no new work.
        warm_in_s: How much longer it is slow after its start.
        sequence: Grows with each message of this incarnation.
        born_ms: Unix milliseconds of its start; None if it did not say.
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
    """Names an incarnation.

    Attributes:
        instance_id: Id of the backend server; a later start may have it too.
        born_ms: Unix milliseconds of its start; None if it did not say.
    """

    instance_id: str
    born_ms: int | None = None

    def may_be(self, other: "Incarnation") -> bool:
        """Whether both may name the same start, as far as they tell."""
        if self.instance_id != other.instance_id:
            return False
        return self.born_ms == other.born_ms or None in (
            self.born_ms,
            other.born_ms,
        )


# Of a backend server that does not tell one start from another.
UNIDENTIFIED = Incarnation("")


@dataclasses.dataclass(slots=True)
class _Known:
    sequence: int
    leaving: bool = False
    fresh: int = 0


class IncarnationTracker:
    """The incarnations that one node has heard of."""

    def __init__(self) -> None:
        self._known: collections.OrderedDict[Incarnation, _Known] = (
            collections.OrderedDict()
        )
        self._current: Heartbeat | None = None

    @property
    def current(self) -> Heartbeat | None:
        """The one in service, or None."""
        return self._current

    def observe(self, beat: Heartbeat) -> bool:
        """Takes a heartbeat.

        Returns:
            Whether it is from the incarnation in service now.
        """
        incarnation = incarnation_of(beat)
        known = self._find(incarnation)
        if known is not None and beat.sequence <= known.sequence:
            return False
        if known is None:
            known = self._remember(incarnation, beat)
        known.sequence = beat.sequence
        known.leaving = known.leaving or beat.leaving
        known.fresh += 1
        if known.leaving:
            beat = dataclasses.replace(beat, leaving=True)
        current = self._current
        same = current is not None and incarnation_of(current) == incarnation
        if current is None or same:
            if known.leaving and not same:
                return False
            self._current = beat
            self._break_rows(known)
            return True
        return self._replace(known, beat)

    def leave(self, instance_id: str) -> bool:
        """Notes that an incarnation said it leaves.

        It names no start. Meant is the one in service if it has this id, and
        else the one that was heard of last.

        Returns:
            Whether it is the one in service.
        """
        current = self._current
        if current is not None and current.instance_id == instance_id:
            self._leave_current(current)
            return True
        latest = self._latest(instance_id)
        if latest is None:
            # The end overtook the first heartbeat, whose start it is about.
            latest = self._known[Incarnation(instance_id, None)] = _Known(0)
            self._trim()
        latest.leaving = True
        return False

    def leave_incarnation(self, incarnation: Incarnation) -> bool:
        """Notes that a start is found to leave, whatever its heartbeats say.

        Returns:
            Whether it is the one in service.
        """
        current = self._current
        if current is not None and incarnation.may_be(incarnation_of(current)):
            self._leave_current(current)
            return True
        known = self._find(incarnation)
        if known is None:
            known = self._known[incarnation] = _Known(0)
            self._trim()
        known.leaving = True
        return False

    def _leave_current(self, current: Heartbeat) -> None:
        known = self._find(incarnation_of(current))
        if known is not None:
            known.leaving = True
        self._current = dataclasses.replace(current, leaving=True)

    def record_replaced(self, instance_id: str) -> None:
        """Notes that another incarnation answered in place of this one."""
        current = self._current
        if current is not None and current.instance_id == instance_id:
            self._current = None
            known = self._find(incarnation_of(current))
            if known is not None:
                known.fresh = 0

    def _find(self, incarnation: Incarnation) -> _Known | None:
        """Returns what is known of a start.

        What was heard without a time of birth, of a health check or an end,
        is taken for what is known of the first start that tells one.
        """
        known = self._known.get(incarnation)
        if known is not None or incarnation.born_ms is None:
            return known
        unborn = Incarnation(incarnation.instance_id, None)
        known = self._known.pop(unborn, None)
        if known is None:
            return None
        self._known[incarnation] = known
        current = self._current
        if current is not None and incarnation_of(current) == unborn:
            self._current = dataclasses.replace(
                current, born_ms=incarnation.born_ms
            )
        return known

    def _latest(self, instance_id: str) -> _Known | None:
        for incarnation in reversed(self._known):
            if incarnation.instance_id == instance_id:
                return self._known[incarnation]
        return None

    def _remember(self, incarnation: Incarnation, beat: Heartbeat) -> _Known:
        # One that was never heard of is a new start: it counts at once.
        fresh = _FRESH_TO_RETURN - 1
        current = self._current
        if current is not None and _is_earlier(
            incarnation, incarnation_of(current)
        ):
            fresh = 0
        known = _Known(beat.sequence - 1, fresh=fresh)
        self._known[incarnation] = known
        self._trim()
        return known

    def _trim(self) -> None:
        while len(self._known) > _REMEMBERED:
            self._known.popitem(last=False)

    def _break_rows(self, speaker: _Known) -> None:
        """Notes that one spoke between the messages of the others.

        Else two late messages of a start that is gone, minutes apart, would
        count as two in a row.
        """
        for known in self._known.values():
            if known is not speaker:
                known.fresh = 0

    def _replace(self, known: _Known, beat: Heartbeat) -> bool:
        if known.leaving or known.fresh < _FRESH_TO_RETURN:
            return False
        assert self._current is not None
        replaced = self._known.get(incarnation_of(self._current))
        if replaced is not None:
            replaced.fresh = 0
        self._current = beat
        return True


def incarnation_of(beat: Heartbeat) -> Incarnation:
    """Returns which start a heartbeat is of."""
    return Incarnation(beat.instance_id, beat.born_ms)


def _is_earlier(incarnation: Incarnation, other: Incarnation) -> bool:
    """Whether a start says that it was born before another one."""
    if incarnation.born_ms is None or other.born_ms is None:
        return False
    return incarnation.born_ms < other.born_ms
