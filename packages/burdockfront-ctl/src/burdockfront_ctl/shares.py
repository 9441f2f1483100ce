"""The `show shares` query: accounts above their fair share of a service."""

from typing import Any

from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import render

_COLUMNS = ["service", "account", "ratio", "named by", "heard at"]


async def show(nodes: nodes_lib.Nodes) -> render.View:
    """Returns the short services and the accounts above their share."""
    service_of: dict[str, str] = {}
    for member in await nodes.members():
        service_of[member["node"]] = member["service"]
    rows: dict[tuple[str, str], dict[str, Any]] = {}
    short: dict[str, int] = {}
    no_answer = []
    for reply in await nodes.ask_all("shares", {}):
        if reply.data is None:
            no_answer.append(reply.node)
            continue
        service = service_of.get(reply.node, "")
        short[service] = short.get(service, 0) + bool(reply.data["short"])
        for account, ratio in reply.data["over_share"].items():
            row = _row(rows, service, account)
            row["named by"] += 1
            row["ratio"] = max(row["ratio"], ratio)
        for heard_service, ratios in reply.data["heard"].items():
            for account in ratios:
                _row(rows, heard_service, account)["heard at"] += 1
    view = render.View(
        "client accounts above their fair share",
        _COLUMNS,
        [rows[key] for key in sorted(rows)],
    )
    view.remarks.append(_describe_short(short))
    if no_answer:
        view.remarks.append(
            f"No answer, or fair shares are off, at "
            f"{', '.join(sorted(no_answer))}."
        )
    return view


def _row(
    rows: dict[tuple[str, str], dict[str, Any]], service: str, account: str
) -> dict[str, Any]:
    new = {
        "service": service,
        "account": account,
        "ratio": 0.0,
        "named by": 0,
        "heard at": 0,
    }
    return rows.setdefault((service, account), new)


def _describe_short(short: dict[str, int]) -> str:
    parts = [
        f"{service} ({count} guards)"
        for service, count in sorted(short.items())
        if count
    ]
    if not parts:
        return "No service is short of slots."
    return (
        f"Guards with a level below open: {', '.join(parts)}. A service that "
        f"only calls a short one has 'heard at' without 'named by'."
    )
