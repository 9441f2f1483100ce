"""What steps share: the running system, requests under way, and the judge."""

import asyncio
import base64
import dataclasses
import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import aiohttp
import orjson

from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts
from burdockfront_client import wire
from burdockfront_ctl import language
from burdockfront_ctl import main as ctl
from burdockfront_ctl import render
from burdockfront_ctl import settings as ctl_settings

PATIENCE_S = 30.0
_STEP_TIMEOUT_S = 120.0
_ROUTERS_FOLLOW_S = 0.5


def services() -> list[layouts.Service]:
    """Returns a small call graph: enrolment calls fees."""
    return [
        layouts.Service(
            "enrolment",
            3,
            4,
            {
                "POST /confirm": {
                    "work_s": 0.02,
                    "calls": ["POST fees /charge"],
                },
                "POST /slow-confirm": {"work_s": 1.0, "calls": []},
                "GET /overview": {
                    "work_s": 0.01,
                    "calls": ["GET fees /schedule"],
                },
                "GET /slow": {"work_s": 1.0, "calls": []},
            },
        ),
        layouts.Service(
            "fees",
            2,
            4,
            {
                "POST /charge": {"work_s": 0.01, "calls": []},
                "GET /schedule": {"work_s": 0.01, "calls": []},
            },
        ),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What a caller saw."""

    status: int
    outcome: str
    headers: Mapping[str, str]
    body: bytes


class World:
    """The running system of one scenario."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, cluster: cluster_lib.Cluster
    ):
        self._loop = loop
        self.cluster = cluster
        self.last: Seen | None = None
        self.ticket = ""
        self.pending: list[asyncio.Task[Seen]] = []
        self.finished: list[Seen] = []
        self.notes: dict[str, Any] = {}
        self.view: render.View | None = None
        self.saved_runs: list[dict[str, int]] = []
        self.away: set[str] = set()

    def run(self, work: Awaitable[Any]) -> Any:
        """Runs work in the loop's thread and returns its result."""

        async def wrapped() -> Any:
            return await work

        future = asyncio.run_coroutine_threadsafe(wrapped(), self._loop)
        return future.result(_STEP_TIMEOUT_S)

    async def end(self) -> None:
        """Ends what is still under way, and all processes."""
        for task in self.pending:
            task.cancel()
        await asyncio.gather(*self.pending, return_exceptions=True)
        await self.cluster.stop()

    def machine(self, name: str) -> layouts.Machine:
        """Returns a machine by name."""
        return self.cluster.machine(name)

    def running(self) -> list[layouts.Machine]:
        """Returns the machines whose nodes were not killed or frozen."""
        return [m for m in self.cluster.machines if m.name not in self.away]

    async def send(
        self,
        node: str,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Seen:
        """Sends a request to a node's callers' port."""
        address = self.machine(node).caller
        try:
            async with self.cluster.session.request(
                method,
                f"http://{address}{path}",
                headers=headers,
                data=body or None,
                timeout=aiohttp.ClientTimeout(total=15.0),
            ) as response:
                data = await response.read()
                return Seen(
                    response.status,
                    response.headers.get(wire.OUTCOME, ""),
                    response.headers.copy(),
                    data,
                )
        except (aiohttp.ClientError, TimeoutError) as error:
            return Seen(0, "no-answer", {}, repr(error).encode())

    def start(self, *arguments: Any, **options: Any) -> None:
        """Starts a request and goes on."""

        async def begin() -> None:
            task = asyncio.create_task(self.send(*arguments, **options))
            self.pending.append(task)

        self.run(begin())

    def finish(self) -> list[Seen]:
        """Waits for all started requests."""

        async def gather() -> list[Seen]:
            return list(await asyncio.gather(*self.pending))

        self.finished = self.run(gather())
        self.pending.clear()
        return self.finished

    def new_ticket(self, node: str, service: str = "enrolment") -> str:
        """Takes a ticket."""
        seen = self.run(self.send(node, "POST", f"/tickets/{service}"))
        self.ticket = orjson.loads(seen.body)["ticket"]
        return self.ticket

    def owner_of_ticket(self) -> str:
        """Returns the node that owns the ticket; tickets are readable."""
        return owner_of(self.ticket)

    def kill(self, name: str, what: str = "node") -> None:
        """Ends a process at once."""
        self._signal(name, what, signal.SIGKILL)

    def freeze(self, name: str, what: str = "node") -> None:
        """Stops a process where it is."""
        self._signal(name, what, signal.SIGSTOP)

    def wake(self, name: str, what: str = "node") -> None:
        """Lets a stopped process go on."""
        self._signal(name, what, signal.SIGCONT)

    def stop(self, name: str, what: str = "node") -> None:
        """Begins a planned stop."""
        self._signal(name, what, signal.SIGTERM)

    def _signal(self, name: str, what: str, number: signal.Signals) -> None:
        machine = self.machine(name)
        process = (
            machine.node_process if what == "node" else machine.backend_process
        )
        assert process is not None
        process.send_signal(number)

    def ledgers(self, service: str) -> list[dict[str, Any]]:
        """Returns what the running backend servers of a service counted."""
        found = []
        for machine in self.cluster.of_service(service):
            try:
                found.append(self.run(self.cluster.ledger(machine)))
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return found

    def runs(self, service: str) -> dict[str, int]:
        """Returns how often each confirmation ran, by the servers' count."""
        total: dict[str, int] = {}
        counted = [ledger["runs"] for ledger in self.ledgers(service)]
        for runs in counted + self.saved_runs:
            for key, count in runs.items():
                total[key] = total.get(key, 0) + count
        return total

    def status(self, name: str) -> dict[str, Any]:
        """Returns a node's status."""
        machine = self.machine(name)
        return self.run(self.cluster.operator(machine, "status", {}))

    def members(self, name: str) -> dict[str, dict[str, Any]]:
        """Returns the members as a node knows them."""
        machine = self.machine(name)
        found = self.run(self.cluster.operator(machine, "members", {}))
        return {member["node"]: member for member in found["members"]}

    def others(self, name: str) -> list[str]:
        """Returns the names of all machines but one."""
        return [m.name for m in self.cluster.machines if m.name != name]

    def routes_to(self, at: str, name: str) -> bool:
        """Whether the router at a node may choose another one."""
        member = self.members(at).get(name)
        if member is None or member["status"] not in ("alive", "suspect"):
            return False
        return bool(member["service"]) and not member["draining"]

    def command(self, text: str, node: str = "enrolment-1") -> render.View:
        """Gives an operator's command."""
        loaded = ctl_settings.CtlSettings(
            nodes=[self.machine(node).internal],
            operator_key=cluster_lib.OPERATOR_KEY,
            who="tester",
        )
        self.view = self.run(ctl.run(loaded, language.parse(text)))
        return self.view


def owner_of(ticket: str) -> str:
    """Returns the node that a ticket names."""
    payload = ticket.partition(".")[0]
    return orjson.loads(base64.urlsafe_b64decode(payload))[2]


def eventually(holds: Callable[[], bool], what: str) -> None:
    """Waits until something holds; how long it takes is not judged here."""
    until_s = time.monotonic() + PATIENCE_S
    while not _holds_now(holds):
        if time.monotonic() > until_s:
            raise AssertionError(f"still not so after {PATIENCE_S} s: {what}")
        time.sleep(0.1)


def until_nobody_routes_to(world: World, name: str) -> None:
    """Waits until no other node routes to one."""
    for other in world.others(name):
        eventually(
            lambda other=other: not world.routes_to(other, name),
            f"{other} no longer routes to {name}",
        )
    # Members are what is seen; routers follow them a moment later.
    time.sleep(_ROUTERS_FOLLOW_S)


def _holds_now(holds: Callable[[], bool]) -> bool:
    """A process that does not answer at the moment is asked again."""
    try:
        return holds()
    except OSError:
        return False
