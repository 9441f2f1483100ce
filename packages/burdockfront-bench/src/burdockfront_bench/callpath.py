"""Measures what burdockfront adds to a call.

Five ways to the same backend server, calls interleaved at random in one run,
so that the machine's noise hits all of them alike:

* direct: no burdockfront
* bare relay: one relay of the same libraries that decides nothing
* own node: plain HTTP to the node beside the backend server, one relay
* embedded: the router in the caller, one relay
* two relays: plain HTTP to another node, which relays to the guard
"""

import dataclasses
import random
import time

import uvloop
from hdrh import histogram

from burdockfront import allowance
from burdockfront import context as context_lib
from burdockfront_bench import arrivals
from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts
from burdockfront_bench import ports
from burdockfront_client import calls
from burdockfront_client import embedded

_WAYS = ("direct", "bare relay", "own node", "embedded", "two relays")
_MOST_US = 10_000_000
_WARM_UP_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of the result, in milliseconds."""

    rate_per_s: float
    way: str
    count: int
    p50_ms: float
    p99_ms: float
    added_p50_ms: float
    added_p99_ms: float


def layout() -> layouts.Layout:
    """Returns a service that echoes, and another one to enter at."""
    echo = {"GET /echo": {"work_s": 0.0, "calls": []}}
    return layouts.Layout(
        services=[
            layouts.Service("front", 1, 64, echo, 64),
            layouts.Service("echo", 1, 64, echo, 64),
        ],
        platform=False,
    )


class _Caller:
    """Makes one call by a way drawn at random and notes its time."""

    def __init__(
        self,
        cluster: cluster_lib.Cluster,
        router: embedded.EmbeddedRouter,
        relay: str,
        rng: random.Random,
    ):
        front = cluster.of_service("front")[0]
        echo = cluster.of_service("echo")[0]
        self._urls = {
            "direct": f"http://{echo.backend}/echo",
            "bare relay": f"http://{relay}/echo",
            "own node": f"http://{echo.caller}/echo/echo",
            "two relays": f"http://{front.caller}/echo/echo",
        }
        self._session = cluster.session
        self._router = router
        self._rng = rng
        self.times = {
            way: histogram.HdrHistogram(1, _MOST_US, 3) for way in _WAYS
        }

    async def once(self) -> None:
        """Makes one call."""
        way = self._rng.choice(_WAYS)
        started_s = time.perf_counter()
        if way == "embedded":
            await self._embedded()
        else:
            await self._plain(self._urls[way])
        spent_s = time.perf_counter() - started_s
        self.times[way].record_value(int(spent_s * 1e6))

    async def _plain(self, url: str) -> None:
        async with self._session.get(url) as response:
            await response.read()
            assert response.status == 200, response.status

    async def _embedded(self) -> None:
        request_id = self._router.dispatcher.new_id()
        context = context_lib.RequestContext(
            request_id, request_id, "browse", 1, 0, 0, 2.0, 0
        )
        answer = await self._router.dispatcher.call(
            calls.Call(
                service="echo",
                method="GET",
                target="/echo",
                headers=(),
                body=b"",
                context=context,
                deadline_s=time.monotonic() + 2.0,
                pool=allowance.AllowancePool(0),
            )
        )
        assert answer.status == 200, answer


async def measure(
    rates_per_s: list[float], duration_s: float, seed: int
) -> list[Row]:
    """Runs all ways at each rate and returns the rows."""
    rows: list[Row] = []
    async with cluster_lib.running(layout()) as cluster:
        echo = cluster.of_service("echo")[0]
        router = embedded.EmbeddedRouter(
            "bench-caller", "dc1", [cluster_lib.PEER_KEY], echo.internal
        )
        await router.refresh()
        relay = f"127.0.0.1:{ports.free_ports(1)[0]}"
        await cluster.start_helper(
            "relay",
            "burdockfront_bench.standins.bare_relay",
            "--address",
            relay,
            "--target",
            echo.backend,
        )
        for rate_per_s in rates_per_s:
            rng = random.Random(seed)
            warm = _Caller(cluster, router, relay, rng)
            await arrivals.poisson(rate_per_s, _WARM_UP_S, rng, warm.once)
            caller = _Caller(cluster, router, relay, rng)
            await arrivals.poisson(rate_per_s, duration_s, rng, caller.once)
            rows += _rows(rate_per_s, caller)
        await router.close()
    return rows


def _rows(rate_per_s: float, caller: _Caller) -> list[Row]:
    direct = caller.times["direct"]
    rows = []
    for way in _WAYS:
        times = caller.times[way]
        p50_ms = times.get_value_at_percentile(50) / 1000
        p99_ms = times.get_value_at_percentile(99) / 1000
        rows.append(
            Row(
                rate_per_s,
                way,
                times.total_count,
                p50_ms,
                p99_ms,
                p50_ms - direct.get_value_at_percentile(50) / 1000,
                p99_ms - direct.get_value_at_percentile(99) / 1000,
            )
        )
    return rows


def table(rows: list[Row]) -> str:
    """Returns the rows as a Markdown table."""
    lines = [
        "| calls/s | way | calls | p50 ms | p99 ms | + p50 | + p99 |",
        "|---|---|---|---|---|---|---|",
    ]
    for r in rows:
        lines.append(
            f"| {r.rate_per_s:.0f} | {r.way} | {r.count} | {r.p50_ms:.2f} | "
            f"{r.p99_ms:.2f} | {r.added_p50_ms:.2f} | {r.added_p99_ms:.2f} |"
        )
    return "\n".join(lines)


async def _main() -> None:
    print(table(await measure([60, 200, 400], 15.0, seed=1)))


if __name__ == "__main__":
    uvloop.run(_main())
