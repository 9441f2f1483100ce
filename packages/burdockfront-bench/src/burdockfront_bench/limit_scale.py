"""How often routers are refused for one limited server, by their number.

    python -m burdockfront_bench.limit_scale 14 140 940

The product's routers and bucket, without a network and in virtual time: each
router sends at random moments, and has one other guard to go to.
"""

import dataclasses
import heapq
import random

import cyclopts

from burdockfront import guards
from burdockfront import rate_limits
from burdockfront import routing

_LIMIT_PER_S = 6.5
_SETTLED_S = 20.0
_LENGTH_S = 40.0
_SLOTS = 40
_SERVICE = "limited"

app = cyclopts.App(help=__doc__)


@dataclasses.dataclass(slots=True)
class Tally:
    """Calls at the limited guard, in the first seconds and after them."""

    refused_first: int = 0
    refused: int = 0
    taken: int = 0


def _a_router(seed: int) -> routing.Router:
    router = routing.Router("dc1", random.Random(seed))
    router.update(
        guards.Target(name, name, _SERVICE, name, "dc1", _SLOTS)
        for name in ("limited", "other")
    )
    return router


def measure(routers: int, calls_per_s: float, seed: int = 1) -> Tally:
    """Returns what one limited server is asked.

    Args:
        routers: How many.
        calls_per_s: Of each router, to both servers together.
        seed: Of all moments.
    """
    rng = random.Random(seed)
    rate = rate_limits.RateLimit()
    rate.set_limit(_LIMIT_PER_S, 0.0)
    all_routers = [_a_router(number) for number in range(routers)]
    due = [(rng.expovariate(calls_per_s), n) for n in range(routers)]
    heapq.heapify(due)
    tally = Tally()
    while due[0][0] < _LENGTH_S:
        now_s, number = due[0]
        following_s = now_s + rng.expovariate(calls_per_s)
        heapq.heapreplace(due, (following_s, number))
        _call(all_routers[number], rate, now_s, tally)
    return tally


def _call(
    router: routing.Router,
    rate: rate_limits.RateLimit,
    now_s: float,
    tally: Tally,
) -> None:
    target = router.choose(_SERVICE, frozenset(), now_s)
    if target is None or target.node_id != "limited":
        return
    settled = now_s >= _SETTLED_S
    if rate.take(now_s):
        tally.taken += settled
        return
    router.record_limited("limited", rate.record_refusal(), now_s)
    tally.refused += settled
    tally.refused_first += not settled


@app.default
def main(*routers: int) -> None:
    """Prints a row for each number of routers and two rates of calls."""
    for count in routers or (14, 140, 940):
        for calls_per_s in (0.5, 2.0):
            tally = measure(count, calls_per_s)
            settled_s = _LENGTH_S - _SETTLED_S
            print(
                f"{count} routers, {count * calls_per_s:.0f} calls/s: "
                f"{tally.refused_first} refused in the first "
                f"{_SETTLED_S:.0f} s, then {tally.refused / settled_s:.1f}/s, "
                f"taken {tally.taken / settled_s:.1f}/s of {_LIMIT_PER_S}",
                flush=True,
            )


if __name__ == "__main__":
    app()
