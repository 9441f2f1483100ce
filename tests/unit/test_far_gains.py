"""Work stays where it is while all data centres are pressed alike.

Pattern: servers with three slots, six in each of six data centres, more work
than they can do. Figures: chances of an answer in time spread by about a
quarter from draw to draw, as they do while queues change; a shortage that is
worth a way gains a tenth or more (`routing`).
"""

import random

from burdockfront import far_gains

_LEAST_GAIN = 0.1
_DRAWS = 20_000
_SPREAD = 0.25


def _share_that_leaves(shortage: float, seed: int) -> float:
    rng = random.Random(seed)
    gains = far_gains.FarGains()
    left = 0
    for _ in range(_DRAWS):
        gained = rng.gauss(shortage, _SPREAD)
        left += gains.learn("fees", gained) > _LEAST_GAIN
    return left / _DRAWS


def test_hardly_any_call_leaves_for_chance_alone():
    # Judged draw by draw a third of all calls would leave, to meet queues that
    # are as long as those they left.
    draw_by_draw = sum(
        random.Random(seed).gauss(0.0, _SPREAD) > _LEAST_GAIN
        for seed in range(2_000)
    )
    assert draw_by_draw > 0.3 * 2_000
    assert _share_that_leaves(0.0, seed=1) < 0.12


def test_most_calls_leave_where_the_service_is_missing():
    assert _share_that_leaves(0.6, seed=1) > 0.9


def test_shortage_is_believed_within_a_few_calls():
    # All servers of a service in this data centre are lost in one moment.
    gains = far_gains.FarGains()
    for _ in range(100):
        gains.learn("fees", 0.0)
    believed = [gains.learn("fees", 0.8) for _ in range(5)]
    assert believed[-1] > 0.4


def test_first_call_is_judged_by_itself():
    assert far_gains.FarGains().learn("fees", 0.7) == 0.7


def test_services_that_are_gone_are_forgotten():
    gains = far_gains.FarGains()
    gains.learn("fees", 0.0)
    gains.keep_only({"catalogue"})
    assert gains.learn("fees", 0.7) == 0.7
