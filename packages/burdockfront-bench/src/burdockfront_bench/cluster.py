"""Starts and ends a small system of real processes on this machine.

Only the bench and the tests start processes; the product starts none.
"""

import asyncio
import contextlib
import pathlib
import tempfile
import time
from typing import Any

import aiohttp
import orjson
import yaml

from burdockfront_bench import layouts
from burdockfront_bench import ports as ports_lib
from burdockfront_bench import processes as processes_lib
from burdockfront_bench.standins import proxy as proxy_lib

PEER_KEY = "bench-peer-key-0123456789"
OPERATOR_KEY = "bench-operator-key-01234567"
_START_PATIENCE_S = 60.0
_POLL_S = 0.1


class Cluster:
    """A running system.

    Args:
        layout: What to start.
        directory: Where settings and logs go.
    """

    def __init__(self, layout: layouts.Layout, directory: pathlib.Path):
        self.layout = layout
        self.directory = directory
        self.platform = ""
        self.platform_process: asyncio.subprocess.Process | None = None
        self._session: aiohttp.ClientSession | None = None
        self.proxies: dict[str, proxy_lib.FaultProxy] = {}
        self._advertised: dict[str, str] = {}
        self._helpers: list[asyncio.subprocess.Process] = []
        self._processes = processes_lib.Processes(directory)
        count = sum(service.upstreams for service in layout.services)
        ports = iter(ports_lib.free_ports(3 * count + 1))
        if layout.platform:
            self.platform = f"127.0.0.1:{next(ports)}"
        self.machines = layouts.machines_of(layout, ports)

    @property
    def session(self) -> aiohttp.ClientSession:
        """A client session for questions to the processes."""
        assert self._session is not None
        return self._session

    async def start(self) -> None:
        """Starts all processes and waits until everybody knows everybody."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        if self.platform:
            await self.start_platform()
        if self.layout.proxied:
            await self._start_proxies()
        for machine in self.machines:
            await self.start_node(machine)
        for machine in self.machines:
            if self.layout.with_backends:
                await self.start_backend(machine)
        await self.wait_until_known(len(self.machines))

    async def _start_proxies(self) -> None:
        ports = ports_lib.free_ports(len(self.machines))
        for machine, port in zip(self.machines, ports, strict=True):
            proxy = proxy_lib.FaultProxy(machine.internal)
            address = f"127.0.0.1:{port}"
            await proxy.start(address)
            self.proxies[machine.name] = proxy
            self._advertised[machine.name] = address

    async def start_platform(self) -> None:
        """Starts the platform stand-in."""
        self.platform_process = await self.spawn(
            "platform",
            "burdockfront_bench.standins.platform",
            "--address",
            self.platform,
        )

    async def start_node(self, machine: layouts.Machine) -> None:
        """Starts a node."""
        path = self.directory / f"{machine.name}.yaml"
        path.write_text(yaml.safe_dump(self.settings_of(machine)))
        machine.node_process = await self.spawn(
            f"{machine.name}.node",
            "burdockfront_node.main",
            "run",
            str(path),
        )

    async def start_backend(
        self, machine: layouts.Machine, **changes: Any
    ) -> None:
        """Starts a backend server."""
        service = self.service_of(machine)
        spec = {
            "service": service.name,
            "address": machine.backend,
            "node_caller": machine.caller,
            "node_internal": machine.internal,
            "peer_key": PEER_KEY,
            "slots": service.slots,
            "queue": service.queue,
            "routes": service.routes,
            "embedded": self.layout.embedded,
            "journal": str(self.journal_of(machine)),
            "seed": self.machines.index(machine) + 1,
            **changes,
        }
        path = self.directory / f"{machine.name}.json"
        path.write_bytes(orjson.dumps(spec))
        machine.backend_process = await self.spawn(
            f"{machine.name}.backend",
            "burdockfront_bench.standins.backend",
            str(path),
        )

    def journal_of(self, machine: layouts.Machine) -> pathlib.Path:
        """Returns where runs of confirmations beside a node are noted."""
        return self.directory / f"{machine.name}.runs"

    def service_of(self, machine: layouts.Machine) -> layouts.Service:
        """Returns the service of a machine."""
        return next(
            s for s in self.layout.services if s.name == machine.service
        )

    def settings_of(self, machine: layouts.Machine) -> dict[str, Any]:
        """Returns the settings of a node."""
        seeds = [
            self._advertised.get(m.name, m.internal)
            for m in self.machines[:3]
            if m is not machine
        ]
        settings: dict[str, Any] = {
            "node_id": machine.name,
            "data_center": machine.data_center,
            "region": machine.region,
            "caller_address": machine.caller,
            "internal_address": machine.internal,
            "peer_keys": [PEER_KEY],
            "operator_keys": [OPERATOR_KEY],
            "seeds": seeds,
            "gossip": {"period_s": 0.5},
            "drain": {"notice_s": 0.7, "linger_s": 0.3},
            **self.layout.node_settings,
        }
        if self.layout.source_ips:
            number = self.layout.data_centers.index(machine.data_center)
            settings["source_ip"] = f"127.0.0.{number + 2}"
        if machine.name in self._advertised:
            settings["advertised_address"] = self._advertised[machine.name]
        if self.platform:
            settings["platform"] = {
                "address": self.platform,
                "watch_s": 5.0,
                "rate_per_s": 5.0,
            }
        return settings

    def machine(self, name: str) -> layouts.Machine:
        """Returns a machine by name."""
        return next(m for m in self.machines if m.name == name)

    def of_service(self, service: str) -> list[layouts.Machine]:
        """Returns the machines of a service."""
        return [m for m in self.machines if m.service == service]

    async def operator(
        self, machine: layouts.Machine, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        """Asks a node as an operator."""
        return await self.ask(
            machine.internal, f"/operator/{path}", message, OPERATOR_KEY
        )

    async def ask(
        self, address: str, path: str, message: dict[str, Any], key: str
    ) -> dict[str, Any]:
        """Sends a JSON message and returns the answer."""
        async with self.session.post(
            f"http://{address}{path}",
            data=orjson.dumps(message),
            headers={"Authorization": f"Bearer {key}"},
            timeout=aiohttp.ClientTimeout(total=10.0),
        ) as response:
            answer: dict[str, Any] = orjson.loads(await response.read())
            return answer

    async def waiting_watches(self) -> int:
        """Returns how many watches wait at the platform stand-in now."""
        async with self.session.get(
            f"http://{self.platform}/waiting"
        ) as response:
            return int(orjson.loads(await response.read())["watches"])

    async def control_platform(self, **faults: Any) -> None:
        """Sets faults of the platform stand-in."""
        await self.ask(self.platform, "/control", faults, "")

    async def control_backend(
        self, machine: layouts.Machine, **wanted: Any
    ) -> None:
        """Changes the behaviour of a backend server."""
        await self.ask(machine.backend, "/_control", wanted, "")

    async def ledger(self, machine: layouts.Machine) -> dict[str, Any]:
        """Returns counts and runs of a backend server."""
        async with self.session.get(
            f"http://{machine.backend}/_ledger",
            timeout=aiohttp.ClientTimeout(total=5.0),
        ) as response:
            document: dict[str, Any] = orjson.loads(await response.read())
            return document

    async def start_helper(self, name: str, *arguments: str) -> None:
        """Starts another process and waits until its port answers."""
        self._helpers.append(await self.spawn(name, *arguments))
        address = arguments[arguments.index("--address") + 1]
        host, _, port = address.rpartition(":")
        until_s = time.monotonic() + _START_PATIENCE_S
        while time.monotonic() < until_s:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(_POLL_S)
                continue
            writer.close()
            return
        raise TimeoutError(f"{name} does not answer at {address}.")

    async def wait_until_known(self, count: int) -> None:
        """Waits until every node is ready and knows `count` members."""
        until_s = time.monotonic() + _START_PATIENCE_S
        missing = list(self.machines)
        while missing:
            missing = [m for m in missing if not await self._knows(m, count)]
            if not missing:
                return
            if time.monotonic() > until_s:
                names = ", ".join(m.name for m in missing)
                raise TimeoutError(
                    f"nodes not ready: {names}; read their logs in "
                    f"{self.directory}."
                )
            await asyncio.sleep(_POLL_S)

    async def _knows(self, machine: layouts.Machine, count: int) -> bool:
        try:
            status = await self.operator(machine, "status", {})
            known = await self.operator(machine, "members", {})
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        alive = [
            m
            for m in known["members"]
            if m["status"] == "alive"
            and (m["service"] or not self.layout.with_backends)
        ]
        return bool(status["ready"]) and len(alive) >= count

    async def stop(self) -> None:
        """Ends everything that this cluster started."""
        if self._session is not None:
            await self._session.close()
        for proxy in self.proxies.values():
            await proxy.stop()
        processes = [self.platform_process, *self._helpers]
        for machine in self.machines:
            processes += [machine.backend_process, machine.node_process]
        await self._processes.end(processes)

    async def spawn(
        self, name: str, module: str, *arguments: str
    ) -> asyncio.subprocess.Process:
        """Starts a module as a process that logs to a file."""
        return await self._processes.spawn(name, module, *arguments)


@contextlib.asynccontextmanager
async def running(layout: layouts.Layout) -> Any:
    """Starts a cluster and ends it whatever happens."""
    with tempfile.TemporaryDirectory(prefix="burdockfront-") as name:
        cluster = Cluster(layout, pathlib.Path(name))
        try:
            await cluster.start()
            yield cluster
        finally:
            await cluster.stop()
