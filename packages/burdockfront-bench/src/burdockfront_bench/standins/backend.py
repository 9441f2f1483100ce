"""A stand-in of a backend server.

It has slots and a short queue of its own, sheds when that is full, works for
a time per route, calls deeper services through its node, announces itself,
drains, and counts in a ledger of its own how often each confirmation ran. Its
ledger is the judge of "at most once".

    python -m burdockfront_bench.standins.backend spec.json
"""

import asyncio
import dataclasses
import pathlib
import random
import signal
import time
from typing import Any

import aiohttp
import cyclopts
import orjson
import uvloop
import yarl

from burdockfront import context as context_lib
from burdockfront_bench import journal
from burdockfront_bench.standins import plain_handler
from burdockfront_client import embedded as embedded_lib
from burdockfront_client import wire
from burdockfront_node.internal import http_port
from burdockfront_node.internal import messages

_CONTROL = "/_control"
_LEDGER = "/_ledger"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What a route does: its own work, then calls of deeper services.

    Attributes:
        work_s: Mean of its own work; exponential with a floor of a half.
        calls: Deeper calls in order, each "METHOD service /path".
    """

    work_s: float
    calls: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Spec:
    """A backend server.

    Attributes:
        service: Its service.
        address: Where it listens.
        node_caller: Its node's callers' port, for deeper calls.
        node_internal: Its node's internal port, for announcements.
        peer_key: Key for announcements.
        slots: Requests that it works on at once.
        queue: Requests that may wait inside it; more are shed.
        routes: By "METHOD /path".
        embedded: Deeper calls go through the embedded router.
        announce_s: Time between announcements.
        seed: Seed of service times.
        cold: It starts cold.
        journal: File that each run of a confirmation is written to at once,
            so that a killed process still bears witness; none if empty.
    """

    service: str
    address: str
    node_caller: str
    node_internal: str
    peer_key: str
    slots: int
    queue: int
    routes: dict[str, Route]
    embedded: bool = False
    announce_s: float = 0.5
    seed: int = 1
    cold: bool = False
    journal: str = ""


def spec_from_json(data: dict[str, Any]) -> Spec:
    """Reads a specification."""
    routes = {
        name: Route(route["work_s"], tuple(route["calls"]))
        for name, route in data.pop("routes").items()
    }
    return Spec(routes=routes, **data)


@dataclasses.dataclass(slots=True)
class Counts:
    """What the stand-in counts, for the judge."""

    started: int = 0
    finished: int = 0
    shed: int = 0
    cancelled: int = 0
    failed: int = 0
    busy_s: float = 0.0
    wasted_s: float = 0.0


class Backend(plain_handler.PlainHandler):
    """The stand-in."""

    def __init__(self, spec: Spec):
        self._spec = spec
        self._rng = random.Random(spec.seed)
        self._slots = asyncio.Semaphore(spec.slots)
        self._inside = 0
        self._slow = 1.0
        self._state = "cold" if spec.cold else "ready"
        self._lied_slots: int | None = None
        self._lied_load: float | None = None
        self.counts = Counts()
        self.runs: dict[str, int] = {}
        self.work: dict[str, list[float]] = {}
        self._caller: aiohttp.ClientSession | None = None
        self._embedded: embedded_lib.EmbeddedRouter | None = None

    async def run(self) -> None:
        """Serves until SIGTERM, which drains first."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        self._caller = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        if self._spec.embedded:
            self._embedded = embedded_lib.EmbeddedRouter(
                f"app-{self._spec.address.replace(':', '-')}",
                "dc1",
                [self._spec.peer_key],
                self._spec.node_internal,
            )
            await self._embedded.start()
        port = http_port.Port(self, self._spec.address)
        await port.open()
        announcing = asyncio.create_task(self._announce_forever())
        await stop.wait()
        self._state = "draining"
        await self._announce()
        announcing.cancel()
        while self._inside:
            await asyncio.sleep(0.02)
        port.close()
        await self._caller.close()

    async def serve(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        path = request.target.partition("?")[0]
        if path == _CONTROL:
            return await self._control(request)
        if path == _LEDGER:
            return self._show_ledger()
        try:
            done = await self._serve(request, path)
        except asyncio.CancelledError:
            self.counts.cancelled += 1
            raise
        return messages.Response(done.status, tuple(done.headers), done.body)

    async def _serve(self, request: messages.Request, path: str) -> "_Done":
        echo = [(wire.ATTEMPT, request.header(wire.ATTEMPT.lower()) or "")]
        if self._inside >= self._spec.slots + self._spec.queue:
            self.counts.shed += 1
            return _Done(503, [*echo, (wire.OUTCOME, "not-run")], b"")
        self._inside += 1
        try:
            async with self._slots:
                return await self._work(request, path, echo)
        finally:
            self._inside -= 1

    async def _work(
        self, request: messages.Request, path: str, echo: list[tuple[str, str]]
    ) -> "_Done":
        route = self._spec.routes.get(f"{request.method} {path}")
        if route is None:
            return _Done(404, echo, b"no such route")
        self.counts.started += 1
        self._count_run(request)
        started_s = time.monotonic()
        finished = False
        try:
            work_s = self._work_s(route)
            if work_s:
                await asyncio.sleep(work_s)
            done = await self._deeper(request, route, echo)
            finished = done.status < 400
            return done
        finally:
            spent_s = time.monotonic() - started_s
            self.counts.busy_s += spent_s
            self._note_work(request, spent_s)
            if finished:
                self.counts.finished += 1
            else:
                self.counts.failed += 1
                self.counts.wasted_s += spent_s

    def _count_run(self, request: messages.Request) -> None:
        key = request.header(wire.IDEMPOTENCY_KEY.lower())
        if key is None:
            return
        self.runs[key] = self.runs.get(key, 0) + 1
        if self._spec.journal:
            journal.note(pathlib.Path(self._spec.journal), key)

    def _note_work(self, request: messages.Request, spent_s: float) -> None:
        """Notes starts and slot-seconds by whole request."""
        attempt = request.header(wire.ATTEMPT.lower()) or ""
        noted = self.work.setdefault(attempt.partition(".")[0], [0, 0.0])
        noted[0] += 1
        noted[1] += spent_s

    def _work_s(self, route: Route) -> float:
        if route.work_s == 0.0:
            return 0.0
        half_s = route.work_s / 2
        drawn_s = half_s + self._rng.expovariate(1 / half_s)
        return self._slow * min(drawn_s, 3 * route.work_s)

    async def _deeper(
        self,
        request: messages.Request,
        route: Route,
        echo: list[tuple[str, str]],
    ) -> "_Done":
        if self._embedded is not None:
            return await self._deeper_embedded(request, route, echo)
        assert self._caller is not None
        context = request.header(context_lib.HEADER.lower()) or ""
        for line in route.calls:
            method, service, path = line.split()
            url = yarl.URL(
                f"http://{self._spec.node_caller}/{service}{path}",
                encoded=True,
            )
            headers = {context_lib.HEADER: context}
            try:
                async with self._caller.request(
                    method, url, headers=headers
                ) as response:
                    await response.read()
                    status = response.status
            except aiohttp.ClientError:
                status = 502
            if status >= 400:
                return _Done(502, echo, f"{service}: {status}".encode())
        return _Done(200, echo, self._body(request))

    async def _deeper_embedded(
        self,
        request: messages.Request,
        route: Route,
        echo: list[tuple[str, str]],
    ) -> "_Done":
        assert self._embedded is not None
        signed = request.header(context_lib.HEADER.lower()) or ""
        with self._embedded.serving(signed) as serving:
            for line in route.calls:
                method, service, path = line.split()
                answer = await serving.call(service, method, path)
                if answer.status >= 400:
                    text = f"{service}: {answer.status}".encode()
                    return _Done(502, [*echo, *serving.headers()], text)
            headers = [*echo, *serving.headers()]
        return _Done(200, headers, self._body(request))

    def _body(self, request: messages.Request) -> bytes:
        """Returns an answer that tells whose request it answers."""
        mark = request.header("x-mark") or ""
        return orjson.dumps(
            {"service": self._spec.service, "mark": mark, "pad": "x" * 200}
        )

    async def _control(self, request: messages.Request) -> messages.Response:
        wanted = orjson.loads(request.body)
        self._slow = wanted.get("slow", self._slow)
        self._state = wanted.get("state", self._state)
        self._lied_slots = wanted.get("lied_slots", self._lied_slots)
        self._lied_load = wanted.get("lied_load", self._lied_load)
        await self._announce()
        return messages.Response(200, (), b"{}")

    def _show_ledger(self) -> messages.Response:
        document = {
            "counts": dataclasses.asdict(self.counts),
            "runs": self.runs,
            "work": self.work,
        }
        return messages.Response(200, (), orjson.dumps(document))

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            if self._state == "cold":
                self._state = "ready"
            await asyncio.sleep(self._spec.announce_s)

    async def _announce(self) -> None:
        assert self._caller is not None
        document = {
            "service": self._spec.service,
            "address": self._spec.address,
            "slots": self._lied_slots or self._spec.slots,
            "state": self._state,
            "load": (
                self._inside / self._spec.slots
                if self._lied_load is None
                else self._lied_load
            ),
            "embedded": self._spec.embedded,
        }
        headers = {"Authorization": f"Bearer {self._spec.peer_key}"}
        try:
            async with self._caller.post(
                f"http://{self._spec.node_internal}/backend/announce",
                data=orjson.dumps(document),
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=1.0),
            ) as response:
                await response.read()
        except (TimeoutError, aiohttp.ClientError):
            pass


@dataclasses.dataclass(frozen=True, slots=True)
class _Done:
    status: int
    headers: list[tuple[str, str]]
    body: bytes


app = cyclopts.App(help=__doc__)


@app.default
def main(spec: pathlib.Path) -> None:
    """Runs the stand-in until SIGTERM.

    Args:
        spec: JSON file of a `Spec`.
    """
    data = orjson.loads(spec.read_bytes())
    uvloop.run(Backend(spec_from_json(data)).run())


if __name__ == "__main__":
    app()
