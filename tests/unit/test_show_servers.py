"""Tests for `show servers`."""

import asyncio
import random
import types
from typing import Any

import pytest

from burdockfront import errors
from burdockfront import routing
from burdockfront_ctl import language
from burdockfront_ctl import servers
from burdockfront_node import operators
from tests import builders


class _Nodes:
    """One node, whose router answers."""

    def __init__(self, router: routing.Router):
        dispatcher = types.SimpleNamespace(router=router)
        parts = types.SimpleNamespace(dispatcher=dispatcher)
        self._operators = operators.Operators(parts)

    async def members(self) -> list[dict[str, Any]]:
        return [{"node": "entry-1", "address": "127.0.0.1:1"}]

    async def ask(
        self, address: str, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        return await getattr(self._operators, path)(message)


def _shown(router: routing.Router, node: str = "entry-1") -> list[dict]:
    command = language.ShowServers("fees", node)
    return asyncio.run(servers.show(_Nodes(router), command)).rows


def test_share_load_and_pace_of_each_server_are_shown(monkeypatch):
    # Failure: an operator sees that one server gets most calls, and cannot tell
    # whether for its load, its pace or its learned latency.
    monkeypatch.setattr("time.monotonic", lambda: 10.5)
    router = routing.Router("dc1", random.Random(1))
    router.update(builders.a_target(name) for name in ("a", "b"))
    for name in ("a", "a", "a", "b"):
        router.record_sent(name)
    router.record_answer("a", 0.4, False, 10.0)
    router.record_pace("a", 2.5, 10.2)
    first, second = _shown(router)
    assert (first["node"], first["share"], first["in_flight"]) == ("a", 0.75, 2)
    assert (first["load"], first["load_age_s"]) == (0.4, 0.5)
    assert (first["pace"], first["pace_age_s"]) == (2.5, 0.3)
    assert second["share"] == 0.25
    assert second["load"] == second["pace"] == ""


def test_unknown_node_is_refused():
    router = routing.Router("dc1", random.Random(1))
    with pytest.raises(errors.InvalidInputError, match="show members"):
        _shown(router, "entry-9")
