"""Latest admission levels of short services, spread with all answers.

The level of a service several layers below the entries reaches an entry through
each of these layers, on the answers to one class of requests. An entry that
refuses nearly all of them receives hardly any answers: services with idle slots
were refused requests for seconds after an overload had ended.

Every answer between two nodes therefore also carries the levels of the services
that are short, with their age, whatever the answer is about. A node receives a
hundred answers a second from random other nodes, so a level reaches all nodes
within a few answers, at a few bytes each. From a second after the last shortage
on, nothing is sent.
"""

import dataclasses
import math
from collections.abc import Iterable

from burdockfront import context

# Without news a level is not known any more: its guards may be gone.
_FRESH_S = 1.0
# How long after its last shortage the level of a service is sent, so that all
# nodes hear of its end.
_SENT_OPEN_S = 1.0
# The guard of a short service may give a thousand answers a second. Levels on a
# part of them are as fresh, and cost little.
_SEND_INTERVAL_S = 0.02
# The guards of a service have slightly different levels. Within this time a
# node adopts the mean of what it hears.
_MERGE_S = 0.1
# More services are not short at the same time, except in an outage.
_MAX_SENT = 4
# The mean of what is heard approaches the top without reaching it.
_OPEN_FROM = context.TOP_LEVEL - context.ORDINALS // 8


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLevel:
    """The level of one service as sent with an answer.

    Attributes:
        service: The service.
        level: Highest priority number that it admits.
        age_s: Time since its guard determined the level.
    """

    service: str
    level: int
    age_s: float


@dataclasses.dataclass(slots=True)
class _Known:
    level: float
    at_s: float
    short_at_s: float


class ServiceLevels:
    """The levels of short services, as known to one node.

    Attributes:
        any_known: Whether levels are stored, which may have expired.
    """

    def __init__(self) -> None:
        self.any_known = False
        self._sent_at_s = -math.inf
        self._known: dict[str, _Known] = {}

    def record(self, service: str, level: int, at_s: float) -> None:
        """Records a level that a guard of a service determined.

        Args:
            service: The service.
            level: Its level.
            at_s: When the guard determined it.
        """
        known = self._known.get(service)
        if known is None or at_s - known.at_s >= _FRESH_S:
            if level < context.OPEN_LEVEL:
                self._known[service] = _Known(level, at_s, at_s)
                self.any_known = True
            return
        if at_s <= known.at_s:
            return
        weight = min(1.0, (at_s - known.at_s) / _MERGE_S)
        known.level += weight * (min(level, context.TOP_LEVEL) - known.level)
        known.at_s = at_s
        if level < context.OPEN_LEVEL:
            known.short_at_s = at_s

    def observe(self, received: Iterable[ServiceLevel], now_s: float) -> None:
        """Records the levels on an answer."""
        for one in received:
            self.record(one.service, one.level, now_s - one.age_s)

    def level_of(self, service: str, now_s: float) -> int | None:
        """Returns the level of a service; None if it is not known."""
        known = self._known.get(service)
        if known is None or now_s - known.at_s >= _FRESH_S:
            return None
        if known.level >= _OPEN_FROM:
            return context.OPEN_LEVEL
        return int(known.level)

    def remove_expired(self, now_s: float) -> None:
        """Removes levels that have expired."""
        self._known = {
            service: known
            for service, known in self._known.items()
            if now_s - known.at_s < _FRESH_S
        }
        self.any_known = bool(self._known)

    def short(self, now_s: float) -> list[ServiceLevel]:
        """Returns the services that are known to be short, for operators."""
        return [
            ServiceLevel(service, int(known.level), now_s - known.at_s)
            for service, known in sorted(self._known.items())
            if now_s - known.at_s < _FRESH_S and known.level < _OPEN_FROM
        ]

    def to_send(self, now_s: float) -> list[ServiceLevel]:
        """Returns the levels to send with an answer, shortest service first.

        Empty if levels were sent a moment ago.
        """
        if now_s - self._sent_at_s < _SEND_INTERVAL_S:
            return []
        self._sent_at_s = now_s
        found = [
            ServiceLevel(service, int(known.level), now_s - known.at_s)
            for service, known in self._known.items()
            if now_s - known.at_s < _FRESH_S
            and known.at_s - known.short_at_s < _SENT_OPEN_S
        ]
        found.sort(key=lambda one: one.level)
        return found[:_MAX_SENT]
