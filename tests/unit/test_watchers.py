"""Selection of the store's watchers, and their replacement after failures."""

import random

import pytest

from burdockfront import membership
from burdockfront import watchers
from tests import builders


def _membership(data_centers: int, nodes: int) -> membership.Membership:
    """Returns the view of the newest of several nodes per data centre."""
    local = builders.a_member("me", incarnation=10_000, data_center="dc0")
    known = membership.Membership(local, membership.Timing(), random.Random(1))
    for number in range(data_centers * nodes):
        member = builders.a_member(
            f"n{number}",
            incarnation=number + 1,
            data_center=f"dc{number % data_centers}",
        )
        known.merge(member.to_entry(), 0.0)
    return known


def _watchers(known: membership.Membership) -> set[str]:
    return {member.node_id for member in watchers.watchers_of(known)}


def _reject(known: membership.Membership, name: str) -> None:
    """Makes a member report that the store rejects it."""
    member = known.get(name)
    entry = builders.a_member(
        name,
        incarnation=member.incarnation,
        revision=member.revision + 1,
        data_center=member.data_center,
        store_away=True,
    ).to_entry()
    known.merge(entry, 0.0)


def test_node_without_peers_watches():
    assert watchers.watches(_membership(1, 0))


def test_one_node_per_data_center_watches_if_there_are_many():
    assert _watchers(_membership(6, 32)) == {
        f"n{number}" for number in range(6)
    }


@pytest.mark.parametrize("data_centers", [1, 2, 3, 4])
def test_five_nodes_watch_if_data_centers_are_few(data_centers):
    assert len(_watchers(_membership(data_centers, 8))) == 5


def test_suspected_watcher_is_replaced():
    known = _membership(6, 32)
    known.suspect("n0", 1.0)
    assert _watchers(known) == {"n6", "n1", "n2", "n3", "n4", "n5"}


def test_watcher_that_the_store_rejects_is_replaced():
    known = _membership(6, 32)
    _reject(known, "n0")
    assert _watchers(known) == {"n6", "n1", "n2", "n3", "n4", "n5"}


def test_few_nodes_query_the_store_during_its_outage():
    # The store rejects all nodes. Each watcher reports this, and the next node
    # tries. Without a bound, all nodes would query the store in turn.
    known = _membership(6, 32)
    asked = set()
    while new := _watchers(known) - asked:
        asked |= new
        for name in new:
            _reject(known, name)
    assert len(asked) == 6 * 5
    assert len(_watchers(known)) == 6, "no watcher left to detect the recovery"


def test_restarted_node_does_not_become_a_watcher_again():
    # All nodes are restarted one after the other. If each became a watcher
    # again, this would cost the store a read and a watch per restart.
    known = _membership(6, 32)
    entry = builders.a_member("n0", incarnation=5_000, data_center="dc0")
    known.merge(entry.to_entry(), 0.0)
    assert _watchers(known) == {"n6", "n1", "n2", "n3", "n4", "n5"}
