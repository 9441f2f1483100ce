"""Faults that a scenario can bring about; variants by registry."""

import asyncio
import signal
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import registry
from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts
from burdockfront_bench import scenario as scenario_lib

FAULTS = registry.Registry("fault")

Undo = Callable[[], Awaitable[None]]


async def begin(
    cluster: cluster_lib.Cluster, fault: scenario_lib.Fault
) -> Undo:
    """Brings a fault about and returns what undoes it."""
    machines = machines_of(cluster, fault)
    make = FAULTS.get(fault.kind)
    undo: Undo = await make(cluster, machines, fault)
    return undo


def machines_of(
    cluster: cluster_lib.Cluster, fault: scenario_lib.Fault
) -> list[layouts.Machine]:
    """Returns the machines that a fault hits."""
    machines = cluster.of_service(fault.service)
    return machines[fault.first : fault.first + fault.count]


@FAULTS.register("slow")
async def slow(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """Backend servers work slower by a factor."""
    for machine in machines:
        await cluster.control_backend(machine, slow=fault.factor)

    async def undo() -> None:
        for machine in machines:
            await cluster.control_backend(machine, slow=1.0)

    return undo


@FAULTS.register("freeze")
async def freeze(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """Backend servers stop, with open connections, and wake up later."""
    for machine in machines:
        _signal(machine.backend_process, signal.SIGSTOP)

    async def undo() -> None:
        for machine in machines:
            _signal(machine.backend_process, signal.SIGCONT)

    return undo


@FAULTS.register("freeze-node")
async def freeze_node(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """Nodes stop, with queued work, and wake up later."""
    for machine in machines:
        _signal(machine.node_process, signal.SIGSTOP)

    async def undo() -> None:
        for machine in machines:
            _signal(machine.node_process, signal.SIGCONT)

    return undo


@FAULTS.register("kill")
async def kill(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """Whole VMs die; new ones come in their place, cold."""
    for machine in machines:
        _signal(machine.backend_process, signal.SIGKILL)
        _signal(machine.node_process, signal.SIGKILL)

    async def undo() -> None:
        for machine in machines:
            await cluster.start_node(machine)
            await cluster.start_backend(machine, cold=True)

    return undo


@FAULTS.register("drain")
async def drain(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """Backend servers leave as planned; cold ones come later."""
    for machine in machines:
        _signal(machine.backend_process, signal.SIGTERM)

    async def undo() -> None:
        for machine in machines:
            if machine.backend_process is not None:
                await machine.backend_process.wait()
            await cluster.start_backend(machine, cold=True)

    return undo


@FAULTS.register("lie")
async def lie(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """Backend servers claim many slots and no load."""
    for machine in machines:
        await cluster.control_backend(
            machine, lied_load=0.0, lied_slots=fault.slots
        )

    async def undo() -> None:
        for machine in machines:
            slots = cluster.service_of(machine).slots
            await cluster.control_backend(machine, lied_slots=slots)

    return undo


@FAULTS.register("silence")
async def silence(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """Open connections to the nodes go silent; new ones work."""
    for machine in machines:
        cluster.proxies[machine.name].silence_open_connections()

    async def undo() -> None:
        pass

    return undo


@FAULTS.register("unreachable")
async def unreachable(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """Other nodes reach these no more; their callers and backends do."""
    for machine in machines:
        proxy = cluster.proxies[machine.name]
        proxy.rules.refuse = True
        proxy.cut_open_connections()

    async def undo() -> None:
        for machine in machines:
            cluster.proxies[machine.name].rules.refuse = False

    return undo


@FAULTS.register("platform-down")
async def platform_down(
    cluster: cluster_lib.Cluster,
    machines: list[layouts.Machine],
    fault: scenario_lib.Fault,
) -> Undo:
    """The platform's service answers nothing."""
    await cluster.control_platform(down=True)

    async def undo() -> None:
        await cluster.control_platform(down=False)

    return undo


def _signal(process: object, number: signal.Signals) -> None:
    if isinstance(process, asyncio.subprocess.Process):
        process.send_signal(number)
