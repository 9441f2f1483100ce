"""Operators' table of routes: lookup, weighted splits, increasing versions."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from burdockfront import errors
from burdockfront import routes
from tests import builders


def _resolver(*tables: routes.RouteTable) -> routes.RouteResolver:
    resolver = routes.RouteResolver(random.Random(1))
    for table in tables:
        resolver.accept(table)
    return resolver


def test_longest_prefix_of_the_host_wins():
    table = builders.a_table(
        1,
        builders.a_route("short", prefix="/a/"),
        builders.a_route("long", prefix="/a/b/"),
    )
    resolver = _resolver(table)
    assert resolver.find("shop.example", "/a/b/c").route.name == "long"
    assert resolver.find("SHOP.example:8080", "/a/x").route.name == "short"
    assert resolver.find("shop.example", "/b/") is None
    assert resolver.find("other.example", "/a/x") is None
    assert resolver.find("shop.example", "/a") is None, (
        "a prefix ends at a slash"
    )


def test_older_table_is_rejected():
    # A peer without access to the store still offers the previous table. It is
    # complete and valid, but activating it would undo an accepted change.
    new = builders.a_table(8, builders.a_route("new"))
    old = builders.a_table(7, builders.a_route("old"))
    resolver = _resolver(new)
    assert not resolver.accept(old)
    assert not resolver.accept(new)
    assert resolver.version == 8
    assert resolver.find("shop.example", "/a/x").route.name == "new"


@hypothesis.given(strategies.permutations([1, 2, 3, 4, 5]))
def test_newest_table_is_active_for_any_order_of_arrival(order):
    resolver = routes.RouteResolver(random.Random(1))
    highest = -1
    for version in order:
        resolver.accept(builders.a_table(version))
        highest = max(highest, version)
        assert resolver.version == highest


@hypothesis.given(
    strategies.lists(strategies.integers(1, 100), min_size=2, max_size=4),
    strategies.integers(0, 1000),
)
def test_split_keeps_its_weights_over_any_sequence(weights, seed):
    shares = tuple(
        routes.Share(f"s{i}", float(w)) for i, w in enumerate(weights)
    )
    resolver = routes.RouteResolver(random.Random(seed))
    resolver.accept(builders.a_table(1, builders.a_route("r", shares=shares)))
    counts = collections.Counter(
        resolver.find("shop.example", "/a/x").service for _ in range(300)
    )
    for share in shares:
        expected = 300 * share.weight / sum(weights)
        assert abs(counts[share.service] - expected) <= 2 * len(shares)


def test_unchanged_split_keeps_its_position():
    # Another route changes every second. If each change restarted the split,
    # its first service would get more than its weight.
    shares = (routes.Share("big", 9.0), routes.Share("small", 1.0))
    resolver = routes.RouteResolver(random.Random(3))
    counts: collections.Counter[str] = collections.Counter()
    for version in range(100):
        resolver.accept(
            builders.a_table(version, builders.a_route("r", shares=shares))
        )
        for _ in range(3):
            counts[resolver.find("shop.example", "/a/x").service] += 1
    assert 26 <= counts["small"] <= 34


def test_table_survives_a_json_round_trip():
    table = builders.a_table(
        3, builders.a_route("r", repeat=routes.Repeat.AT_MOST_ONCE)
    )
    assert routes.table_from_json(table.to_json()) == table


def test_table_of_another_release_is_rejected_naming_the_field():
    data = builders.a_table(3).to_json()
    data["hosts"][0]["routes"][0].pop("timeout_s")
    with pytest.raises(errors.InvalidInputError, match="timeout_s"):
        routes.table_from_json(data)
