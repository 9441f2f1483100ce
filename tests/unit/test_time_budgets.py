"""Promises in seconds, against the sum of the delays that keep them.

Each delay is chosen where it stands. What callers and operators see is their
sum in the worst order of events, so a delay that grows must fail here and not
beside its own bound. `docs/design/time-budgets.md` tells the chains.
"""

import math

import pytest

from burdockfront import local_quotas
from burdockfront_node import routed_daemon
from burdockfront_node.controllers import exchange
from burdockfront_node.controllers import quota_exchange
from burdockfront_node.controllers import route_announcements
from burdockfront_node.controllers import route_checks
from burdockfront_node.controllers import route_peers
from burdockfront_node.controllers import route_watch

# What operators are promised; the strictest deployment known.
_ROUTES_S = 2.0
_QUARANTINE_S = 3.0
# A node that is asked to stop is bound by changes again after this.
_UNDISTURBED_S = 3.0
_QUOTA_WINDOW_S = 5.0
# Of the platform's template.
_NOTICE_S = 2.3
# To another region and back, and the store's answer.
_ROUND_TRIP_S = 0.11
_STORE_S = 0.004
_PROBE_S = 1.0
_PROBE_TIMEOUT_S = 0.4
# Whoever is drawn first to be told is gone, and so is a peer that told.
_GONE_S = route_announcements.PUSH_WAIT_S + route_peers.ANSWER_WAIT_S


def _asked_within_s(nodes: int, lost: int, strikes: int) -> float:
    """Returns in what time a node that is left asks, but for one of strikes.

    Turns are independent, and those who are lost ask no more.
    """
    pause_s = max(route_checks.MIN_PAUSE_S, nodes / route_checks.CHECKS_PER_S)
    left = nodes - lost
    return pause_s * (1.0 - math.exp(-math.log(strikes) / left))


def _found_and_told_s() -> float:
    """Returns how long it takes to read the store and to fetch from a peer."""
    return 2 * _STORE_S + _ROUND_TRIP_S


@pytest.mark.parametrize(
    ("nodes", "lost"), [(14, 5), (16, 5), (30, 6), (194, 6), (940, 6)]
)
def test_loss_of_all_watchers_takes_half_the_time_of_a_change(nodes, lost):
    """Guards against delays that fit the bound one by one, not together."""
    asked_s = _asked_within_s(nodes, lost, 100)
    assert asked_s + _found_and_told_s() + _GONE_S <= _ROUTES_S / 2


@pytest.mark.parametrize("nodes", [5, 14, 16, 30, 194, 940])
def test_news_lost_to_all_watchers_takes_half_the_time_of_a_change(nodes):
    """Guards against watchers that wait for their own watch in vain."""
    asked_s = _asked_within_s(nodes, 0, 100)
    waits_s = route_watch.OWN_WATCH_WAIT_S
    assert asked_s + _found_and_told_s() + waits_s <= _ROUTES_S / 2


@pytest.mark.parametrize("nodes", [14, 16, 30, 194, 940])
def test_loss_of_half_of_all_nodes_leaves_a_change_in_time(nodes):
    """Guards against too few who are left to ask the store."""
    asked_s = _asked_within_s(nodes, nodes // 2, 1000)
    assert asked_s + _found_and_told_s() + _GONE_S <= _ROUTES_S


def test_node_that_stops_refuses_before_it_is_bound_by_changes_again():
    """Guards against requests that a stopping node decides by old tables."""
    refuses_s = _NOTICE_S + routed_daemon.LAST_REQUESTS_S
    assert refuses_s < _UNDISTURBED_S


def test_lower_quota_binds_within_a_window_of_its_table():
    """Guards against nodes that go on by an old keeper's word."""
    lost_keepers_s = quota_exchange.TRIES * quota_exchange.TIMEOUT_S
    sum_s = (
        quota_exchange.REPORT_S + lost_keepers_s + local_quotas.ALLOCATION_TTL_S
    )
    assert sum_s < _QUOTA_WINDOW_S


def test_crash_is_known_everywhere_before_it_must_be():
    """Guards against news of crashes that waits for silent members."""
    rounds = 3
    pushed_s = rounds * (exchange.PUSH_DELAY_S + _PROBE_TIMEOUT_S)
    assert pushed_s + _PROBE_S + _PROBE_TIMEOUT_S < _QUARANTINE_S
