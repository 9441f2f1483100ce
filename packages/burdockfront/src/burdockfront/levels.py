"""Levels: the priority number up to which requests are admitted.

A guard under pressure lowers its level, so that it answers what it can't
serve at once instead of letting it wait and die. Levels flow back on answers:
an entry refuses early what would die deep, before any work is spent on it.

`LevelControl` is the guard's side. In each window it looks at the queueing
delay that admitted requests met. Above the target it lowers the level by the
histogram of what it admitted, as far as is needed for the excess. Below, it
raises the level by a step that doubles with each good window: recovery from
the lowest level takes about ten windows, and an overshoot costs little,
because what is admitted too much is refused from the queue without running.

`LevelBook` is the asking side: what each service's guards said last. What it
says fades with age, so that a level never outlives its cause even if no
answer corrects it.
"""

import dataclasses

from burdockfront import context

OPEN = 8 * context.ORDINALS
_FIRST_STEP = 4
_MAX_STEP = 64
_FADE_AFTER_S = 0.5
_FADE_PER_S = 256.0
_KEEP_S = 10.0


class LevelControl:
    """The level of one guard.

    Args:
        target_s: Mean queueing delay that is still healthy.
        window_s: How often the level is set.
        now_s: The current time.
    """

    def __init__(self, target_s: float, window_s: float, now_s: float):
        self._target_s = target_s
        self._window_s = window_s
        self._window_end_s = now_s + window_s
        self._level = OPEN
        self._step = _FIRST_STEP
        self._admitted: dict[int, int] = {}
        self._delay_sum_s = 0.0
        self._delays = 0
        self._expired = 0
        self._highest_rank = 1

    @property
    def level(self) -> int:
        """Highest priority number that is admitted now."""
        return self._level

    def set_target(self, target_s: float) -> None:
        """Takes the target from a changed policy."""
        self._target_s = target_s

    def admitted(self, priority: int) -> None:
        """Counts a request that was let into the queue."""
        self._admitted[priority] = self._admitted.get(priority, 0) + 1
        rank = priority // context.ORDINALS
        self._highest_rank = max(self._highest_rank, rank)

    def waited(self, delay_s: float) -> None:
        """Records the queueing delay of a request that got a slot."""
        self._delay_sum_s += delay_s
        self._delays += 1

    def dropped(self) -> None:
        """Records that a queued request was refused."""
        self._expired += 1

    def advance(self, now_s: float) -> bool:
        """Closes the window when it is over.

        Returns:
            Whether the level changed.
        """
        if now_s < self._window_end_s:
            return False
        before = self._level
        if self._overloaded():
            self._lower()
        else:
            self._raise()
        self._admitted.clear()
        self._delay_sum_s = 0.0
        self._delays = 0
        self._expired = 0
        self._window_end_s = now_s + self._window_s
        return self._level != before

    def _overloaded(self) -> bool:
        if self._expired:
            return True
        if not self._delays:
            return False
        return self._delay_sum_s / self._delays > self._target_s

    def _lower(self) -> None:
        """Cuts the least important requests that were too many."""
        self._step = _FIRST_STEP
        total = sum(self._admitted.values())
        excess = max(self._expired, total * 0.05)
        for priority in sorted(self._admitted, reverse=True):
            if excess <= 0:
                break
            excess -= self._admitted[priority]
            self._level = priority - 1
        # The most important of all are always let into the queue: with a
        # level below zero nothing would be admitted, hence nothing learned.
        self._level = max(self._level, context.ORDINALS // 8)

    def _raise(self) -> None:
        top = (self._highest_rank + 1) * context.ORDINALS
        if self._level >= top:
            self._level = OPEN
            return
        self._level += self._step
        self._step = min(_MAX_STEP, self._step * 2)


@dataclasses.dataclass(slots=True)
class _Heard:
    level: int
    at_s: float


class LevelBook:
    """Levels that guards of other services told us, by service and node."""

    def __init__(self) -> None:
        self._heard: dict[tuple[str, str, str], _Heard] = {}
        self._called: dict[tuple[str, str], float] = {}

    def hear(
        self,
        service: str,
        class_name: str,
        node_id: str,
        level: int,
        now_s: float,
    ) -> None:
        """Takes the path level that came with an answer."""
        key = (service, class_name, node_id)
        self._heard[key] = _Heard(level, now_s)

    def level_of(
        self, service: str, class_name: str, node_id: str, now_s: float
    ) -> int:
        """Returns the level of one guard; unheard guards are open."""
        heard = self._heard.get((service, class_name, node_id))
        if heard is None:
            return OPEN
        faded_s = max(0.0, now_s - heard.at_s - _FADE_AFTER_S)
        return min(OPEN, heard.level + int(faded_s * _FADE_PER_S))

    def called(self, class_name: str, service: str, now_s: float) -> None:
        """Notes that requests of a class lead to calls of a service."""
        self._called[(class_name, service)] = now_s

    def path_level(self, class_name: str, now_s: float) -> int:
        """Returns the lowest level below requests of a class.

        For each service that such requests called lately, the mean over its
        guards counts: the router spreads calls over all of them.
        """
        level = OPEN
        for (name, service), at_s in self._called.items():
            if name == class_name and now_s - at_s < _KEEP_S:
                level = min(level, self._mean(service, class_name, now_s))
        return level

    def forget(self, now_s: float) -> None:
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

    def _mean(self, service: str, class_name: str, now_s: float) -> int:
        levels = [
            self.level_of(service, class_name, key[2], now_s)
            for key in self._heard
            if key[0] == service and key[1] == class_name
        ]
        if not levels:
            return OPEN
        return sum(levels) // len(levels)
