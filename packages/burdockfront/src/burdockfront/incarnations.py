"""Which incarnation of the backend server beside a node is the one in service.

Each start of a backend server is a new incarnation with an id of its own. It
announces itself again and again, and each announcement is numbered. Messages
may come seconds late: after a newer one of the same incarnation, after the
incarnation has said that it leaves, or after another one has taken its place.

Believing a late one would hand requests to nobody, or to a server that was
acknowledged as leaving. So within an incarnation only a higher number counts,
leaving can't be taken back, and one that was replaced needs two fresh messages
in a row to return: a single delayed message is not enough, a server that lives
sends the second one within its period.
"""

import collections
import dataclasses

_REMEMBERED = 64
_FRESH_TO_RETURN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """What an incarnation says of itself.

    Attributes:
        instance_id: Id of the incarnation.
        service: Its service.
        data_center: Its data centre.
        release: Version of its software.
        slots: Requests that it works on at once.
        leaving: It wants no new work.
        warm_in_s: How much longer it is slow after its start.
        sequence: Grows with each message of this incarnation.
    """

    instance_id: str
    service: str
    data_center: str
    release: str
    slots: int
    leaving: bool
    warm_in_s: float
    sequence: int


@dataclasses.dataclass(slots=True)
class _Known:
    sequence: int
    leaving: bool = False
    fresh: int = 0


class Incarnations:
    """The incarnations that one node has heard of."""

    def __init__(self) -> None:
        self._known: collections.OrderedDict[str, _Known] = (
            collections.OrderedDict()
        )
        self._current: Heartbeat | None = None

    @property
    def current(self) -> Heartbeat | None:
        """The one in service, or None."""
        return self._current

    def hear(self, beat: Heartbeat) -> bool:
        """Takes a heartbeat.

        Returns:
            Whether it is from the incarnation in service now.
        """
        known = self._known.get(beat.instance_id)
        if known is not None and beat.sequence <= known.sequence:
            return False
        if known is None:
            known = self._remember(beat)
        known.sequence = beat.sequence
        known.leaving = known.leaving or beat.leaving
        known.fresh += 1
        if known.leaving:
            beat = dataclasses.replace(beat, leaving=True)
        current = self._current
        same = current is not None and current.instance_id == beat.instance_id
        if current is None or same:
            if known.leaving and not same:
                return False
            self._current = beat
            return True
        return self._replace(known, beat)

    def leave(self, instance_id: str) -> bool:
        """Notes that an incarnation said it leaves.

        Returns:
            Whether it is the one in service.
        """
        known = self._known.get(instance_id)
        if known is None:
            self._known[instance_id] = _Known(0, leaving=True)
            self._trim()
            return False
        known.leaving = True
        current = self._current
        if current is None or current.instance_id != instance_id:
            return False
        self._current = dataclasses.replace(current, leaving=True)
        return True

    def not_there(self, instance_id: str) -> None:
        """Notes that another incarnation answered in place of this one."""
        current = self._current
        if current is not None and current.instance_id == instance_id:
            self._current = None
            self._known[instance_id].fresh = 0

    def _remember(self, beat: Heartbeat) -> _Known:
        # One that was never heard of is a new start: it counts at once.
        known = _Known(beat.sequence - 1, fresh=_FRESH_TO_RETURN - 1)
        self._known[beat.instance_id] = known
        self._trim()
        return known

    def _trim(self) -> None:
        while len(self._known) > _REMEMBERED:
            self._known.popitem(last=False)

    def _replace(self, known: _Known, beat: Heartbeat) -> bool:
        if known.leaving or known.fresh < _FRESH_TO_RETURN:
            return False
        assert self._current is not None
        replaced = self._known.get(self._current.instance_id)
        if replaced is not None:
            replaced.fresh = 0
        self._current = beat
        return True
