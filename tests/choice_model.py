"""Many routers and the servers of one service, without a network.

Each router knows only its own calls and what answers told it. Servers work on
calls in their slots and queue the rest; guards report load and pace on answers.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from burdockfront import guards
from burdockfront import routing
from tests import builders

_CLASS = "rule"
# Time of an answer from the guard to the router.
_ANSWER_S = (0.005, 0.02)
_WORK_SIGMA = 0.5


@dataclasses.dataclass(slots=True)
class Server:
    """A backend server and its guard.

    Attributes:
        target: As routers know it.
        speed: Relative to the usual one.
        pace: Returns the pace at a time.
        reports: Whether answers have a load and a pace.
    """

    target: guards.Target
    speed: float = 1.0
    pace: Callable[[float], float] = lambda now_s: 1.0
    reports: bool = True
    in_use: int = 0
    waiting: list[tuple[routing.Router, float]] = dataclasses.field(
        default_factory=list
    )

    def load(self) -> float:
        """Returns the running and waiting calls per slot."""
        return (self.in_use + len(self.waiting)) / self.target.slots


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A call that was sent."""

    at_s: float
    data_center: str
    server: str
    is_far: bool


@dataclasses.dataclass(slots=True)
class Result:
    """What a run came to.

    Attributes:
        sent: All calls.
        latencies_s: Their times to an answer, as (time of the answer, latency).
        loads: Loads of all servers every 50 ms, as (time, loads by server).
    """

    sent: list[Sent] = dataclasses.field(default_factory=list)
    latencies_s: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )
    loads: list[tuple[float, dict[str, float]]] = dataclasses.field(
        default_factory=list
    )

    def far_share(self, from_s: float, until_s: float) -> float:
        """Returns the share of calls that left their data centre."""
        sent = [one for one in self.sent if from_s <= one.at_s < until_s]
        return sum(one.is_far for one in sent) / max(1, len(sent))

    def count(self, server: str, from_s: float, until_s: float) -> int:
        """Returns how many calls a server got."""
        return sum(
            one.server == server and from_s <= one.at_s < until_s
            for one in self.sent
        )

    def max_load(self, server: str, from_s: float, until_s: float) -> float:
        """Returns the highest load of a server."""
        return max(
            loads.get(server, 0.0)
            for at_s, loads in self.loads
            if from_s <= at_s < until_s
        )

    def mean_load(self, server: str, from_s: float, until_s: float) -> float:
        """Returns the mean load of a server."""
        found = [
            loads.get(server, 0.0)
            for at_s, loads in self.loads
            if from_s <= at_s < until_s
        ]
        return sum(found) / len(found)

    def mean_latency_s(self, from_s: float, until_s: float) -> float:
        """Returns the mean time to an answer."""
        found = [
            value
            for at_s, value in self.latencies_s
            if from_s <= at_s < until_s
        ]
        return sum(found) / len(found)


class Model:
    """Routers that call the servers of one service.

    Args:
        servers: The servers.
        routers: Number of routers in each data centre.
        rate_per_s: Returns the calls per second of a data centre at a time.
        seed: Of all draws.
        work_s: Mean time of a call at a server of usual speed.
        limit_s: Time after which an answer has little value.
    """

    def __init__(
        self,
        servers: list[Server],
        routers: dict[str, int],
        rate_per_s: Callable[[str, float], float],
        seed: int = 1,
        work_s: float = 0.05,
        limit_s: float = 0.25,
    ):
        self.servers = {one.target.node_id: one for one in servers}
        self._rate_per_s = rate_per_s
        self._rng = random.Random(seed)
        self._work_s = work_s
        self._limit_s = limit_s
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self.result = Result()
        self.routers = {
            name: [
                routing.Router(name, random.Random(self._rng.getrandbits(64)))
                for _ in range(count)
            ]
            for name, count in routers.items()
        }
        self.update()

    def update(self) -> None:
        """Tells all routers which servers there are."""
        targets = [one.target for one in self.servers.values()]
        for group in self.routers.values():
            for router in group:
                router.update(targets)
                # Loads count once a guard has told how fast its server is.
                router.record_pace(targets[0].node_id, 1.0, 0.0)

    def add(self, server: Server) -> None:
        """Adds a server that all routers learn of at once."""
        self.servers[server.target.node_id] = server
        self.update()

    def at(self, at_s: float, action: Callable[[float], None]) -> None:
        """Runs an action at a time."""
        heapq.heappush(self._events, (at_s, next(self._numbers), action))

    def run(self, until_s: float) -> Result:
        """Runs the model up to a time."""
        for name in self.routers:
            self.at(0.0, lambda now_s, name=name: self._arrive(name, now_s))
        self.at(0.0, self._sample)
        while self._events and self._events[0][0] < until_s:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
        return self.result

    def _sample(self, now_s: float) -> None:
        loads = {name: one.load() for name, one in self.servers.items()}
        self.result.loads.append((now_s, loads))
        self.at(now_s + 0.05, self._sample)

    def _arrive(self, name: str, now_s: float) -> None:
        rate = self._rate_per_s(name, now_s)
        self.at(
            now_s + self._rng.expovariate(rate),
            lambda at_s: self._arrive(name, at_s),
        )
        router = self._rng.choice(self.routers[name])
        target = router.choose(
            "fees",
            frozenset(),
            now_s,
            class_name=_CLASS,
            limit_s=self._limit_s,
        )
        if target is None:
            return
        router.record_sent(target.node_id)
        self.result.sent.append(
            Sent(now_s, name, target.node_id, router.is_far(target))
        )
        server = self.servers[target.node_id]
        server.waiting.append((router, now_s))
        self._start(server, now_s)

    def _start(self, server: Server, now_s: float) -> None:
        while server.waiting and server.in_use < server.target.slots:
            router, sent_s = server.waiting.pop(0)
            server.in_use += 1
            work_s = self._work_s / server.speed * server.pace(now_s)
            work_s *= self._rng.lognormvariate(
                -_WORK_SIGMA * _WORK_SIGMA / 2, _WORK_SIGMA
            )
            self.at(
                now_s + work_s,
                lambda at_s, router=router, sent_s=sent_s: self._end(
                    server, router, sent_s, at_s
                ),
            )

    def _end(
        self,
        server: Server,
        router: routing.Router,
        sent_s: float,
        now_s: float,
    ) -> None:
        server.in_use -= 1
        self._start(server, now_s)
        load = server.load() if server.reports else None
        pace = server.pace(now_s) if server.reports else 1.0
        self.at(
            now_s + self._rng.uniform(*_ANSWER_S),
            lambda at_s: self._answer(server, router, sent_s, load, pace, at_s),
        )

    def _answer(
        self,
        server: Server,
        router: routing.Router,
        sent_s: float,
        load: float | None,
        pace: float,
        now_s: float,
    ) -> None:
        node_id = server.target.node_id
        elapsed_s = now_s - sent_s
        router.estimates.record_answer(
            "fees", node_id, _CLASS, elapsed_s, now_s, pace
        )
        router.record_answer(node_id, load, False, now_s)
        router.record_pace(node_id, pace, now_s)
        self.result.latencies_s.append((now_s, elapsed_s))


def a_server(name: str, **changes: object) -> Server:
    """Returns a server; fields of its target may be given as well."""
    fields = {
        key: changes.pop(key)
        for key in ("data_center", "slots", "boot_id")
        if key in changes
    }
    return Server(builders.a_target(name, **fields), **changes)
