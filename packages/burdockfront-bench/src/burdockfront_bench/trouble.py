"""Brings the faults of a scenario about in time, fixed and drawn ones.

Drawn faults come at random times, of random kinds, at random machines, one
over another; a seed makes them come again the same. Two never hit one machine
at once, and at most half of a service is hit at once: with all of a service
gone there is nothing to measure.
"""

import asyncio
import dataclasses
import random
import time
from typing import Any

from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import faults
from burdockfront_bench import layouts
from burdockfront_bench import scenario as scenario_lib

# A replaced VM needs this long until it serves; then it may be hit again.
_SETTLE_S = 4.0
_ENDING = ("kill", "drain")
_NO_SERVICE = ("platform-down",)

Ledgers = dict[str, list[dict[str, Any]]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Hit:
    service: str
    number: int
    from_s: float
    to_s: float

    def overlaps(self, from_s: float, to_s: float) -> bool:
        return self.from_s < to_s and from_s < self.to_s


def draw(
    drawn: scenario_lib.DrawnFaults,
    services: list[layouts.Service],
    trigger_s: float,
    seed: int,
) -> list[scenario_lib.Fault]:
    """Returns faults that are all undone before the trigger ends."""
    rng = random.Random(seed)
    found: list[scenario_lib.Fault] = []
    hits: list[_Hit] = []
    at_s = 0.0
    while True:
        at_s += rng.expovariate(1 / drawn.every_s)
        to_s = at_s + rng.uniform(drawn.shortest_s, drawn.longest_s)
        if to_s + _SETTLE_S > trigger_s:
            return found
        kind = rng.choice(drawn.kinds)
        free = _free_machines(services, hits, at_s, to_s + _SETTLE_S)
        if not free:
            continue
        service, number = rng.choice(free)
        if kind not in _NO_SERVICE:
            hits.append(_Hit(service, number, at_s, to_s + _SETTLE_S))
        found.append(
            scenario_lib.Fault(
                kind=kind,
                service=service,
                first=number,
                begin_s=at_s,
                until_s=to_s,
            )
        )


def _free_machines(
    services: list[layouts.Service],
    hits: list[_Hit],
    from_s: float,
    to_s: float,
) -> list[tuple[str, int]]:
    now = [hit for hit in hits if hit.overlaps(from_s, to_s)]
    free = []
    for service in services:
        taken = {hit.number for hit in now if hit.service == service.name}
        if len(taken) >= service.upstreams // 2:
            continue
        free += [
            (service.name, number)
            for number in range(service.upstreams)
            if number not in taken
        ]
    return free


async def make(
    cluster: cluster_lib.Cluster,
    planned: list[scenario_lib.Fault],
    begin_s: float,
) -> Ledgers:
    """Brings faults about and undoes them.

    Args:
        cluster: The running system.
        planned: What goes wrong.
        begin_s: Wall clock time of the begin of the trigger.

    Returns:
        What backend servers that were ended had counted by then.
    """
    saved: Ledgers = {}
    await asyncio.gather(
        *(_one(cluster, fault, begin_s, saved) for fault in planned)
    )
    return saved


async def _one(
    cluster: cluster_lib.Cluster,
    fault: scenario_lib.Fault,
    begin_s: float,
    saved: Ledgers,
) -> None:
    assert fault.until_s is not None
    await asyncio.sleep(begin_s + fault.begin_s - time.time())
    if fault.kind in _ENDING:
        for machine in faults.machines_of(cluster, fault):
            ledger = await cluster.ledger(machine)
            saved.setdefault(fault.service, []).append({**ledger, "runs": {}})
    undo = await faults.begin(cluster, fault)
    await asyncio.sleep(begin_s + fault.until_s - time.time())
    await undo()
