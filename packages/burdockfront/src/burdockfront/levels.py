"""Levels: the priority number up to which requests are admitted.

A guard under pressure lowers its level, so that it answers what it can't
serve at once instead of letting it wait and die. Levels flow back on answers:
an entry refuses early what would die deep, before any work is spent on it.

`LevelControl` is the guard's side. Each window it looks at what the queue did
and how busy the slots were. Then

* pressure (requests were dropped, or a queue stood the whole window: even the
  shortest wait was above the target) lowers the level by the share that was
  dropped, but never below the rank of what was dropped: a class is not
  refused in advance while the queue still serves all of it;
* no pressure raises it in proportion to the slots that were left idle. In a
  lasting overload slots are nearly busy and the level nearly stands; when the
  overload ends they fall idle and it opens within seconds.

What was tried before and failed: cutting to the priority of single requests
(with tens of requests per second positions say little, it refused at base
load), and raising in steps that double (all guards swung together between a
fifth and the whole of their capacity, with a period of 2.5 s).

`LevelTracker` is the asking side: what each service's guards said last. What it
says fades with age, so that a level never outlives its cause even if no
answer corrects it. It keeps one smoothed level per service and class: a
router hears from one guard too seldom to judge each by its own word. What is
wrongly let through is refused by the guard, one hop later.
"""

import dataclasses
import math

from burdockfront import context

OPEN = 8 * context.ORDINALS
_LEAST_CUT = 0.03
_MOST_CUT = 0.3
_IDLE_OF_ONE_SLOT = 0.22
_MOST_RAISE = 0.6
_LEAST_RAISE = 2
_SMOOTHING = 0.5
_MEMORY = 0.7
# Some requests are always let into the queue: with none, nothing would be
# learned, and the level would never rise again.
_LEAST_LEVEL = context.ORDINALS // 8
_FADE_AFTER_S = 0.5
_FADE_PER_S = 256.0
_KEEP_S = 10.0
_HEARD_WEIGHT = 0.4
_OPENING = 1.5
_LEAST_RISE = 16
# An entry knows levels late: it refuses only what is clearly above, and
# leaves the boundary to the guard, which knows it exactly.
ENTRY_SLACK = 64


class LevelControl:
    """The level of one guard.

    Args:
        target_s: A standing queue longer than this is pressure.
        window_s: How often the level is set.
        now_s: The current time.
    """

    def __init__(self, target_s: float, window_s: float, now_s: float):
        self._target_s = target_s
        self._window_s = window_s
        self._window_end_s = now_s + window_s
        self._level = OPEN
        self._busy = 0.0
        # A window of a guard with few slots holds a handful of requests; one
        # drop among them must not look like a third of the demand.
        self._recent_admitted = 0.0
        self._recent_dropped = 0.0
        self._highest_rank = 1
        self._admitted = 0
        self._dropped = 0
        self._dropped_rank = OPEN
        self._window_rank = 0
        self._starts = 0
        self._shortest_s = math.inf

    @property
    def level(self) -> int:
        """Highest priority number that is admitted now."""
        return self._level

    @property
    def busy(self) -> float:
        """Share of the slots in use, smoothed over windows."""
        return self._busy

    def set_target(self, target_s: float) -> None:
        """Takes the target from a changed policy."""
        self._target_s = target_s

    def admitted(self, priority: int) -> None:
        """Counts a request that was let into the queue."""
        self._admitted += 1
        rank = priority // context.ORDINALS
        self._highest_rank = max(self._highest_rank, rank)
        self._window_rank = max(self._window_rank, rank)

    def waited(self, delay_s: float) -> None:
        """Records the queueing delay of a request that got a slot."""
        self._starts += 1
        self._shortest_s = min(self._shortest_s, delay_s)

    def dropped(self, priority: int) -> None:
        """Records that a queued request was refused."""
        self._dropped += 1
        rank = priority // context.ORDINALS
        self._dropped_rank = min(self._dropped_rank, rank)

    def over(self, now_s: float) -> bool:
        """Whether the window is over and `advance` is due."""
        return now_s >= self._window_end_s

    def advance(self, busy: float, slots: int, now_s: float) -> None:
        """Closes the window and sets the level.

        Args:
            busy: Share of the slots that was in use during the window.
            slots: How many slots there are now.
            now_s: The current time.
        """
        self._busy += _SMOOTHING * (busy - self._busy)
        self._recent_admitted = self._admitted + _MEMORY * self._recent_admitted
        self._recent_dropped = self._dropped + _MEMORY * self._recent_dropped
        if self._dropped or self._queue_stood():
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
        self._starts = 0
        self._shortest_s = math.inf

    def _queue_stood(self) -> bool:
        return self._starts > 1 and self._shortest_s > self._target_s

    def _lower(self) -> None:
        level = min(self._level, self._top())
        share = self._recent_dropped / max(1.0, self._recent_admitted)
        cut = min(_MOST_CUT, max(_LEAST_CUT, share))
        rank = self._dropped_rank if self._dropped else self._window_rank
        floor = max(_LEAST_LEVEL, rank * context.ORDINALS)
        self._level = max(int(level * (1 - cut)), min(level, floor))

    def _raise(self, healthy_busy: float) -> None:
        idle = healthy_busy - self._busy
        if idle <= 0.0:
            return
        share = min(_MOST_RAISE, idle / max(self._busy, 0.01) / 2)
        raised = self._level + max(_LEAST_RAISE, int(self._level * share))
        self._level = raised if raised < self._top() else OPEN

    def _top(self) -> int:
        return (self._highest_rank + 1) * context.ORDINALS


def _healthy_busy(slots: int) -> float:
    """Returns how busy slots may be before waits grow out of hand.

    The wait at a given share of use falls with the number of slots (a single
    server at 90% makes requests wait nine service times). While they wait
    they hold slots of the layers above, so a deep service with few slots
    must be kept further from full: 78% of one slot, 89% of four, 96% of 40.
    """
    return 1.0 - _IDLE_OF_ONE_SLOT / math.sqrt(slots)


@dataclasses.dataclass(slots=True)
class _Heard:
    level: float
    at_s: float


class LevelTracker:
    """Levels that guards of other services told us, by service and class."""

    def __init__(self) -> None:
        self._heard: dict[tuple[str, str], _Heard] = {}
        # Class above, service and class below, and when that was seen last.
        self._called: dict[tuple[str, str, str], float] = {}

    def observe(
        self, service: str, class_name: str, level: int, now_s: float
    ) -> None:
        """Takes the path level that came with an answer."""
        known = float(self.level_of(service, class_name, now_s))
        if level >= OPEN:
            # "Open" is not a number to average with: a router that refuses
            # hears little, and would need many answers to believe it.
            known = known * _OPENING + _LEAST_RISE
        elif known >= OPEN:
            known = level
        else:
            known += _HEARD_WEIGHT * (level - known)
        self._heard[(service, class_name)] = _Heard(min(known, OPEN), now_s)

    def level_of(self, service: str, class_name: str, now_s: float) -> int:
        """Returns the level of a service; an unheard one is open."""
        heard = self._heard.get((service, class_name))
        if heard is None:
            return OPEN
        faded_s = max(0.0, now_s - heard.at_s - _FADE_AFTER_S)
        return min(OPEN, int(heard.level + faded_s * _FADE_PER_S))

    def record_call(
        self,
        class_name: str,
        service: str,
        now_s: float,
        called_class: str | None = None,
    ) -> None:
        """Notes that requests of a class lead to calls of a service.

        Args:
            class_name: Class of the requests.
            service: Service that is called.
            now_s: The current time.
            called_class: Class of the calls; by default that of the requests,
                which calls inherit where they carry a context.
        """
        self._called[(class_name, service, called_class or class_name)] = now_s

    def path_level(self, class_name: str, now_s: float) -> int:
        """Returns the lowest level below requests of a class."""
        level = OPEN
        for (name, service, called_class), at_s in self._called.items():
            if name == class_name and now_s - at_s < _KEEP_S:
                level = min(level, self.level_of(service, called_class, now_s))
        return level

    def remove_expired(self, now_s: float) -> None:
        """Drops what is too old to matter."""
        self._heard = {
            key: heard
            for key, heard in self._heard.items()
            if now_s - heard.at_s < _KEEP_S
        }
        self._called = {
            key: at_s
            for key, at_s in self._called.items()
            if now_s - at_s < _KEEP_S
        }
