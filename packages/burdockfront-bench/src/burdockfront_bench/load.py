"""A load process: open-loop arrivals in phases, results as JSON.

python -m burdockfront_bench.load load.json
"""

import asyncio
import dataclasses
import pathlib
import random
import time

import aiohttp
import cyclopts
import orjson
import uvloop

from burdockfront_bench import arrivals
from burdockfront_bench import callers


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A stretch of constant load.

    Attributes:
        rate_per_s: Mean arrival rate.
        duration_s: Its length.
        repeats: How often callers repeat at once when they fail.
    """

    rate_per_s: float
    duration_s: float
    repeats: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What one load process does.

    Attributes:
        name: Prefix of request ids.
        entries: Callers' ports of all nodes.
        mix: Kinds of requests.
        phases: One after the other.
        deadline_s: Patience of a caller.
        start_at_s: Wall clock time of the start, the same for all.
        seed: Seed of arrivals and choices.
        output: Where results go.
    """

    name: str
    entries: list[str]
    mix: list[callers.Kind]
    phases: list[Phase]
    deadline_s: float
    start_at_s: float
    seed: int
    output: str


async def run(load: Load) -> list[callers.Result]:
    """Runs the load and returns a result per whole request."""
    rng = random.Random(load.seed)
    weights = [kind.weight for kind in load.mix]
    results: list[callers.Result] = []
    await asyncio.sleep(max(0.0, load.start_at_s - time.time()))
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        cookie_jar=aiohttp.DummyCookieJar(),
    ) as session:
        begun_s = time.monotonic()
        endings = []
        offset_s = 0.0
        for phase in load.phases:
            caller = callers.Caller(session, load.deadline_s, phase.repeats)

            async def start(caller: callers.Caller = caller) -> None:
                kind = rng.choices(load.mix, weights)[0]
                result = callers.Result(
                    kind.name,
                    f"{load.name}-{len(results):08d}",
                    time.monotonic() - begun_s,
                )
                results.append(result)
                addresses = rng.sample(load.entries, min(4, len(load.entries)))
                await caller.ask(addresses, kind, result)

            offset_s += phase.duration_s
            endings.append(
                asyncio.create_task(
                    arrivals.poisson(
                        phase.rate_per_s, phase.duration_s, rng, start
                    )
                )
            )
            await asyncio.sleep(begun_s + offset_s - time.monotonic())
        await asyncio.gather(*endings)
    return results


def load_from_json(data: dict[str, object]) -> Load:
    """Reads a load from JSON."""
    fields = dict(data)
    fields["mix"] = [callers.Kind(**k) for k in data["mix"]]  # type: ignore
    fields["phases"] = [Phase(**p) for p in data["phases"]]  # type: ignore
    return Load(**fields)  # type: ignore[arg-type]


app = cyclopts.App(help=__doc__)


@app.default
def main(path: pathlib.Path) -> None:
    """Runs a load.

    Args:
        path: JSON file of a `Load`.
    """
    load = load_from_json(orjson.loads(path.read_bytes()))
    results = uvloop.run(run(load))
    document = [dataclasses.asdict(result) for result in results]
    pathlib.Path(load.output).write_bytes(orjson.dumps(document))


if __name__ == "__main__":
    app()
