"""A stand-in of the platform's key-value service.

Compare-and-swap by revision, leases with fencing tokens, long-poll watches.
It counts each call and can be told to be down, slow, to answer stale reads,
or to let a write take effect without answering.

    python -m burdockfront_bench.standins.platform --address 127.0.0.1:7000
"""

import asyncio
import dataclasses
import time
from typing import Any

import cyclopts
import orjson
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from burdockfront_node import servers

_MOST_WAIT_S = 60.0


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong now.

    Attributes:
        down: No call is answered.
        delay_s: Each call takes this much longer.
        lose_write_answers: So many next writes take effect unanswered.
        stale_reads: Reads show the state at the moment this was set.
        silent_watches: Watches never answer.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_write_answers: int = 0
    stale_reads: bool = False
    silent_watches: bool = False


@dataclasses.dataclass(slots=True)
class _Lease:
    holder: str
    until_s: float
    token: int


class Store:
    """Keys with the revision of their last change."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, tuple[Any, int]] = {}
        self.leases: dict[str, _Lease] = {}
        self.calls: dict[str, int] = {}
        self.faults = Faults()
        self.changed = asyncio.Condition()
        self.stale: tuple[int, dict[str, tuple[Any, int]]] | None = None

    def below(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Returns items of a prefix that are newer than a revision."""
        items = self.items
        if self.stale is not None:
            items = self.stale[1]
        return [
            {"key": key, "value": value, "revision": revision}
            for key, (value, revision) in sorted(items.items())
            if key.startswith(prefix) and revision > after
        ]

    def shown_revision(self) -> int:
        """Returns the revision that reads show."""
        return self.stale[0] if self.stale is not None else self.revision


class PlatformApp:
    """The HTTP+JSON face of the store."""

    def __init__(self) -> None:
        self.store = Store()
        self._waiting = 0

    def application(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route("/kv", self.read, methods=["GET"]),
                routing.Route("/kv/{key:path}", self.write, methods=["PUT"]),
                routing.Route("/watch", self.watch, methods=["GET"]),
                routing.Route("/lease/{name}", self.lease, methods=["POST"]),
                routing.Route("/control", self.control, methods=["POST"]),
                routing.Route("/calls", self.calls, methods=["GET"]),
                routing.Route("/waiting", self.waiting, methods=["GET"]),
            ]
        )

    async def read(self, request: requests.Request) -> responses.Response:
        """Returns the items of a prefix."""
        await self._suffer("read")
        prefix = request.query_params["prefix"]
        return _json(
            200,
            {
                "revision": self.store.shown_revision(),
                "items": self.store.below(prefix, 0),
            },
        )

    async def watch(self, request: requests.Request) -> responses.Response:
        """Waits for items newer than a revision."""
        self._waiting += 1
        try:
            return await self._watch(request)
        finally:
            self._waiting -= 1

    async def _watch(self, request: requests.Request) -> responses.Response:
        await self._suffer("watch")
        if self.store.faults.silent_watches:
            await _never_answer()
        query = request.query_params
        wait_s = min(float(query["wait_s"]), _MOST_WAIT_S)
        until_s = time.monotonic() + wait_s
        after = int(query["after"])
        while True:
            items = self.store.below(query["prefix"], after)
            left_s = until_s - time.monotonic()
            if items or left_s <= 0:
                revision = self.store.shown_revision()
                return _json(200, {"revision": revision, "items": items})
            await self._wait_for_change(left_s)

    async def write(self, request: requests.Request) -> responses.Response:
        """Writes by compare-and-swap."""
        await self._suffer("write")
        key = request.path_params["key"]
        body = orjson.loads(await request.body())
        _, found = self.store.items.get(key, (None, 0))
        if found != body["expected"]:
            return _json(409, {"conflict": found})
        self.store.revision += 1
        self.store.items[key] = (body["value"], self.store.revision)
        revision = self.store.revision
        async with self.store.changed:
            self.store.changed.notify_all()
        if self.store.faults.lose_write_answers > 0:
            self.store.faults.lose_write_answers -= 1
            await _never_answer()
        return _json(200, {"revision": revision})

    async def lease(self, request: requests.Request) -> responses.Response:
        """Grants or renews a lease."""
        await self._suffer("lease")
        name = request.path_params["name"]
        body = orjson.loads(await request.body())
        now_s = time.monotonic()
        lease = self.store.leases.get(name)
        foreign = lease is not None and lease.holder != body["holder"]
        if lease is not None and foreign and lease.until_s > now_s:
            return _json(409, {"holder": lease.holder})
        if lease is None or foreign:
            token = (lease.token if lease else 0) + 1
            lease = _Lease(body["holder"], 0.0, token)
            self.store.leases[name] = lease
        lease.until_s = now_s + body["duration_s"]
        return _json(200, {"fencing_token": lease.token})

    async def control(self, request: requests.Request) -> responses.Response:
        """Sets faults."""
        body = orjson.loads(await request.body())
        store = self.store
        store.faults = dataclasses.replace(store.faults, **body)
        store.stale = None
        if store.faults.stale_reads:
            store.stale = (store.revision, dict(store.items))
        async with store.changed:
            store.changed.notify_all()
        return _json(200, dataclasses.asdict(store.faults))

    async def calls(self, request: requests.Request) -> responses.Response:
        """Returns how many calls there were, by kind."""
        return _json(200, dict(self.store.calls))

    async def waiting(self, request: requests.Request) -> responses.Response:
        """Returns how many watches wait now."""
        return _json(200, {"watches": self._waiting})

    async def _suffer(self, kind: str) -> None:
        self.store.calls[kind] = self.store.calls.get(kind, 0) + 1
        if self.store.faults.down:
            await _never_answer()
        await asyncio.sleep(self.store.faults.delay_s)

    async def _wait_for_change(self, left_s: float) -> None:
        try:
            async with asyncio.timeout(left_s), self.store.changed:
                await self.store.changed.wait()
        except TimeoutError:
            pass


async def _never_answer() -> None:
    await asyncio.sleep(_MOST_WAIT_S)


def _json(status: int, document: Any) -> responses.Response:
    return responses.Response(
        orjson.dumps(document), status, media_type="application/json"
    )


app = cyclopts.App(help=__doc__)


@app.default
def main(address: str) -> None:
    """Runs the stand-in until it is ended.

    Args:
        address: Where it listens, `ip:port`.
    """
    asyncio.run(servers.create(PlatformApp().application(), address).serve())


if __name__ == "__main__":
    app()
