"""The `show limits` query: limits in the self reports of backend servers."""

from typing import Any

from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import render

_COLUMNS = ["service", "node", "limit_per_s", "says it leaves", "limited"]
_NO_LIMIT = -1.0


async def show(nodes: nodes_lib.Nodes) -> render.View:
    """Returns the backend servers that report a limit, or that they leave."""
    rows = []
    no_answer = []
    for reply in await nodes.ask_all("status", {}):
        if reply.data is None:
            no_answer.append(reply.node)
            continue
        row = _row_of(reply.node, reply.data)
        if row["limit_per_s"] or row["says it leaves"]:
            rows.append(row)
    rows.sort(key=lambda row: (str(row["service"]), str(row["node"])))
    view = render.View("limits named by backend servers", _COLUMNS, rows)
    view.remarks.append(
        "'limited' counts requests refused for a limit since the node started; "
        "'timeline kind backend.limit' shows when each limit was reported."
    )
    if no_answer:
        view.remarks.append(f"No answer from {', '.join(sorted(no_answer))}.")
    return view


def _row_of(node: str, data: dict[str, Any]) -> dict[str, Any]:
    # Nodes of an earlier version do not report these gauges and counters.
    gauges = data["gauges"]
    limit_per_s = gauges.get("guard.limit_per_s", _NO_LIMIT)
    return {
        "service": data["service"],
        "node": node,
        "limit_per_s": "" if limit_per_s == _NO_LIMIT else str(limit_per_s),
        "says it leaves": bool(gauges.get("guard.says_it_leaves", 0)),
        "limited": data["counters"].get("guard.limited", 0),
    }
