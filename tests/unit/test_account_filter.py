"""What callers get for their keys and quotas."""

import pytest

from burdockfront import accounts
from burdockfront import outcomes
from burdockfront import timeline
from burdockfront_node.filters import base
from tests import builders
from tests import route_chain


class _Quotas:
    """Quotas whose answers a test sets."""

    def __init__(self, at_once: float | None = 0.0, asked: float = 0.0):
        self.at_once = at_once
        self.asked = asked
        self.spent: list[int] = []
        self.given_back: list[str] = []

    is_known = True

    def consume(
        self, account: accounts.Account, rank: int, now_s: float
    ) -> float | None:
        self.spent.append(rank)
        return self.at_once

    async def ask(self, account: accounts.Account, rank: int) -> float:
        return self.asked

    def give_back(self, account: accounts.Account) -> None:
        self.given_back.append(account.name)


_ACME = builders.an_account("acme", "k-acme", rate_per_s=5.0)


def _run(
    entry: base.Entry,
    quotas: _Quotas | None = None,
    answer: outcomes.Answer | None = None,
    public: bool = False,
) -> outcomes.Answer:
    table = builders.a_table(
        3, builders.a_route(public=public), accounts=(_ACME,)
    )
    chain = route_chain.RouteChain(table, quotas=quotas or _Quotas())
    return chain.run(entry, answer)


def test_key_becomes_the_name_of_its_account():
    entry = route_chain.an_entry(("x-api-key", "k-acme"), ("tenant", "zeta"))
    answer = _run(entry)
    assert answer.outcome is outcomes.Outcome.DONE
    assert entry.call.account == "acme"
    assert not {"x-api-key", "tenant"} & {
        name for name, _ in entry.call.headers
    }


@pytest.mark.parametrize(
    "headers",
    [
        (),
        (("x-api-key", "k-none"),),
        (("x-api-key", "k-acme"), ("x-api-key", "k-acme")),
        (("x-api-key", "k-acme"), ("x-api-key", "k-none")),
    ],
)
def test_request_without_one_known_key_is_refused_before_any_work(headers):
    """Guards against callers that run without an account."""
    quotas = _Quotas()
    entry = route_chain.an_entry(*headers)
    answer = _run(entry, quotas)
    assert answer.reason is outcomes.Reason.UNKNOWN_KEY
    assert answer.status == 401
    assert entry.call is None
    assert not quotas.spent


def test_public_route_needs_no_key_and_passes_none_on():
    """Guards against a key that leaves by a route that needs none."""
    entry = route_chain.an_entry(("x-api-key", "k-none"), ("tenant", "acme"))
    answer = _run(entry, public=True)
    assert answer.outcome is outcomes.Outcome.DONE
    assert entry.call.account == ""
    assert entry.call.headers == (("x", "y"),)


def test_without_accounts_a_header_of_that_name_is_the_callers_own():
    """Guards against services of places without accounts that lose it."""
    entry = route_chain.an_entry(("x-api-key", "theirs"))
    chain = route_chain.RouteChain(builders.a_table(3))
    chain.run(entry)
    assert ("x-api-key", "theirs") in entry.call.headers


def test_request_over_its_quota_is_told_when_to_return():
    entry = route_chain.an_entry(("x-api-key", "k-acme"))
    answer = _run(entry, _Quotas(at_once=0.7))
    assert answer.reason is outcomes.Reason.OVER_QUOTA
    assert answer.status == 429
    assert answer.retry_after_s == 0.7
    assert entry.call is None


def test_node_that_knows_no_others_yet_spends_nothing():
    """Guards against whole quotas dealt by each of many that start at once."""
    quotas = _Quotas(None)
    quotas.is_known = False
    entry = route_chain.an_entry(("x-api-key", "k-acme"))
    answer = _run(entry, quotas)
    assert answer.reason is outcomes.Reason.NO_CONFIGURATION
    assert answer.retry_after_s
    assert entry.call is None


def test_what_cannot_be_decided_here_is_asked():
    entry = route_chain.an_entry(("x-api-key", "k-acme"))
    assert _run(entry, _Quotas(None, 0.4)).retry_after_s == 0.4
    again = route_chain.an_entry(("x-api-key", "k-acme"))
    assert _run(again, _Quotas(None, 0.0)).status == 200


def test_request_that_ran_nowhere_gives_its_credit_back():
    """Guards against callers who pay for what was refused for load."""
    quotas = _Quotas()
    entry = route_chain.an_entry(("x-api-key", "k-acme"))
    _run(entry, quotas, builders.a_refusal())
    assert quotas.given_back == ["acme"]


def test_request_that_may_have_run_is_spent():
    quotas = _Quotas()
    entry = route_chain.an_entry(("x-api-key", "k-acme"))
    lost = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
    _run(entry, quotas, lost)
    assert not quotas.given_back


def test_no_key_is_recorded():
    """Guards against secrets in the time line, which operators see."""
    table = builders.a_table(3, accounts=(_ACME,))
    chain = route_chain.RouteChain(table, quotas=_Quotas(at_once=1.0))
    for key in ("k-acme", "k-none"):
        chain.run(route_chain.an_entry(("x-api-key", key)))
    events = chain.recorder.select(timeline.Filter(), 100)
    assert len(events) == 2
    assert "k-" not in repr(events)
