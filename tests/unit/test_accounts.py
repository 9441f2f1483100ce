"""Look-up of accounts by key, and ranks of requests."""

import random

import pytest

from burdockfront import accounts
from burdockfront import errors
from burdockfront import routes
from tests import builders


def test_key_belongs_to_one_account():
    index = accounts.AccountIndex(
        (
            builders.an_account("acme", "k-acme"),
            builders.an_account("zeta", "k-zeta"),
        )
    )
    assert index.holder_of("k-acme").name == "acme"
    assert index.holder_of("k-zeta").name == "zeta"


@pytest.mark.parametrize("key", ["", "k-none", "k-acme, k-acme", "K-ACME"])
def test_unknown_or_inexact_keys_belong_to_no_account(key):
    """Guards against accepting lists of keys and nearly correct keys."""
    index = accounts.AccountIndex((builders.an_account("acme", "k-acme"),))
    assert index.holder_of(key) is None


def test_accounts_contain_no_keys():
    """Guards against keys in tables, which are sent to peers and logged."""
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
def test_ambiguous_accounts_are_rejected(found):
    """Guards against a shared key that selects the last of its accounts."""
    with pytest.raises(errors.InvalidInputError) as caught:
        accounts.check(builders.an_account(*pair) for pair in found)
    assert "acme" in str(caught.value)
    assert "k1" not in str(caught.value)


def test_account_rank_takes_precedence_over_route_rank():
    first = builders.an_account("first", "k1", rank=0)
    usual = builders.an_account("usual", "k2", rank=1)
    index = accounts.AccountIndex((first, usual), [0, 1, 2])
    ranked = [
        index.rank_of(account, rank)
        for account in (first, usual)
        for rank in (0, 1, 2)
    ]
    assert ranked == sorted(set(ranked))


def test_confirmations_rank_before_listings_within_an_account():
    """Guards against account ranks that override the order of routes."""
    ranks = [None, 0, 1, 2, 3, 4, 5, 6, 7]
    found = tuple(
        builders.an_account(f"a{rank}", f"k{rank}", rank=rank) for rank in ranks
    )
    index = accounts.AccountIndex(found, [0, 1, 2])
    for account in (*found, None):
        assert index.rank_of(account, 0) < index.rank_of(account, 2) < 8


def test_only_route_ranks_count_if_all_accounts_have_one_rank():
    usual = builders.an_account("usual", "k", rank=1)
    index = accounts.AccountIndex((usual,), [0, 2])
    assert index.rank_of(usual, 2) == 2
    assert index.rank_of(None, 1) == 1


def test_table_of_a_release_without_accounts_is_rejected():
    """Guards against losing accounts, and with them the check of keys."""
    data = builders.a_table(4).to_json()
    del data["form"]
    with pytest.raises(errors.InvalidInputError, match="compatible releases"):
        routes.table_from_json(data)


def test_table_from_a_peer_is_checked():
    """Guards against accounts with a shared key that come from a peer."""
    both = (builders.an_account("a", "k"), builders.an_account("b", "k"))
    data = builders.a_table(4, accounts=both).to_json()
    with pytest.raises(errors.InvalidInputError, match="one client account"):
        routes.table_from_json(data)


def test_limit_is_new_after_an_update_but_not_at_process_start():
    """Guards against a full quota at each start of a process."""
    book = routes.RouteResolver(random.Random(1))
    limited = builders.an_account("acme", "k", rate_per_s=5.0)
    book.accept(builders.a_table(1, accounts=(limited,)))
    assert not book.accounts.newly_limited
    other = builders.an_account("zeta", "z", rate_per_s=5.0)
    book.accept(builders.a_table(2, accounts=(limited, other)))
    assert book.accounts.newly_limited == {"zeta"}
