"""Admission levels: the priority number up to which requests are admitted.

A guard under pressure lowers its level and refuses at once the requests that
it can't serve, instead of queueing them until they time out. Levels are
returned on answers, so that an entry refuses a request that a deep service
would refuse, before any work is done for it.

`LevelControl` sets the level of a guard. At the end of each window it looks at
the queue and at the utilization of the slots:

* Under pressure (requests were dropped, or a standing queue existed for the
  whole window: even the shortest wait was above the target), it lowers the
  level by the share of requests that was dropped, but never below the rank of
  the dropped requests: a rank is not refused in advance while the queue still
  serves all of it.
* Without pressure, it raises the level in proportion to the share of idle
  slots. In a lasting overload the slots are nearly fully used and the level
  hardly moves; when the overload ends, slots become idle and the level opens
  within seconds.

Two simpler rules failed. Lowering the level to the priority of single requests
refused requests at base load, because positions carry little information at
tens of requests per second. Raising the level in doubling steps made all guards
oscillate together between a fifth and the whole of their capacity, with a
period of 2.5 s.

`LevelTracker` keeps the levels that a node received from guards of other
services. They relax with age, so that a level does not outlast its cause even
if no answer corrects it. There is one smoothed level for each service and
class, because a router receives too few answers from any single guard for a
level of its own. A request that is wrongly let through is refused by the guard
one hop later.
"""

import dataclasses
import math

from burdockfront import context
from burdockfront import service_levels

OPEN = context.OPEN_LEVEL
_MIN_CUT = 0.03
_MAX_CUT = 0.3
_SINGLE_SLOT_IDLE_SHARE = 0.22
_MAX_RAISE = 0.6
_MIN_RAISE = 2
_BUSY_WEIGHT = 0.5
_COUNT_DECAY = 0.7
# Some requests are always admitted to the queue. Otherwise the guard would
# have no observations from which to raise the level again.
_MIN_LEVEL = context.ORDINALS // 8
# An entry that refuses a whole rank receives no answers, so the level relaxes
# until a request passes and its answer tells the present level. With 0.5 s and
# 256 per second, entries opened 0.5 to 0.7 s after the service; twice this rate
# lets half as many more requests through in vain.
RELAX_AFTER_S = 0.3
RELAX_PER_S = 384.0
_EXPIRY_S = 10.0
_RECEIVED_WEIGHT = 0.4
_OPEN_FACTOR = 1.5
_MIN_OPEN_STEP = 16
# Smallest admitted share that is told with a request: its inverse weighs the
# request in estimates of the demand.
MIN_ADMITTED_SHARE = 0.03
# Levels reach an entry with a delay. It refuses only what is clearly above the
# level and leaves the boundary to the guard, which knows its exact level.
ENTRY_SLACK = 64


def admitted_share(level: int, rank: int) -> float:
    """Returns the share of a rank's requests that a level admits."""
    share = (level + 1) / context.ORDINALS - rank
    return max(MIN_ADMITTED_SHARE, min(1.0, share))


class LevelControl:
    """Sets the level of one guard from its queue and its idle slots.

    Args:
        target_s: A minimum wait above this counts as a standing queue.
        window_s: Interval between updates of the level.
        now_s: The current time.
    """

    def __init__(self, target_s: float, window_s: float, now_s: float):
        self._target_s = target_s
        self._window_s = window_s
        self._window_end_s = now_s + window_s
        self._level = OPEN
        self._busy = 0.0
        # Decaying counts over several windows. One window of a guard with few
        # slots holds only a few requests, and a single drop among them must
        # not count as a third of the demand.
        self._recent_admitted = 0.0
        self._recent_dropped = 0.0
        self._highest_rank = 1
        self._admitted = 0
        self._dropped = 0
        self._dropped_rank = OPEN
        self._window_rank = 0
        self._start_count = 0
        self._min_wait_s = math.inf

    @property
    def level(self) -> int:
        """Highest priority number that is currently admitted."""
        return self._level

    @property
    def busy(self) -> float:
        """Share of the slots in use, smoothed over windows."""
        return self._busy

    def set_target(self, target_s: float) -> None:
        """Sets the target wait from a changed policy."""
        self._target_s = target_s

    def record_admitted(self, priority: int) -> None:
        """Counts a request that was admitted to the queue."""
        self._admitted += 1
        rank = priority // context.ORDINALS
        self._highest_rank = max(self._highest_rank, rank)
        self._window_rank = max(self._window_rank, rank)

    def record_wait(self, delay_s: float) -> None:
        """Records the queueing delay of a request that got a slot."""
        self._start_count += 1
        self._min_wait_s = min(self._min_wait_s, delay_s)

    def record_dropped(self, priority: int) -> None:
        """Counts a queued request that was refused."""
        self._dropped += 1
        rank = priority // context.ORDINALS
        self._dropped_rank = min(self._dropped_rank, rank)

    def is_window_over(self, now_s: float) -> bool:
        """Whether the window is over and `advance` is due."""
        return now_s >= self._window_end_s

    def advance(self, busy: float, slots: int, now_s: float) -> None:
        """Ends the window and updates the level.

        Args:
            busy: Share of the slots that was in use during the window.
            slots: Current number of slots.
            now_s: The current time.
        """
        self._busy += _BUSY_WEIGHT * (busy - self._busy)
        self._recent_admitted = (
            self._admitted + _COUNT_DECAY * self._recent_admitted
        )
        self._recent_dropped = (
            self._dropped + _COUNT_DECAY * self._recent_dropped
        )
        if self._dropped or self._had_standing_queue():
            self._lower()
        else:
            self._raise(_healthy_busy(slots))
        self._start_window()
        self._window_end_s = now_s + self._window_s

    def _start_window(self) -> None:
        self._admitted = 0
        self._dropped = 0
        self._dropped_rank = OPEN
        self._window_rank = 0
        self._start_count = 0
        self._min_wait_s = math.inf

    def _had_standing_queue(self) -> bool:
        return self._start_count > 1 and self._min_wait_s > self._target_s

    def _lower(self) -> None:
        level = min(self._level, self._top())
        share = self._recent_dropped / max(1.0, self._recent_admitted)
        cut = min(_MAX_CUT, max(_MIN_CUT, share))
        rank = self._dropped_rank if self._dropped else self._window_rank
        floor = max(_MIN_LEVEL, rank * context.ORDINALS)
        self._level = max(int(level * (1 - cut)), min(level, floor))

    def _raise(self, healthy_busy: float) -> None:
        idle = healthy_busy - self._busy
        if idle <= 0.0:
            return
        share = min(_MAX_RAISE, idle / max(self._busy, 0.01) / 2)
        raised = self._level + max(_MIN_RAISE, int(self._level * share))
        self._level = raised if raised < self._top() else OPEN

    def _top(self) -> int:
        return (self._highest_rank + 1) * context.ORDINALS


def _healthy_busy(slots: int) -> float:
    """Returns the highest utilization at which waits stay short.

    The mean wait at a given utilization falls with the number of slots (with a
    single slot at 90%, requests wait nine service times). Waiting requests
    hold slots of the layers above, so a deep service with few slots needs a
    lower target: 78% of one slot, 89% of four, 96% of 40.
    """
    return 1.0 - _SINGLE_SLOT_IDLE_SHARE / math.sqrt(slots)


@dataclasses.dataclass(slots=True)
class _ReceivedLevel:
    level: float
    at_s: float


class LevelTracker:
    """Levels received from guards of other services, by service and class.

    Attributes:
        services: Latest levels of short services.
        relax_after_s: Time without news after which a level rises.
        relax_per_s: How fast it rises then, in priority numbers per second.
    """

    def __init__(self) -> None:
        self.relax_after_s = RELAX_AFTER_S
        self.relax_per_s = RELAX_PER_S
        self._received: dict[tuple[str, str], _ReceivedLevel] = {}
        # (Called service, class of the call) -> the service whose level was the
        # lowest on the path of these calls.
        self._bottlenecks: dict[tuple[str, str], str] = {}
        self.services = service_levels.ServiceLevels()
        # (Class of the request, called service, class of the call) -> time of
        # the last such call.
        self._calls: dict[tuple[str, str, str], float] = {}

    def observe(
        self,
        service: str,
        class_name: str,
        level: int,
        now_s: float,
        bottleneck: str = "",
    ) -> None:
        """Updates the level of a service with the path level on an answer.

        Args:
            service: The called service.
            class_name: Class of the call.
            level: Lowest level on the path of the call.
            now_s: The current time.
            bottleneck: The service that has this level; empty if unknown.
        """
        if bottleneck:
            self._bottlenecks[(service, class_name)] = bottleneck
        received = self._received.get((service, class_name))
        if received is not None and level >= OPEN <= received.level:
            # Nearly always: nothing to average, and nothing to relax.
            received.at_s = now_s
            return
        known = float(self.level_of(service, class_name, now_s))
        if level >= OPEN:
            # OPEN is not averaged in: a router that refuses requests receives
            # few answers, and averaging would need many of them to open again.
            known = known * _OPEN_FACTOR + _MIN_OPEN_STEP
        elif known >= OPEN:
            known = level
        else:
            known += _RECEIVED_WEIGHT * (level - known)
        self._received[(service, class_name)] = _ReceivedLevel(
            min(known, OPEN), now_s
        )

    def level_of(self, service: str, class_name: str, now_s: float) -> int:
        """Returns the level of a service; OPEN if none was received."""
        bottleneck = self._bottlenecks.get((service, class_name))
        if bottleneck is not None:
            level = self.services.level_of(bottleneck, now_s)
            if level is not None:
                return level
        received = self._received.get((service, class_name))
        if received is None:
            return OPEN
        relaxed_s = now_s - received.at_s - self.relax_after_s
        if relaxed_s <= 0.0:
            return int(received.level)
        return min(OPEN, int(received.level + relaxed_s * self.relax_per_s))

    def refuses(
        self, service: str, class_name: str, priority: int, now_s: float
    ) -> bool:
        """Whether new work of a priority is above the level of its path.

        A deeper service would refuse such a request.
        """
        level = self.level_of(service, class_name, now_s)
        return priority > level + ENTRY_SLACK

    def record_call(
        self,
        class_name: str,
        service: str,
        now_s: float,
        called_class: str | None = None,
    ) -> None:
        """Records that requests of a class lead to calls of a service.

        Args:
            class_name: Class of the requests.
            service: The called service.
            now_s: The current time.
            called_class: Class of the calls. Defaults to the class of the
                requests, which calls with a context inherit.
        """
        self._calls[(class_name, service, called_class or class_name)] = now_s

    def path_level(self, class_name: str, now_s: float) -> int:
        """Returns the lowest level of the services that a class calls."""
        return self.path_bottleneck(class_name, now_s)[0]

    def path_bottleneck(self, class_name: str, now_s: float) -> tuple[int, str]:
        """Returns the lowest level below a class, and the service with it."""
        lowest, bottleneck = OPEN, ""
        for (name, service, called_class), at_s in self._calls.items():
            if name != class_name or now_s - at_s >= _EXPIRY_S:
                continue
            level = self.level_of(service, called_class, now_s)
            if level < lowest:
                lowest = level
                key = (service, called_class)
                bottleneck = self._bottlenecks.get(key, service)
        return lowest, bottleneck

    def calls_of(self, class_name: str, now_s: float) -> list[tuple[str, str]]:
        """Returns services and classes of the calls that a class leads to."""
        return [
            (service, called_class)
            for (name, service, called_class), at_s in self._calls.items()
            if name == class_name and now_s - at_s < _EXPIRY_S
        ]

    def remove_expired(self, now_s: float) -> None:
        """Removes levels and call records older than the expiry time."""
        self.services.remove_expired(now_s)
        self._received = {
            key: received
            for key, received in self._received.items()
            if now_s - received.at_s < _EXPIRY_S
        }
        self._calls = {
            key: at_s
            for key, at_s in self._calls.items()
            if now_s - at_s < _EXPIRY_S
        }
        called = {(service, name) for _, service, name in self._calls}
        self._bottlenecks = {
            key: bottleneck
            for key, bottleneck in self._bottlenecks.items()
            if key in self._received or key in called
        }
