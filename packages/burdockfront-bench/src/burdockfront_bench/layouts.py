"""What a bench cluster consists of: services, and machines that run them."""

import asyncio
import dataclasses
import itertools
from collections.abc import Iterator
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service of the call graph.

    Attributes:
        name: Its name.
        upstreams: Number of backend servers.
        slots: Slots of each.
        queue: Requests that may wait inside a backend server.
        routes: By "METHOD /path": own work and deeper calls.
    """

    name: str
    upstreams: int
    slots: int
    routes: dict[str, dict[str, Any]]
    queue: int = 8


@dataclasses.dataclass(slots=True)
class Machine:
    """A stand-in of a VM: a node and its backend server."""

    name: str
    service: str
    data_center: str
    region: str
    caller: str
    internal: str
    backend: str
    node_process: asyncio.subprocess.Process | None = None
    backend_process: asyncio.subprocess.Process | None = None


@dataclasses.dataclass(slots=True)
class Layout:
    """What to start.

    Attributes:
        services: Services of the call graph.
        data_centers: Machines are spread over these in turn.
        regions: Region by data centre.
        platform: Whether there is a platform stand-in.
        embedded: Backend servers embed the router.
        with_backends: Whether backend servers run, or only nodes.
        node_settings: More settings for all nodes.
        proxied: Nodes reach each other through fault-injecting proxies.
        source_ips: Each data centre connects from an IP number of its own,
            so that a proxy can tell them apart.
    """

    services: list[Service]
    data_centers: list[str] = dataclasses.field(default_factory=lambda: ["dc1"])
    regions: dict[str, str] = dataclasses.field(default_factory=dict)
    platform: bool = True
    embedded: bool = False
    with_backends: bool = True
    node_settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    proxied: bool = False
    source_ips: bool = False


def machines_of(layout: Layout, ports: Iterator[int]) -> list[Machine]:
    """Returns the machines of a layout, spread over its data centres in turn.

    Args:
        layout: What to start.
        ports: Free ports, at least three for each machine.
    """
    machines = []
    centers = itertools.cycle(layout.data_centers)
    for service in layout.services:
        for number in range(service.upstreams):
            center = next(centers)
            machines.append(
                Machine(
                    f"{service.name}-{number + 1}",
                    service.name,
                    center,
                    layout.regions.get(center, "r1"),
                    caller=f"127.0.0.1:{next(ports)}",
                    internal=f"127.0.0.1:{next(ports)}",
                    backend=f"127.0.0.1:{next(ports)}",
                )
            )
    return machines
