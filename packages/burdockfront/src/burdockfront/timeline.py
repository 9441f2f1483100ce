"""Timeline of events of all processes, in causal order.

The wall clocks of VMs disagree by more than the duration of a call, so sorting
by them can put answers before their requests. Every process keeps a hybrid
logical clock (Kulkarni and others, 2014), which is close to the wall clock but
always above every stamp that the process has seen. Messages carry stamps;
sorting by (stamp, process) never puts an effect before its cause.
"""

import collections
import dataclasses
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from burdockfront import errors

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1


class HybridClock:
    """Hybrid logical clock of one process.

    A stamp has wall clock milliseconds and a counter in one integer.
    """

    def __init__(self) -> None:
        self._last = 0

    def tick(self, wall_s: float) -> int:
        """Returns a stamp above all earlier ones."""
        stamp = int(wall_s * 1000) << _COUNTER_BITS
        if stamp <= self._last:
            stamp = self._last + 1
        self._last = stamp
        return stamp

    def observe(self, stamp: int, wall_s: float) -> int:
        """Returns a stamp above all earlier ones and a received one."""
        # Written out instead of calling `tick`: each call between nodes
        # observes a stamp twice.
        last = stamp if stamp > self._last else self._last
        own = int(wall_s * 1000) << _COUNTER_BITS
        self._last = own if own > last else last + 1
        return self._last


def seconds_of(stamp: int) -> float:
    """Returns the wall clock part of a stamp, in seconds."""
    return (stamp >> _COUNTER_BITS) / 1000


@dataclasses.dataclass(slots=True)
class Event:
    """Something that happened in one process.

    Attributes:
        stamp: Hybrid logical time.
        node: Node on which it happened.
        data_center: Data centre of the node.
        kind: Dotted kind, e.g. `call.refused`.
        request: Id of the request that it belongs to, or empty.
        detail: Further fields.
    """

    stamp: int
    node: str
    data_center: str
    kind: str
    request: str
    detail: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Returns the event as a JSON object."""
        return dataclasses.asdict(self)


def event_from_json(data: Any) -> Event:
    """Creates an event from a JSON object.

    Raises:
        InvalidInputError: The object does not have the fields of an event.
    """
    try:
        return Event(**data)
    except TypeError:
        raise errors.InvalidInputError(
            f"expected an event object, got {str(data)[:80]!r}; all nodes "
            f"must run compatible releases."
        ) from None


@dataclasses.dataclass(frozen=True, slots=True)
class Filter:
    """Selects events; empty fields match all.

    Attributes:
        request: Request id.
        node: Node id.
        data_center: Data centre.
        kind: Kind or prefix of a kind.
    """

    request: str = ""
    node: str = ""
    data_center: str = ""
    kind: str = ""

    def matches(self, event: Event) -> bool:
        """Returns whether an event is selected."""
        return (
            self.request in ("", event.request)
            and self.node in ("", event.node)
            and self.data_center in ("", event.data_center)
            and event.kind.startswith(self.kind)
        )


class Recorder:
    """Ring buffer of the latest events of one process.

    Args:
        node: Name of the process.
        data_center: Data centre of the process.
        capacity: Number of events that are kept.
        sink: Called with each recorded event, if given.
    """

    def __init__(
        self,
        node: str,
        data_center: str,
        capacity: int,
        sink: Callable[[Event], None] | None = None,
    ):
        self._sink = sink
        self.clock = HybridClock()
        self._node = node
        self._data_center = data_center
        self._events: collections.deque[Event] = collections.deque(
            maxlen=capacity
        )

    def record(
        self, wall_s: float, kind: str, request: str = "", **detail: Any
    ) -> Event:
        """Adds an event, and passes it to the sink."""
        # Not by way of `note`, which would copy the fields a second time.
        stamp = self.clock.tick(wall_s)
        event = Event(
            stamp, self._node, self._data_center, kind, request, detail
        )
        self._events.append(event)
        if self._sink is not None:
            self._sink(event)
        return event

    def note(
        self, wall_s: float, kind: str, request: str = "", **detail: Any
    ) -> Event:
        """Adds an event without passing it to the sink.

        For events whose content a later event of the same request repeats.
        """
        stamp = self.clock.tick(wall_s)
        event = Event(
            stamp, self._node, self._data_center, kind, request, detail
        )
        self._events.append(event)
        return event

    def select(self, wanted: Filter, limit: int) -> list[Event]:
        """Returns the latest events that match a filter."""
        found = [event for event in self._events if wanted.matches(event)]
        return found[-limit:]


def merge(parts: Iterable[list[Event]]) -> list[Event]:
    """Merges the events of several processes into causal order."""
    events = [event for part in parts for event in part]
    return sorted(events, key=lambda event: (event.stamp, event.node))
