"""A time line of events over all processes, in causal order.

Wall clocks of VMs disagree by more than a call takes, so sorting by them puts
answers before their requests. Every process keeps a hybrid logical clock
(Kulkarni and others, 2014): close to the wall clock, but always above every
stamp that it has seen. Stamps travel with messages; sorting by (stamp,
process) never puts an effect before its cause.
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
    """Stamps of one process: milliseconds and a counter in one integer."""

    def __init__(self) -> None:
        self._last = 0

    def tick(self, wall_s: float) -> int:
        """Returns a stamp above all earlier ones."""
        wall = int(wall_s * 1000) << _COUNTER_BITS
        self._last = max(self._last + 1, wall)
        return self._last

    def observe(self, stamp: int, wall_s: float) -> int:
        """Returns a stamp above a received one too."""
        self._last = max(self._last, stamp)
        return self.tick(wall_s)


def seconds_of(stamp: int) -> float:
    """Returns the wall clock part of a stamp."""
    return (stamp >> _COUNTER_BITS) / 1000


@dataclasses.dataclass(slots=True)
class Event:
    """Something that happened in one process.

    Attributes:
        stamp: Hybrid logical time.
        node: Node on which it happened.
        data_center: Its data centre.
        kind: Dotted kind, e.g. `call.refused`.
        request: Request it belongs to, or empty.
        detail: Facts for people and programs.
    """

    stamp: int
    node: str
    data_center: str
    kind: str
    request: str
    detail: dict[str, Any]

    def to_json(self) -> dict[str, Any]:
        """Returns the form that travels."""
        return dataclasses.asdict(self)


def event_from_json(data: Any) -> Event:
    """Reads an event.

    Raises:
        InvalidInputError: It does not have the shape of an event.
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
    """Which events are wanted; empty fields match all.

    Attributes:
        request: Request id.
        node: Node id.
        data_center: Data centre.
        kind: Kind or beginning of a kind.
    """

    request: str = ""
    node: str = ""
    data_center: str = ""
    kind: str = ""

    def matches(self, event: Event) -> bool:
        """Tells whether an event is wanted."""
        return (
            self.request in ("", event.request)
            and self.node in ("", event.node)
            and self.data_center in ("", event.data_center)
            and event.kind.startswith(self.kind)
        )


class Recorder:
    """The last events of one process, in a ring of fixed size.

    Args:
        node: Name of the process.
        data_center: Where it runs.
        capacity: Events that are kept.
        sink: Also gets each event, if given.
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
        """Adds an event, and hands it to the sink."""
        event = self.note(wall_s, kind, request, **detail)
        if self._sink is not None:
            self._sink(event)
        return event

    def note(
        self, wall_s: float, kind: str, request: str = "", **detail: Any
    ) -> Event:
        """Adds an event that a later one of its request will repeat."""
        stamp = self.clock.tick(wall_s)
        event = Event(
            stamp, self._node, self._data_center, kind, request, detail
        )
        self._events.append(event)
        return event

    def select(self, wanted: Filter, most: int) -> list[Event]:
        """Returns the last events that match."""
        found = [event for event in self._events if wanted.matches(event)]
        return found[-most:]


def merge(parts: Iterable[list[Event]]) -> list[Event]:
    """Merges the events of several processes into causal order."""
    events = [event for part in parts for event in part]
    return sorted(events, key=lambda event: (event.stamp, event.node))
