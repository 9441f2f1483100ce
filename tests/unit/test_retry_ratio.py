"""Tests of each node's part of the common bound on retries."""

import random

from burdockfront import allowance

_SLACK = 106.0
_NODES = 75


def _use_all(ratio: allowance.RetryRatio) -> int:
    used = 0
    while ratio.retry(0.0):
        used += 1
    return used


def test_nodes_that_start_at_once_stay_within_the_common_bound():
    # Each node starts before it knows its peers and assumes that there are few
    # of them. Then a store of answers is lost at once. Without the cut each
    # node would use the part of one node among sixteen.
    ratios = [allowance.RetryRatio(0.1, _SLACK / 2 / 16) for _ in range(_NODES)]
    for ratio in ratios:
        ratio.set_burst(_SLACK / 2 / _NODES)
    assert sum(_use_all(ratio) for ratio in ratios) <= _SLACK


def test_burst_below_one_still_permits_earned_retries():
    ratio = allowance.RetryRatio(0.1, 0.5)
    assert not ratio.retry(0.0)
    for _ in range(10):
        ratio.first_try(0.0)
    assert _use_all(ratio) == 1


def test_larger_burst_adds_no_tokens():
    ratio = allowance.RetryRatio(0.1, 2.0)
    assert _use_all(ratio) == 2
    ratio.set_burst(5.0)
    assert not ratio.retry(0.0)


def test_repeats_of_upper_layers_cost_tokens():
    # A middle layer repeats one request in five. Each of those makes its calls
    # again, which are repeats for the called service. With an independent ratio
    # in each layer, the deepest one would get twice the permitted repeats.
    ratio = allowance.RetryRatio(0.2, 1.0)
    retries = 0
    repeats = 0
    for number in range(2000):
        repeated = number % 5 == 0
        repeats += repeated
        ratio.first_try(number / 400, repeated)
        retries += ratio.retry(number / 400)
    assert retries + repeats <= 0.2 * 2000 + 24


def _succeeds(
    rng: random.Random,
    ratio: allowance.RetryRatio,
    priority: int,
    now_s: float,
) -> bool:
    """Whether a call succeeds at a service that refuses half of its calls."""
    ratio.first_try(now_s)
    for _ in range(7):
        if rng.random() < 0.5:
            return True
        if not ratio.retry(now_s, priority):
            return False
    return False


def test_scarce_retries_go_to_the_most_important_requests():
    # A service refuses half of its calls for some seconds, and each of 200
    # requests per second makes four calls of it. Granted first come first
    # served, the retries are spread over all requests, and most requests still
    # have a failed call: ten in a hundred succeed.
    rng = random.Random(7)
    ratio = allowance.RetryRatio(0.2, 2.0)
    urgent_succeeded = 0
    others_succeeded = 0
    for number in range(2000):
        urgent = number % 10 == 0
        priority = rng.randrange(256) + (0 if urgent else 512)
        now_s = number / 200
        succeeded = all(
            _succeeds(rng, ratio, priority, now_s) for _ in range(4)
        )
        urgent_succeeded += succeeded and urgent
        others_succeeded += succeeded and not urgent
    assert urgent_succeeded > 0.7 * 200
    assert others_succeeded < 0.2 * 1800


def test_level_opens_again_without_demand_for_retries():
    ratio = allowance.RetryRatio(0.2, 2.0)
    for _ in range(500):
        ratio.retry(0.0, priority=600)
    assert not ratio.retry(0.0, priority=600)
    for number in range(400):
        ratio.first_try(number / 100)
    assert ratio.retry(4.0, priority=600)


def test_retries_earned_in_a_busy_time_expire():
    # All nodes are killed and clients return slowly. Tokens earned in the busy
    # seconds before must not be used in a window that earned none.
    ratio = allowance.RetryRatio(0.2, 2.0)
    for number in range(5000):
        ratio.first_try(number / 1000)
    assert sum(ratio.retry(15.0) for _ in range(500)) <= 3
