"""Tests for `show shares`, and for `why` with a refusal of such an account."""

import asyncio
from typing import Any

from burdockfront import timeline
from burdockfront_ctl import explanations
from burdockfront_ctl import language
from burdockfront_ctl import nodes
from burdockfront_ctl import queries


class _Nodes:
    """Fake nodes with fixed replies."""

    def __init__(self, replies: list[nodes.Reply]):
        self._replies = replies

    async def members(self) -> list[dict[str, Any]]:
        return [
            {"node": "n1", "service": "ledger"},
            {"node": "n2", "service": "ledger"},
            {"node": "n3", "service": "timetable"},
        ]

    async def ask_all(
        self, path: str, message: dict[str, Any]
    ) -> list[nodes.Reply]:
        return self._replies


def _reply(
    node: str,
    named: dict[str, float],
    heard: dict[str, dict[str, float]] | None = None,
) -> nodes.Reply:
    data = {"short": bool(named), "over_share": named, "heard": heard or {}}
    return nodes.Reply(node, data)


def test_ratios_are_merged_over_guards_and_entries():
    found = [
        _reply("n1", {"acme": 3.0}),
        _reply("n2", {"acme": 4.0}),
        _reply("n3", {}, {"ledger": {"acme": 3.5}}),
        nodes.Reply("n4", None, "no such path"),
    ]
    view = asyncio.run(queries.show(_Nodes(found), language.Show("shares")))
    assert view.rows == [
        {
            "service": "ledger",
            "account": "acme",
            "ratio": 4.0,
            "named by": 2,
            "heard at": 1,
        }
    ]
    assert "ledger (2 guards)" in view.remarks[0]
    assert "n4" in view.remarks[1], "a node of an earlier version"


def test_no_service_is_short():
    view = asyncio.run(
        queries.show(_Nodes([_reply("n1", {})]), language.Show("shares"))
    )
    assert view.rows == []
    assert "No service is short" in view.remarks[0]


def test_why_names_the_short_service_and_the_ratio():
    refused = {
        "service": "timetable",
        "reason": "overload-deeper",
        "priority": 460,
        "level": 2048,
        "over_share": 6.5,
        "short_services": ["ledger"],
    }
    answered = {"outcome": "not-run", "reason": "overload-deeper"}
    events = [
        timeline.Event(
            1, "n1", "dc1", "call.refused", "r-7", refused
        ).to_json(),
        timeline.Event(
            2, "n1", "dc1", "entry.answered", "r-7", answered
        ).to_json(),
    ]
    reply = nodes.Reply("n1", {"events": events})
    view = asyncio.run(
        explanations.why(_Nodes([reply]), language.Why("request", "r-7"))
    )
    assert "6.5 times its fair share of ledger" in view.remarks[-1]


def test_show_shares_is_parsed():
    assert language.parse("show shares") == language.Show("shares")
