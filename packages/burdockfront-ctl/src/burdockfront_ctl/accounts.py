"""Shows client accounts as all nodes know them."""

from typing import Any

from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import render

_COLUMNS = [
    "account",
    "keys",
    "rank",
    "rate_per_s",
    "burst",
    "scarce at",
    "refused",
    "tokens",
]


async def show(nodes: nodes_lib.Nodes) -> render.View:
    """Returns limits, what was refused everywhere, and the keepers' tokens."""
    rows: dict[str, dict[str, Any]] = {}
    versions: dict[str, list[str]] = {}
    for reply in await nodes.ask_all("accounts", {}):
        if reply.data is None:
            continue
        versions.setdefault(str(reply.data["routes"]), []).append(reply.node)
        keeps = reply.node == reply.data["keeper"]
        for found in reply.data["accounts"]:
            _add(rows, found, keeps)
    view = render.View(
        "accounts", _COLUMNS, [rows[name] for name in sorted(rows)]
    )
    view.remarks.append(_of_versions(versions))
    return view


def _add(
    rows: dict[str, dict[str, Any]], found: dict[str, Any], keeps: bool
) -> None:
    known = rows.setdefault(
        found["account"], {**found, "scarce at": 0, "refused": 0, "tokens": ""}
    )
    known["scarce at"] += bool(found["scarce"])
    known["refused"] += found["refused"]
    if keeps:
        known["tokens"] = found["tokens"]


def _of_versions(versions: dict[str, list[str]]) -> str:
    if len(versions) <= 1:
        known = next(iter(versions), "none")
        return f"All nodes that answered have the table of version {known}."
    parts = [
        f"{version} at {', '.join(sorted(names)[:5])}"
        f"{' and others' if len(names) > 5 else ''}"
        for version, names in sorted(versions.items())
    ]
    return (
        f"Nodes differ: version {'; '.join(parts)}. A key that a newer version "
        f"took away is still admitted where the older one is in force."
    )
