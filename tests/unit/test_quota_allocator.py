"""Which tokens the quota allocator grants now, and which it promises."""

import random

import pytest

from burdockfront import quota_allocator
from burdockfront import quotas
from tests import quota_model

_NODES = 3


def _allocator(
    rate_per_s: float, depth: float
) -> quota_allocator.QuotaAllocator:
    """Returns an allocator that all nodes report to, with empty buckets."""
    limits = quota_model.Limits(rate_per_s, depth)
    allocator = quota_allocator.QuotaAllocator(limits)
    for number in range(_NODES):
        allocator.on_report(quotas.Report(f"n{number}"), _NODES, 0.0)
    return allocator


def _ask(
    allocator: quota_allocator.QuotaAllocator,
    node: int,
    now_s: float,
    max_wait_s: float = 1.0,
    count: int = 1,
    rank: int = 0,
) -> quotas.TokenGrant:
    request = quotas.TokenRequest(quota_model.ACCOUNT, rank, count, max_wait_s)
    report = quotas.Report(f"n{node}", (), (request,))
    return allocator.on_report(report, _NODES, now_s).grants[0]


def test_requests_that_wait_at_several_nodes_get_tokens_of_their_own():
    """Guards against one token that is promised to all who wait for it."""
    allocator = _allocator(10.0, 10.0)
    grants = [_ask(allocator, node, 0.0) for node in range(_NODES)]
    assert [grant.promised for grant in grants] == [1, 1, 1]
    waits_s = [grant.wait_s for grant in grants]
    assert waits_s == pytest.approx([0.1, 0.2, 0.3])


def test_requests_that_wait_at_one_node_get_tokens_one_after_the_other():
    grant = _ask(_allocator(10.0, 10.0), 0, 0.0, count=4)
    assert (grant.count, grant.promised) == (0, 4)
    assert grant.wait_s == pytest.approx(0.1)
    assert grant.interval_s == pytest.approx(0.1)
    assert grant.next_wait_s == pytest.approx(0.5)


def test_no_token_is_promised_beyond_the_wait_of_a_request():
    """Guards against requests that wait longer than their caller can."""
    allocator = _allocator(10.0, 10.0)
    grant = _ask(allocator, 0, 0.0, max_wait_s=0.25, count=9)
    assert grant.promised == 2
    refused = _ask(allocator, 1, 0.0, max_wait_s=0.25)
    assert refused.promised == 0
    assert refused.wait_s == pytest.approx(0.3)


def test_no_token_is_promised_far_ahead():
    """Guards against queues of requests far over their limit."""
    allocator = _allocator(10.0, 10.0)
    grant = _ask(allocator, 0, 0.0, max_wait_s=60.0, count=500)
    assert grant.promised == 10.0 * quotas.MAX_TOKEN_WAIT_S


def test_request_that_cannot_wait_is_promised_nothing():
    """Guards against tokens for nodes that do not know of promises."""
    allocator = _allocator(10.0, 10.0)
    grant = _ask(allocator, 0, 0.0, max_wait_s=0.0)
    assert (grant.count, grant.promised) == (0, 0)
    assert _ask(allocator, 1, 0.1, max_wait_s=0.0).count == 1


def test_promised_tokens_are_not_granted_again():
    """Guards against admissions beyond the quota."""
    allocator = _allocator(10.0, 10.0)
    admitted = _ask(allocator, 0, 0.0, count=10).promised
    for hundredth in range(100):
        admitted += _ask(allocator, 1, hundredth / 100.0, 0.0).count
    assert admitted == 10


def test_listings_that_wait_leave_tokens_to_a_confirmation():
    """Guards against confirmations refused for tokens promised to listings."""
    allocator = _allocator(10.0, 10.0)
    for _ in range(20):
        _ask(allocator, 0, 0.0, max_wait_s=0.15, rank=2)
    assert _ask(allocator, 1, 0.0, max_wait_s=0.375).promised == 1


def test_tokens_held_back_are_waited_for_no_longer_than_the_next_reports():
    """Guards against seconds of refusals for usage that is known soon."""
    allocator = _allocator(0.5, 10.0)
    for half in range(1, 17):
        for node in range(_NODES):
            allocator.on_report(quotas.Report(f"n{node}"), _NODES, half / 2.0)
    usage = quotas.Usage(quota_model.ACCOUNT, 3)
    allocator.on_report(quotas.Report("n0", (usage,)), _NODES, 8.2)
    assert 1.0 <= allocator.level_of(quota_model.ACCOUNT) < 2.0
    refused = _ask(allocator, 0, 8.3, max_wait_s=0.1)
    assert refused.count == 0
    assert 0.1 < refused.wait_s <= 0.6
    for node in range(1, _NODES):
        allocator.on_report(quotas.Report(f"n{node}"), _NODES, 8.6)
    assert _ask(allocator, 0, 8.7).count == 1


@pytest.mark.parametrize("rate_per_s", [10.0, 100.0])
def test_requests_that_wait_longer_do_not_use_the_tokens_of_important_ones(
    rate_per_s,
):
    """Guards against important requests refused for those that wait longer.

    Listings ask for three times the rate and wait for 0.375 s. Confirmations
    ask for half of the rate, and their low target latency lets them wait for
    0.1 s only. All refill was promised to listings before it arrived.
    """
    allocator = _allocator(rate_per_s, rate_per_s)
    admitted = {0: 0, 1: 0}
    asked = {0: 0, 1: 0}
    steps = int(rate_per_s * 30)
    for step in range(steps):
        now_s = step / steps * 10.0
        wanted = [1] if step % 6 else [1, 0]
        for rank in wanted:
            grant = _ask(
                allocator, step % _NODES, now_s, (0.1, 0.375)[rank], rank=rank
            )
            asked[rank] += 1
            admitted[rank] += grant.count + grant.promised
    assert admitted[0] > 0.9 * asked[0]
    assert admitted[1] > 0.4 * rate_per_s * 10.0, "the rest goes to listings"
    assert sum(admitted.values()) <= 1.1 * rate_per_s * 10.0


def test_requests_of_one_rank_share_tokens_though_some_wait_longer():
    """Guards against downloads refused for pages whose callers wait longer."""
    allocator = _allocator(100.0, 100.0)
    admitted = [0, 0]
    rng = random.Random(1)
    for step in range(4000):
        kind = rng.randrange(2)
        grant = _ask(
            allocator, step % _NODES, step / 400.0, (0.2, 0.375)[kind], rank=1
        )
        admitted[kind] += grant.count + grant.promised
    assert min(admitted) > 0.8 * max(admitted)
    assert sum(admitted) <= 1100
