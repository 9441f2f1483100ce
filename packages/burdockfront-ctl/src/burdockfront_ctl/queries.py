"""Queries about the state of the system."""

from typing import Any

from burdockfront import timeline
from burdockfront_ctl import accounts as accounts_lib
from burdockfront_ctl import language
from burdockfront_ctl import limits as limits_lib
from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import render
from burdockfront_ctl import shares as shares_lib

MAX_EVENTS = 5_000


async def show(nodes: nodes_lib.Nodes, command: language.Show) -> render.View:
    """Answers `show`."""
    match command.what:
        case "members":
            members = await nodes.members()
            columns = ["node", "status", "service", "data_center", "slots"]
            columns += ["draining", "address"]
            return render.View("members", columns, members)
        case "nodes":
            return await _nodes(nodes)
        case "levels":
            return await _levels(nodes)
        case "quarantine":
            return await _quarantine(nodes)
        case "limits":
            return await limits_lib.show(nodes)
        case "accounts":
            return await accounts_lib.show(nodes)
        case "shares":
            return await shares_lib.show(nodes)
        case _:
            return await _policy(nodes, command.name)


async def _nodes(nodes: nodes_lib.Nodes) -> render.View:
    rows = []
    for reply in await nodes.ask_all("status", {}):
        if reply.data is None:
            rows.append({"node": reply.node, "ready": reply.error})
            continue
        data = reply.data
        rows.append(
            {
                **data,
                "revision": data["gauges"]["policy.revision"],
                "ejected": ", ".join(data["ejected"]),
            }
        )
    columns = ["node", "service", "ready", "draining", "watching"]
    columns += ["in_flight", "load", "ejected", "revision"]
    return render.View("nodes", columns, rows)


async def _quarantine(nodes: nodes_lib.Nodes) -> render.View:
    refusing_nodes: dict[str, list[str]] = {}
    for reply in await nodes.ask_all("status", {}):
        for fingerprint in (reply.data or {}).get("quarantined", ()):
            refusing_nodes.setdefault(fingerprint, []).append(reply.node)
    rows = [
        {"fingerprint": fingerprint, "refused by": ", ".join(sorted(names))}
        for fingerprint, names in sorted(refusing_nodes.items())
    ]
    view = render.View("quarantine", ["fingerprint", "refused by"], rows)
    view.remarks.append(
        "Backend servers crashed while running these requests; 'timeline kind "
        "backend.crashed' shows when. After a fix: 'release FINGERPRINT'."
    )
    return view


async def _levels(nodes: nodes_lib.Nodes) -> render.View:
    rows = []
    for reply in await nodes.ask_all("status", {}):
        if reply.data is not None:
            row = {**reply.data, **_guard_counters(reply.data)}
            # Nodes of an earlier version do not report this.
            row["short"] = ", ".join(
                f"{one['service']} {one['level']} ({one['age_s']:.2f} s ago)"
                for one in reply.data.get("short", [])
            )
            rows.append(row)
    rows.sort(key=lambda row: (str(row["service"]), str(row["node"])))
    columns = ["service", "node", "level", "load", "handed_over", "refused"]
    if any(row["short"] for row in rows):
        columns.append("short")
    return render.View("levels (2048 = open)", columns, rows)


def _guard_counters(data: dict[str, Any]) -> dict[str, Any]:
    counters = data["counters"]
    return {
        "handed_over": counters["guard.handed_over"],
        "refused": counters["guard.refused"],
    }


async def _policy(nodes: nodes_lib.Nodes, service: str) -> render.View:
    found = await nodes.ask_any("policy", {"service": service})
    rows = [
        {"field": path, "value": value}
        for path, value in _flatten("", found["document"])
    ]
    title = f"policy {service}, revision {found['revision']}"
    if found["change_id"]:
        title += f", change {found['change_id']}"
    return render.View(title, ["field", "value"], rows)


def _flatten(prefix: str, value: Any) -> list[tuple[str, Any]]:
    if isinstance(value, dict):
        return [
            pair
            for key, item in value.items()
            for pair in _flatten(f"{prefix}.{key}" if prefix else key, item)
        ]
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return [
            pair
            for item in value
            for pair in _flatten(f"{prefix}.{item['name']}", item)
            if not pair[0].endswith(".name")
        ]
    return [(prefix, value)]


async def history(
    nodes: nodes_lib.Nodes, command: language.History
) -> render.View:
    """Answers `history`."""
    found = await nodes.ask_any("history", {"service": command.service})
    columns = ["when_s", "who", "path", "before", "after", "change_id"]
    return render.View(f"history of {command.service}", columns, found["lines"])


async def events(
    nodes: nodes_lib.Nodes, event_filter: timeline.Filter, limit: int
) -> list[timeline.Event]:
    """Returns the latest matching events of all nodes in causal order.

    Args:
        nodes: The nodes to ask.
        event_filter: Which events to return.
        limit: Maximum number of events, both of each node and in total.
    """
    message = {
        "request": event_filter.request,
        "node": event_filter.node,
        "data_center": event_filter.data_center,
        "kind": event_filter.kind,
        "most": min(limit, MAX_EVENTS),
    }
    parts = []
    for reply in await nodes.ask_all("events", message):
        if reply.data is not None:
            found = reply.data["events"]
            parts.append([timeline.event_from_json(e) for e in found])
    return timeline.merge(parts)[-limit:]


async def show_timeline(
    nodes: nodes_lib.Nodes, command: language.Timeline
) -> render.View:
    """Answers `timeline`."""
    event_filter = timeline.Filter(
        command.request, command.node, command.data_center, command.kind
    )
    found = await events(nodes, event_filter, command.last)
    return render.of_events("time line", found)
