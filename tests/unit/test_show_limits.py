"""Tests for `show limits`."""

import asyncio
from typing import Any

from burdockfront_ctl import limits
from burdockfront_ctl import nodes


class _Nodes:
    """Fake nodes with fixed replies."""

    def __init__(self, replies: list[nodes.Reply]):
        self._replies = replies

    async def ask_all(
        self, path: str, message: dict[str, Any]
    ) -> list[nodes.Reply]:
        return self._replies


def _reply(node: str, gauges: dict[str, float]) -> nodes.Reply:
    counters = {"guard.limited": 7}
    data = {"service": "fees", "gauges": gauges, "counters": counters}
    return nodes.Reply(node, data)


def test_servers_without_a_report_are_omitted():
    found = [
        _reply("n1", {"guard.limit_per_s": 6.5, "guard.says_it_leaves": 0}),
        _reply("n2", {"guard.limit_per_s": -1.0, "guard.says_it_leaves": 0}),
        _reply("n3", {"guard.limit_per_s": -1.0, "guard.says_it_leaves": 1}),
        _reply("n4", {}),
        nodes.Reply("n5", None, "no answer"),
    ]
    view = asyncio.run(limits.show(_Nodes(found)))
    shown = [
        (row["node"], row["limit_per_s"], row["says it leaves"])
        for row in view.rows
    ]
    assert shown == [("n1", "6.5", False), ("n3", "", True)]
    assert "n5" in view.remarks[-1]


def test_limit_of_zero_is_shown_as_a_limit():
    """Guards against showing a limit of 0 as no limit."""
    found = [_reply("n1", {"guard.limit_per_s": 0.0})]
    view = asyncio.run(limits.show(_Nodes(found)))
    assert view.rows[0]["limit_per_s"] == "0.0"
