"""Tests how many slots of a backend server are used at once.

The case behind them is an overload of a deep service with many small servers.
Servers that slow down when nearly full do so by about a third, so their
throughput with all slots in use is proportional to slots / 1.3.
"""

import pytest

from burdockfront_node.controllers import heartbeats

_SLOWDOWN = 1.3


@pytest.mark.parametrize("slots", range(1, 200))
def test_throughput_is_not_below_that_with_all_slots_in_use(slots):
    # Each of 39 servers with three slots left one of them idle. That took a
    # third of the capacity of the deepest service, while half of all listings
    # failed because of its rejections.
    assert heartbeats.usable_slots(slots) >= slots / _SLOWDOWN
    assert heartbeats.usable_slots(slots) <= slots


@pytest.mark.parametrize(
    ("slots", "usable"),
    [(1, 1), (2, 2), (3, 3), (4, 4), (5, 4), (9, 8), (47, 44)],
)
def test_servers_with_few_slots_use_all_and_others_leave_some_idle(
    slots, usable
):
    assert heartbeats.usable_slots(slots) == usable
