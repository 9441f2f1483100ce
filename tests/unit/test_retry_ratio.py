"""The part of a common bound on retries that each node takes."""

from burdockfront import allowance

_SLACK = 106.0
_NODES = 75


def _spend_all(ratio: allowance.RetryRatio) -> int:
    spent = 0
    while ratio.retry():
        spent += 1
    return spent


def test_nodes_that_start_at_once_spend_no_more_than_all_may():
    # Each node starts before it knows the others and assumes that they are
    # few. Then a store of answers is lost at once. Without the cut each of
    # them would spend the part of one among sixteen.
    ratios = [allowance.RetryRatio(0.1, _SLACK / 2 / 16) for _ in range(_NODES)]
    for ratio in ratios:
        ratio.set_burst(_SLACK / 2 / _NODES)
    assert sum(_spend_all(ratio) for ratio in ratios) <= _SLACK


def test_part_below_one_still_lets_earned_retries_through():
    ratio = allowance.RetryRatio(0.1, 0.5)
    assert not ratio.retry()
    for _ in range(10):
        ratio.first_try()
    assert _spend_all(ratio) == 1


def test_larger_part_is_not_spent_twice():
    ratio = allowance.RetryRatio(0.1, 2.0)
    assert _spend_all(ratio) == 2
    ratio.set_burst(5.0)
    assert not ratio.retry()
