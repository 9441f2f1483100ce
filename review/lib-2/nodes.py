"""Starts the project's nodes as the deploy file says, on loopback addresses."""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tomllib
from typing import Any

import http1

ROOT = pathlib.Path(__file__).resolve().parents[2]
_DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
_SETTINGS_WORD = "/etc/burdockfront/settings.json"
_PORTS = {
    "inbound": 8300,
    "app": 8301,
    "ready": 8302,
    "outbound": 8304,
    "control": 8306,
}
_METRICS_PORT = 9464

# The bounds of the small sites, and those of quotas from shifted/LATER.md.
BOUNDS = {
    "drain_s": 2,
    "grace_s": 6,
    "stable_window_s": 3,
    "config_apply_s": 2,
    "retry_budget_ratio": 0.2,
    "retry_slack": 47,
}


def free_network(count: int) -> list[str]:
    """Returns loopback addresses whose ports are free."""
    for _ in range(100):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        ips = [f"{prefix}.{n + 1}" for n in range(count)]
        if all(_is_free(ip) for ip in ips):
            return ips
    raise OSError("no free loopback addresses")


def _is_free(ip: str) -> bool:
    for port in (*_PORTS.values(), _METRICS_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


@dataclasses.dataclass(frozen=True)
class Place:
    """A machine: its addresses and the service beside it."""

    name: str
    ip: str
    zone: str
    service: str

    def address(self, port: str) -> str:
        """Returns the address of one of the ports."""
        return f"{self.ip}:{_PORTS[port]}"


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fills in a template, with the placeholders that DEPLOY.md names."""

    def value_of(path: str) -> Any:
        found: Any = fields
        for part in path.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match: re.Match[str]) -> str:
        return "" if value_of(match[1]) else match[2]

    def value(match: re.Match[str]) -> str:
        name, _, form = match[1].partition("|")
        found = value_of(name)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"{{\^([^}]+)}}(.*?){{/\1}}", section, template)
    return re.sub(r"{{([^}]+)}}", value, text)


class Node:
    """One node process.

    Args:
        place: Its machine.
        store_address: Address of the store.
        folder: Where its settings and logs go.
        bounds: The bounds of the deployment.
    """

    def __init__(
        self,
        place: Place,
        store_address: str,
        folder: pathlib.Path,
        bounds: dict[str, float],
    ):
        self.place = place
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self._folder = folder
        role = _DEPLOY["roles"]["node"]
        fields = {
            "node_name": place.name,
            "zone": place.zone,
            "region": "region-1",
            "ip": place.ip,
            "listen": {
                name: place.address(name)
                for name in ("inbound", "outbound", "ready", "control")
            },
            "limits": {"memory_mb": 300},
            "service": place.service,
            "app_addr": place.address("app"),
            "platform": {"address": store_address},
            "bounds": bounds,
        }
        self._settings = folder / f"{place.name}.json"
        template = (ROOT / role["template"]).read_text()
        self._settings.write_text(_render(template, fields))
        self._words = [
            str(self._settings) if word == _SETTINGS_WORD else word
            for word in role["run"].split()
        ]

    def start(self) -> None:
        """Starts the process."""
        self.starts += 1
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["BURDOCKFRONT_CONFIG"] = str(self._settings)
        log = self._folder / f"{self.place.name}-{self.starts}.log"
        with log.open("wb") as out:
            self.process = subprocess.Popen(
                self._words,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self, timeout_s: float) -> bool:
        """Waits for the end of the process; returns whether it ended."""
        assert self.process is not None
        for _ in range(int(timeout_s / 0.02)):
            if self.process.poll() is not None:
                return True
            await asyncio.sleep(0.02)
        return False

    async def is_ready(self) -> bool:
        """Asks the readiness check once."""
        try:
            address = self.place.address("ready")
            answer = await http1.ask(address, "GET", "/ready", {}, b"", 1.0)
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    async def until_ready(self, timeout_s: float = 30.0) -> None:
        """Waits until the node is ready.

        Raises:
            TimeoutError: It was not ready in time.
        """
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def kill(self) -> None:
        """Ends the process at once."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


def configuration(
    routes: list[dict[str, Any]],
    services: list[str],
    version: int = 12,
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    document: dict[str, Any] = {
        "version": f"{version:08x}",
        "virtual_hosts": [{"hostname": "site.example", "path_rules": routes}],
        "services": [
            {"name": name, "health_check_path": "/health"} for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_s": 5,
            "idle_timeout_s": 15,
        },
    }
    if tenants:
        document["tenants"] = tenants
    return document


def route(
    name: str, service: str, kind: str = "idempotent", **more: Any
) -> dict[str, Any]:
    """Returns a route for the prefix `/NAME/`."""
    return {
        "name": name,
        "prefix": f"/{name}/",
        "type": kind,
        "service": service,
        "timeout_s": 5,
        "target_latency_s": 1.5,
        "priority": 1,
        "max_attempts": 2,
        **more,
    }
