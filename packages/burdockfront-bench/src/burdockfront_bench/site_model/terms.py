"""Whether servers of the model got more than they had named.

A node is bound by a limit half a second after it passed on an answer that
names it, until its process is replaced. All bound nodes together may bring one
and a half times the limit, and five, in any four seconds; that a server leaves
binds a node after two seconds.
"""

import dataclasses

_WINDOW_S = 4.0
_FACTOR = 1.5
_EXTRA = 5
_STABLE_S = 3.0
_TOLD_S = 0.5
_DRAIN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a server.

    Attributes:
        server: The node beside it.
        attempt_id: Tells where it began.
        at_s: When.
    """

    server: str
    attempt_id: str
    at_s: float


@dataclasses.dataclass(slots=True)
class _Bound:
    """Since when a node has been bound by a server's words."""

    limited_s: float = float("inf")
    leaving_s: float = float("inf")


class TermsLog:
    """What reached servers, and which nodes were bound by their words."""

    def __init__(self) -> None:
        self._origins: dict[str, str] = {}
        self._bound: dict[tuple[str, str], _Bound] = {}
        self._counted: dict[str, list[float]] = {}
        self._named_s: dict[str, float] = {}
        self._limits: dict[str, float] = {}
        # Servers that name no limit any more.
        self._ended: set[str] = set()
        self.after_leaving = 0

    def sent(self, origin: str, attempt_id: str) -> None:
        """Notes where an attempt began."""
        self._origins[attempt_id] = origin

    def named(self, server: str, limit_per_s: float, at_s: float) -> None:
        """Notes that a server named a limit on an answer."""
        self._named_s.setdefault(server, at_s)
        self._limits[server] = limit_per_s
        self._ended.discard(server)

    def named_none(self, server: str) -> None:
        """Notes that an answer of a server names no limit."""
        if server in self._limits:
            self._ended.add(server)

    def passed_on(
        self,
        origin: str,
        server: str,
        limited: bool,
        leaving: bool,
        at_s: float,
    ) -> None:
        """Notes that a node passed on an answer with such words."""
        bound = self._bound.setdefault((origin, server), _Bound())
        if limited:
            bound.limited_s = min(bound.limited_s, at_s + _TOLD_S)
        if leaving:
            bound.leaving_s = min(bound.leaving_s, at_s + _DRAIN_S)

    def began_anew(self, origin: str) -> None:
        """Notes that the process of a node was replaced."""
        for node, server in list(self._bound):
            if node == origin:
                del self._bound[node, server]

    def arrived(self, arrival: Arrival) -> None:
        """Notes a request that reached a server."""
        origin = self._origins.get(arrival.attempt_id, "")
        bound = self._bound.get((origin, arrival.server))
        if bound is None:
            return
        ended = arrival.server in self._ended
        if arrival.at_s >= bound.limited_s and not ended:
            counted_s = self._counted.setdefault(arrival.server, [])
            counted_s.append(arrival.at_s)
        self.after_leaving += arrival.at_s >= bound.leaving_s

    def over_limit(self) -> list[str]:
        """Returns the servers that got more than they had named."""
        return [
            server
            for server, counted_s in self._counted.items()
            if self._most(server, counted_s) > self._allowed(server)
        ]

    def _allowed(self, server: str) -> float:
        return _FACTOR * _WINDOW_S * self._limits[server] + _EXTRA

    def _most(self, server: str, counted_s: list[float]) -> int:
        """Returns the most that came in a window in which the limit binds."""
        binds_s = self._named_s[server] + _STABLE_S
        most = 0
        first = 0
        for index, at_s in enumerate(counted_s):
            while counted_s[first] <= at_s - _WINDOW_S:
                first += 1
            if at_s >= binds_s:
                most = max(most, index + 1 - first)
        return most
