"""How many slots of a backend server are used at once.

Pattern: a deep service of many small servers in an overload. Grounds: servers
that slow down when nearly full do so by about a third, so what they do in full
use is slots / 1.3.
"""

import pytest

from burdockfront_node.controllers import heartbeats

_SLOWDOWN = 1.3


@pytest.mark.parametrize("slots", range(1, 200))
def test_no_server_does_less_than_it_would_in_full_use(slots):
    # Of 39 servers with three slots each left one idle: a third of the deepest
    # service, while half of all listings died of its refusals.
    assert heartbeats.usable_slots(slots) >= slots / _SLOWDOWN
    assert heartbeats.usable_slots(slots) <= slots


@pytest.mark.parametrize(
    ("slots", "usable"),
    [(1, 1), (2, 2), (3, 3), (4, 4), (5, 4), (9, 8), (47, 44)],
)
def test_few_slots_are_all_used_and_of_many_some_stay_idle(slots, usable):
    assert heartbeats.usable_slots(slots) == usable
