"""Tests of `show levels`: which services are short, and who knows it."""

import asyncio
import types
from typing import Any

from burdockfront import service_levels
from burdockfront_ctl import language
from burdockfront_ctl import queries

_COUNTERS = {"guard.handed_over": 1, "guard.refused": 0}


class _Nodes:
    """Nodes that answer with the given states."""

    def __init__(self, *states: dict[str, Any]):
        self._states = states

    async def ask_all(
        self, path: str, message: dict[str, Any]
    ) -> list[types.SimpleNamespace]:
        return [types.SimpleNamespace(data=state) for state in self._states]


def _state(**changes: object) -> dict[str, Any]:
    state = {
        "service": "fees",
        "node": "fees-1",
        "level": 640,
        "load": 1.2,
        "counters": _COUNTERS,
    }
    return {**state, **changes}


def _shown(*states: dict[str, Any]) -> Any:
    command = language.parse("show levels")
    return asyncio.run(queries.show(_Nodes(*states), command))


def test_short_services_are_shown_with_the_age_of_their_level():
    # Failure: an operator sees refusals at an entry whose own level is open,
    # and cannot tell which service is short, or whether the entry knows.
    levels = service_levels.ServiceLevels()
    levels.record("fees", 640, 10.0)
    short = [
        {"service": one.service, "level": one.level, "age_s": one.age_s}
        for one in levels.short(10.25)
    ]
    view = _shown(_state(), _state(node="entry-1", level=2048, short=short))
    assert "short" in view.columns
    assert [row["short"] for row in view.rows] == ["fees 640 (0.25 s ago)", ""]


def test_nodes_of_an_earlier_version_report_no_short_services():
    view = _shown(_state())
    assert "short" not in view.columns
