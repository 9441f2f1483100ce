"""Tests of the verification of a backend server's claim of more slots."""

import random

import pytest

from burdockfront import limits
from burdockfront import slot_claims

_SERVICE_S = 0.05


def _serve(
    claims: slot_claims.SlotClaims, true_slots: int, requests: int, seed: int
) -> None:
    """Completes requests of a server that is fully utilized all the time.

    With more requests in flight than the server has slots, each request takes
    proportionally longer.
    """
    rng = random.Random(seed)
    now_s = 0.0
    for _ in range(requests):
        in_use = claims.accepted
        stretch = max(1.0, in_use / true_slots)
        service_s = (0.5 + rng.expovariate(2.0)) * _SERVICE_S * stretch
        now_s += service_s / in_use
        claims.completed(service_s, in_use, now_s)


@pytest.mark.parametrize("seed", range(5))
def test_claimed_slots_that_do_not_exist_are_not_used(seed):
    # Failure: confirmations time out although their guard sheds nothing. The
    # server announced 4 slots, then 40, and queues the other 36 requests
    # internally, first come first served. One trial step at a time may use
    # slots that do not exist, but not all 36.
    claims = slot_claims.SlotClaims(4)
    claims.claim(40)
    assert claims.accepted == 4
    _serve(claims, true_slots=4, requests=3000, seed=seed)
    assert claims.accepted <= 6


@pytest.mark.parametrize("seed", range(5))
def test_claimed_slots_that_exist_come_into_use(seed):
    claims = slot_claims.SlotClaims(4)
    claims.claim(16)
    _serve(claims, true_slots=16, requests=20_000, seed=seed)
    assert claims.accepted >= 13


def test_smaller_claim_is_accepted_at_once():
    claims = slot_claims.SlotClaims(8)
    claims.claim(3)
    assert claims.accepted == 3


def test_requests_below_full_utilization_are_no_evidence():
    claims = slot_claims.SlotClaims(4)
    claims.claim(40)
    for number in range(2000):
        claims.completed(_SERVICE_S, 3, number * 0.01)
    assert claims.accepted == 4


def test_quick_refusals_are_no_evidence():
    # The server sheds requests within its claimed slots. Its refusals take no
    # time; counted as service times they would confirm any number of slots.
    claims = slot_claims.SlotClaims(4)
    claims.claim(40)
    _serve(claims, true_slots=4, requests=104, seed=1)
    assert claims.accepted == 5
    claims.on_shed(10.0)
    assert claims.accepted == 4


def test_shedding_during_a_trial_ends_it():
    # The same through the guard's limit, which reports the shed request.
    limit = limits.ConcurrencyLimit(4, 0.0, 0.0)
    limit.announce(40, False, 0.0)
    for number in range(104):
        limit.completed(_SERVICE_S, 4, number * 0.01)
    assert limit.slots == 5
    limit.shed_by_backend(5, 2.0)
    assert limit.slots == 4


def test_limit_follows_accepted_not_claimed_slots():
    # Failure: the limit rose to 40 with the announcement.
    limit = limits.ConcurrencyLimit(4, 0.0, 0.0)
    limit.announce(40, False, 1.0)
    assert limit.current(1.1) == 4
    assert limit.slots == 4
