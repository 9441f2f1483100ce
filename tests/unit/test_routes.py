"""Operators' table of routes: selection, splits, and never going back."""

import collections
import random

import hypothesis
import pytest
from hypothesis import strategies

from burdockfront import errors
from burdockfront import routes
from tests import builders


def _book(*tables: routes.RouteTable) -> routes.RouteResolver:
    book = routes.RouteResolver(random.Random(1))
    for table in tables:
        book.accept(table)
    return book


def test_longest_prefix_of_the_host_wins():
    table = builders.a_table(
        1,
        builders.a_route("short", prefix="/a/"),
        builders.a_route("long", prefix="/a/b/"),
    )
    book = _book(table)
    assert book.find("shop.example", "/a/b/c").route.name == "long"
    assert book.find("SHOP.example:8080", "/a/x").route.name == "short"
    assert book.find("shop.example", "/b/") is None
    assert book.find("other.example", "/a/x") is None
    assert book.find("shop.example", "/a") is None, "a prefix ends at a slash"


def test_older_table_is_not_taken_back():
    # A peer that the store turned away still offers the table of before. It
    # is complete and valid, and taking it would undo an accepted change.
    new = builders.a_table(8, builders.a_route("new"))
    old = builders.a_table(7, builders.a_route("old"))
    book = _book(new)
    assert not book.accept(old)
    assert not book.accept(new)
    assert book.version == 8
    assert book.find("shop.example", "/a/x").route.name == "new"


@hypothesis.given(strategies.permutations([1, 2, 3, 4, 5]))
def test_whatever_the_order_the_newest_table_ends_up_in_force(order):
    book = routes.RouteResolver(random.Random(1))
    highest = -1
    for version in order:
        book.accept(builders.a_table(version))
        highest = max(highest, version)
        assert book.version == highest


@hypothesis.given(
    strategies.lists(strategies.integers(1, 100), min_size=2, max_size=4),
    strategies.integers(0, 1000),
)
def test_split_keeps_its_weights_over_any_stretch(weights, seed):
    shares = tuple(
        routes.Share(f"s{i}", float(w)) for i, w in enumerate(weights)
    )
    book = routes.RouteResolver(random.Random(seed))
    book.accept(builders.a_table(1, builders.a_route("r", shares=shares)))
    counts = collections.Counter(
        book.find("shop.example", "/a/x").service for _ in range(300)
    )
    for share in shares:
        wanted = 300 * share.weight / sum(weights)
        assert abs(counts[share.service] - wanted) <= 2 * len(shares)


def test_unchanged_split_goes_on_where_it_was():
    # A change of another route comes every second. If each change began the
    # split anew, its first service would get more than its weight.
    shares = (routes.Share("big", 9.0), routes.Share("small", 1.0))
    book = routes.RouteResolver(random.Random(3))
    counts: collections.Counter[str] = collections.Counter()
    for version in range(100):
        book.accept(
            builders.a_table(version, builders.a_route("r", shares=shares))
        )
        for _ in range(3):
            counts[book.find("shop.example", "/a/x").service] += 1
    assert 26 <= counts["small"] <= 34


def test_table_travels_between_nodes_unchanged():
    table = builders.a_table(
        3, builders.a_route("r", repeat=routes.Repeat.AT_MOST_ONCE)
    )
    assert routes.table_from_json(table.to_json()) == table


def test_table_of_another_release_is_refused_with_the_field():
    data = builders.a_table(3).to_json()
    data["hosts"][0]["routes"][0].pop("timeout_s")
    with pytest.raises(errors.InvalidInputError, match="timeout_s"):
        routes.table_from_json(data)
