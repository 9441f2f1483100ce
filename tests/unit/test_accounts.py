"""Whose key a request bears, and how much its account matters."""

import random

import pytest

from burdockfront import accounts
from burdockfront import errors
from burdockfront import routes
from tests import builders


def test_key_admits_its_holder_and_nobody_else():
    book = accounts.AccountIndex(
        (
            builders.an_account("acme", "k-acme"),
            builders.an_account("zeta", "k-zeta"),
        )
    )
    assert book.holder_of("k-acme").name == "acme"
    assert book.holder_of("k-zeta").name == "zeta"


@pytest.mark.parametrize("key", ["", "k-none", "k-acme, k-acme", "K-ACME"])
def test_keys_that_are_not_exactly_one_that_is_known_admit_nobody(key):
    """Guards against lists of keys, and keys that are nearly right."""
    book = accounts.AccountIndex((builders.an_account("acme", "k-acme"),))
    assert book.holder_of(key) is None


def test_accounts_hold_no_key():
    """Guards against keys in tables, which go to peers and into logs."""
    table = builders.a_table(1, accounts=(builders.an_account("a", "secret"),))
    assert "secret" not in repr(table)
    assert "secret" not in str(table.to_json())


@pytest.mark.parametrize(
    "found",
    [
        [("acme", "k1"), ("acme", "k2")],
        [("acme", "k1"), ("zeta", "k1")],
    ],
)
def test_accounts_that_cannot_be_told_apart_are_turned_down(found):
    """Guards against a key that admits whichever account comes last."""
    with pytest.raises(errors.InvalidInputError) as caught:
        accounts.check(builders.an_account(*pair) for pair in found)
    assert "acme" in str(caught.value)
    assert "k1" not in str(caught.value)


def test_rank_of_the_account_goes_before_that_of_the_route():
    first = builders.an_account("first", "k1", rank=0)
    usual = builders.an_account("usual", "k2", rank=1)
    book = accounts.AccountIndex((first, usual), [0, 1, 2])
    ranked = [
        book.rank_of(account, rank)
        for account in (first, usual)
        for rank in (0, 1, 2)
    ]
    assert ranked == sorted(set(ranked))


def test_confirmations_go_before_listings_within_an_account():
    """Guards against an account's rank that wipes out the routes' order."""
    ranks = [None, 0, 1, 2, 3, 4, 5, 6, 7]
    found = tuple(
        builders.an_account(f"a{rank}", f"k{rank}", rank=rank) for rank in ranks
    )
    book = accounts.AccountIndex(found, [0, 1, 2])
    for account in (*found, None):
        assert book.rank_of(account, 0) < book.rank_of(account, 2) < 8


def test_routes_alone_rank_where_all_accounts_matter_alike():
    usual = builders.an_account("usual", "k", rank=1)
    book = accounts.AccountIndex((usual,), [0, 2])
    assert book.rank_of(usual, 2) == 2
    assert book.rank_of(None, 1) == 1


def test_table_of_a_release_without_accounts_is_not_taken():
    """Guards against accounts that vanish, and a door that is open to all."""
    data = builders.a_table(4).to_json()
    del data["form"]
    with pytest.raises(errors.InvalidInputError, match="compatible releases"):
        routes.table_from_json(data)


def test_table_from_a_peer_is_checked_like_one_from_the_store():
    """Guards against two accounts of one key that a peer lets in."""
    both = (builders.an_account("a", "k"), builders.an_account("b", "k"))
    data = builders.a_table(4, accounts=both).to_json()
    with pytest.raises(errors.InvalidInputError, match="one client account"):
        routes.table_from_json(data)


def test_limit_is_new_where_it_came_into_force_and_not_at_a_start():
    """Guards against a quota that is full again wherever a process starts."""
    book = routes.RouteResolver(random.Random(1))
    limited = builders.an_account("acme", "k", rate_per_s=5.0)
    book.accept(builders.a_table(1, accounts=(limited,)))
    assert not book.accounts.newly_limited
    other = builders.an_account("zeta", "z", rate_per_s=5.0)
    book.accept(builders.a_table(2, accounts=(limited, other)))
    assert book.accounts.newly_limited == {"zeta"}
