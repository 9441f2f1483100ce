"""Property test: the retries of all nodes together stay within the bound.

In any window of ten seconds, operators allow a share of the requests plus a
fixed number. The share refers to the requests in that window, in the window
before it, or in the window half a length earlier, whichever is highest. Nodes
know nothing of each other except their number. Incidents begin and end at any
moment, requests go to few or to all nodes, and some of the requests are
themselves repeats by upper layers.
"""

import dataclasses
import random

import hypothesis
import numpy
from hypothesis import strategies

from burdockfront import allowance

_RATIO = 0.2
# Share of the ratio that nodes use; see `retry_decisions`.
_USED = 0.9
_WINDOW_S = 10.0
_STEP_S = 0.25
_STEPS = int(_WINDOW_S / _STEP_S)
# Number of nodes and fixed number of retries: a demo with two nodes, and the
# sizes of deployments.
_DEPLOYMENTS = ((2, 24.0), (12, 47.0), (75, 106.0), (194, 213.0))


@dataclasses.dataclass(frozen=True, slots=True)
class _Phase:
    """A period of constant load.

    Attributes:
        steps: Length in steps.
        per_s: Requests per second, over all nodes.
        wanted: Retries that each request asks for.
        repeated: Share of requests that are repeats by upper layers.
        spread: Share of the nodes that get requests.
    """

    steps: int
    per_s: float
    wanted: int = 0
    repeated: float = 0.0
    spread: float = 1.0


_CALM = strategies.builds(
    _Phase, strategies.integers(20, 60), strategies.sampled_from([100.0, 400.0])
)
_QUIET = strategies.builds(
    _Phase, strategies.integers(4, 60), strategies.sampled_from([0.0, 4.0])
)
_INCIDENT = strategies.builds(
    _Phase,
    strategies.integers(4, 60),
    strategies.sampled_from([20.0, 100.0, 400.0]),
    strategies.integers(1, 4),
    strategies.sampled_from([0.0, 0.1, 0.5]),
    strategies.sampled_from([0.05, 0.5, 1.0]),
)
_PHASES = strategies.lists(_CALM | _QUIET | _INCIDENT, min_size=1, max_size=5)


def _play(
    phases: list[_Phase], nodes: int, slack: float, seed: int
) -> tuple[list[int], list[int]]:
    """Returns the number of first tries and of retries in each step."""
    rng = random.Random(seed)
    burst = slack / 2 / max(16, nodes)
    ratios = [allowance.RetryRatio(_RATIO * _USED, burst) for _ in range(nodes)]
    requests: list[int] = []
    retries: list[int] = []
    now_s = 0.0
    for phase in phases:
        busy = ratios[: max(1, int(phase.spread * nodes))]
        for _ in range(phase.steps):
            now_s += _STEP_S
            count = int(phase.per_s * _STEP_S + rng.random())
            requests.append(count)
            retries.append(0)
            for _ in range(count):
                ratio = rng.choice(busy)
                repeated = rng.random() < phase.repeated
                ratio.first_try(now_s, repeated)
                for _ in range(phase.wanted):
                    retries[-1] += ratio.retry(now_s)
    return requests, retries


def _sums(values: list[int], steps: int) -> numpy.ndarray:
    """Returns the sum over the last `steps` values, for each index."""
    total = numpy.cumsum([0, *values])
    ends = numpy.arange(1, len(total))
    return total[ends] - total[numpy.maximum(0, ends - steps)]


def _shifted(values: numpy.ndarray, steps: int) -> numpy.ndarray:
    """Returns the values delayed by a number of steps."""
    padded = numpy.concatenate([numpy.zeros(steps, int), values])
    return padded[: len(values)]


@hypothesis.settings(max_examples=60, deadline=None)
@hypothesis.given(
    phases=_PHASES,
    place=strategies.sampled_from(_DEPLOYMENTS),
    seed=strategies.integers(0, 2**32),
)
def test_retries_of_all_nodes_stay_within_the_share_in_every_window(
    phases, place, seed
):
    nodes, slack = place
    requests, retries = _play(phases, nodes, slack, seed)
    asked = _sums(requests, _STEPS)
    most_asked = numpy.maximum.reduce(
        [asked, _shifted(asked, _STEPS // 2), _shifted(asked, _STEPS)]
    )
    allowed = _RATIO * most_asked + slack
    assert (_sums(retries, _STEPS) <= allowed).all()
