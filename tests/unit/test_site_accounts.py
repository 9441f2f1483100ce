"""Client accounts on a whole site, in the model without a network.

The product's entries, routers and guards decide; the deepest service, fees, is
short, and its calls are two to four layers below the entries.
"""

import dataclasses

import pytest

from burdockfront_bench.site_model import results
from burdockfront_bench.site_model import sheet
from burdockfront_bench.site_model import site

_LENGTH_S = 7.0
_HOT = "a4"
_BROWSING = ("browse", "schedule")
_TROUBLE = sheet.Trouble("hot", 1.0, _LENGTH_S, 28.0, account=_HOT)


def _sheet() -> sheet.Sheet:
    accounts = tuple(
        sheet.ClientAccount(f"a{number}", 0.5 + number % 5 * 0.25)
        for number in range(30)
    )
    return dataclasses.replace(sheet.evening(), accounts=accounts)


def _served(result: results.Result, hot: bool, names: tuple[str, ...]) -> float:
    """Returns the served part of the requests of the hot or other accounts."""
    found = [
        tally
        for (account, name), tally in result.accounts.items()
        if (account == _HOT) == hot and name in names
    ]
    served = sum(tally.in_time + tally.late for tally in found)
    return served / sum(tally.asked for tally in found)


@pytest.fixture(scope="module")
def fair() -> results.Result:
    return site.run(_sheet(), 1, _LENGTH_S, troubles=(_TROUBLE,))


@pytest.fixture(scope="module")
def alike() -> results.Result:
    return site.run(
        _sheet(), 1, _LENGTH_S, troubles=(_TROUBLE,), fair_shares=False
    )


def test_hot_account_does_not_crowd_out_the_others(fair, alike):
    # Failure: an account at 28 times its usual load takes the slots that
    # confirmations leave, and the others get a third of what they ask for.
    # Both are compared within one run: the model does not repeat exactly, and
    # two runs differ by a tenth and more. Without shares the factor is below
    # 1.7.
    others = _served(fair, False, _BROWSING)
    hot = _served(fair, True, _BROWSING)
    assert others > 2.5 * hot
    assert others > _served(alike, False, _BROWSING)
    assert hot < _served(alike, True, _BROWSING)


def test_confirmations_of_the_hot_account_go_before_browsing(fair):
    # Failure: the share of an account lifts a lower rank above a higher one.
    assert _served(fair, True, ("confirm",)) > 0.97
    assert _served(fair, False, ("confirm",)) > 0.97


def test_value_served_is_about_the_same(fair, alike):
    assert fair.worth > 0.97 * alike.worth


def test_calm_site_with_accounts_refuses_nobody():
    result = site.run(_sheet(), 1, 2.0)
    assert sum(tally.refused for tally in result.tallies.values()) == 0
