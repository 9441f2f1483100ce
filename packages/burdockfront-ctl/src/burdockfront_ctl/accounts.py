"""The `show accounts` query: client accounts, merged over all nodes."""

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
    """Returns limits, summed refusals, and the tokens at the allocator."""
    rows: dict[str, dict[str, Any]] = {}
    versions: dict[str, list[str]] = {}
    for reply in await nodes.ask_all("accounts", {}):
        if reply.data is None:
            continue
        versions.setdefault(str(reply.data["routes"]), []).append(reply.node)
        is_allocator = reply.node == reply.data["keeper"]
        for found in reply.data["accounts"]:
            _merge(rows, found, is_allocator)
    view = render.View(
        "accounts", _COLUMNS, [rows[name] for name in sorted(rows)]
    )
    view.remarks.append(_describe_versions(versions))
    return view


def _merge(
    rows: dict[str, dict[str, Any]], found: dict[str, Any], is_allocator: bool
) -> None:
    known = rows.setdefault(
        found["account"], {**found, "scarce at": 0, "refused": 0, "tokens": ""}
    )
    known["scarce at"] += bool(found["scarce"])
    known["refused"] += found["refused"]
    if is_allocator:
        known["tokens"] = found["tokens"]


def _describe_versions(versions: dict[str, list[str]]) -> str:
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
        f"removed is still admitted by nodes with the older version."
    )
