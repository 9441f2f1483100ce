"""Tests for `show accounts`, and for `why` with rejected requests."""

import asyncio
from typing import Any

from burdockfront import timeline
from burdockfront_ctl import accounts
from burdockfront_ctl import explanations
from burdockfront_ctl import language
from burdockfront_ctl import nodes


class _Nodes:
    """Fake nodes with fixed replies."""

    def __init__(self, replies: list[nodes.Reply]):
        self._replies = replies

    async def ask_all(
        self, path: str, message: dict[str, Any]
    ) -> list[nodes.Reply]:
        return self._replies


def _reply(
    node: str, routes: int, refused: int, tokens: float, scarce: bool = False
) -> nodes.Reply:
    account = {
        "account": "acme",
        "keys": 2,
        "rank": 1,
        "rate_per_s": 9.0,
        "burst": 9.0,
        "scarce": scarce,
        "refused": refused,
        "tokens": tokens,
    }
    data = {"routes": routes, "keeper": "n1", "accounts": [account]}
    return nodes.Reply(node, data)


def test_refusals_are_summed_and_shown_with_the_allocators_tokens():
    found = [_reply("n1", 4, 3, 7.5, True), _reply("n2", 4, 2, 0.0)]
    view = asyncio.run(accounts.show(_Nodes(found)))
    row = view.rows[0]
    assert (row["refused"], row["tokens"], row["scarce at"]) == (5, 7.5, 1)
    assert "version 4" in view.remarks[0]


def test_node_with_an_older_table_is_named():
    """Guards against a removed key that a node with an old table still admits.

    `show accounts` has to name such nodes.
    """
    found = [_reply("n1", 4, 0, 1.0), _reply("n2", 3, 0, 0.0)]
    found.append(nodes.Reply("n3", None, "no answer"))
    view = asyncio.run(accounts.show(_Nodes(found)))
    assert "3 at n2" in view.remarks[0]
    assert "still admitted" in view.remarks[0]


def test_why_explains_a_rejected_request():
    event = timeline.Event(
        1,
        "n1",
        "dc1",
        "entry.turned-away",
        "r-7",
        {"account": "acme", "reason": "over-quota", "routes": 4},
    )
    reply = nodes.Reply("n1", {"events": [event.to_json()]})
    view = asyncio.run(
        explanations.why(_Nodes([reply]), language.Why("request", "r-7"))
    )
    assert "acme" in view.remarks[-1]
    assert "no token left" in view.remarks[-1]


def test_show_accounts_is_parsed():
    assert language.parse("show accounts") == language.Show("accounts")
