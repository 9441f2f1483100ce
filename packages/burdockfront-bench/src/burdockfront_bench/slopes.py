"""Slopes for docs/CAPACITY.md: memory per item, processor time per call.

python -m burdockfront_bench.slopes
"""

import asyncio
import gc
import os
import pathlib
import random
import time
from collections.abc import Callable

import orjson
import uvloop

from burdockfront import ledger as ledger_lib
from burdockfront import members
from burdockfront import outcomes
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_bench import arrivals
from burdockfront_bench import callpath
from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts

_ITEMS = 20_000
_RATE_PER_S = 150.0
_DURATION_S = 10.0
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _rss_bytes() -> int:
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def _grown(make: Callable[[], object], items: int) -> float:
    gc.collect()
    before = _rss_bytes()
    kept = make()
    gc.collect()
    grown = (_rss_bytes() - before) / items
    del kept
    return grown


def _ledger() -> object:
    ledger = ledger_lib.Ledger("n1", "b1", 10**9)
    answer = outcomes.Answer(outcomes.Outcome.DONE, 200, body=b"x")
    for number in range(_ITEMS):
        nonce = f"some-node-{number:012x}"
        ledger.begin(tickets.Ticket(nonce, "s", "n1", "b1", 1e12), 0.0)
        ledger.hand_over(nonce)
        ledger.finish(nonce, answer)
    return ledger


def _events() -> object:
    recorder = timeline.Recorder("some-node", "dc1", _ITEMS)
    for number in range(_ITEMS):
        recorder.record(
            time.time(),
            "call.answered",
            f"some-node-{number:012x}",
            attempt=f"some-node-{number:012x}.other.{number}",
            service="s",
            class_name="browse",
            outcome="done",
            status=200,
            service_s=0.0123,
        )
    return recorder


def _member(number: int) -> members.Member:
    return members.Member(
        node_id=f"service-{number}",
        boot_id=f"{number:012x}",
        incarnation=1_790_000_000_000 + number,
        revision=3,
        status=members.Status.ALIVE,
        address=f"10.0.{number % 250}.7:7100",
        data_center=f"dc{number % 6}",
        region="region-1",
        service=f"s{number % 60}",
        slots=40,
    )


def _entry_bytes() -> int:
    return len(orjson.dumps(_member(1).to_entry().to_json()))


def _cpu_s(machine: layouts.Machine) -> float:
    assert machine.node_process is not None
    pid = machine.node_process.pid
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2]
    fields = stat.split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


async def _per_call() -> dict[str, float]:
    """Returns processor milliseconds per call of a router and of a guard."""
    async with cluster_lib.running(callpath.layout()) as cluster:
        front = cluster.of_service("front")[0]
        echo = cluster.of_service("echo")[0]
        url = f"http://{front.caller}/echo/echo"
        count = 0

        async def once() -> None:
            nonlocal count
            async with cluster.session.get(url) as response:
                await response.read()
            count += 1

        rng = random.Random(1)
        await arrivals.poisson(_RATE_PER_S, 2.0, rng, once)
        idle_before = (_cpu_s(front), _cpu_s(echo))
        await asyncio.sleep(_DURATION_S)
        before = (_cpu_s(front), _cpu_s(echo))
        count = 0
        await arrivals.poisson(_RATE_PER_S, _DURATION_S, rng, once)
        after = (_cpu_s(front), _cpu_s(echo))
    found = {}
    for index, role in enumerate(("router", "guard")):
        idle_s = before[index] - idle_before[index]
        busy_s = after[index] - before[index]
        found[role] = 1000 * (busy_s - idle_s) / count
    return found


def main() -> None:
    """Prints all slopes."""
    print(f"ledger entry, bytes: {_grown(_ledger, _ITEMS):.0f}")
    print(f"event, bytes: {_grown(_events, _ITEMS):.0f}")
    print(f"member entry as sent, bytes: {_entry_bytes()}")
    for role, cpu_ms in uvloop.run(_per_call()).items():
        print(f"{role}, processor ms per call: {cpu_ms:.2f}")


if __name__ == "__main__":
    main()
