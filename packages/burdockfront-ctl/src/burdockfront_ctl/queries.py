"""Queries about the state of the system and the reasons for it."""

import collections
from typing import Any

from burdockfront import errors
from burdockfront import timeline
from burdockfront_ctl import accounts as accounts_lib
from burdockfront_ctl import language
from burdockfront_ctl import limits as limits_lib
from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import render
from burdockfront_ctl import shares as shares_lib

_MAX_EVENTS = 5_000
_REASONS = {
    "overload": "the guard's queue was full or its level was below the "
    "request's priority: the backend servers of this service are saturated",
    "overload-deeper": "a deeper service on the path is saturated, so the "
    "request was refused before any work was done for it",
    "limited": "the backend servers of this service report rate limits of "
    "their own, which left no room for it in time; see 'show limits'",
    "deadline": "its deadline could not be met",
    "draining": "the backend server is draining",
    "no-backend": "no backend server announces itself there",
    "unreachable": "no connection could be made to the backend server",
    "lost-answer": "it was handed over, but no answer was received",
    "unknown-key": "it had no key, two keys, or a key that is not valid in the "
    "table of that version; 'show accounts' lists the versions of the nodes",
    "over-quota": "its client account had no token left, counted over all "
    "nodes; see 'show accounts' for its limit, and 'timeline kind "
    "quota.scarce' for the time since when",
    "ticket-needed": "the confirmation had no ticket",
    "ticket-bad": "its ticket is for another service or not from this system",
    "ticket-owner-gone": "the node that owned its ticket is no longer there",
    "still-running": "it was still running when the caller repeated it",
    "no-such-service": "no node knows this service",
}


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
        "most": min(limit, _MAX_EVENTS),
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


async def why(nodes: nodes_lib.Nodes, command: language.Why) -> render.View:
    """Answers `why`."""
    match command.kind:
        case "request":
            return await _why_request(nodes, command.name)
        case "class":
            return await _why_class(nodes, command.name, command.service)
        case _:
            return await _why_node(nodes, command.name)


async def _why_request(nodes: nodes_lib.Nodes, request: str) -> render.View:
    event_filter = timeline.Filter(request=request)
    found = await events(nodes, event_filter, _MAX_EVENTS)
    if not found:
        raise errors.InvalidInputError(
            f"no node has events of request {request!r}; events are kept in "
            f"memory only for a limited time ('events' in the node's "
            f"settings), and requests that an entry refuses for overload are "
            f"sampled ('timeline kind entry.answered')."
        )
    view = render.of_events(f"request {request}", found)
    view.remarks.append(_describe_outcome(found))
    return view


def _describe_outcome(found: list[timeline.Event]) -> str:
    ended = [e for e in found if e.kind == "entry.answered"]
    rejected = [e for e in found if e.kind == "entry.turned-away"]
    refused = [e for e in found if e.kind == "call.refused"]
    if rejected and not ended:
        detail = rejected[-1].detail
        reason = detail["reason"]
        whose = f" of {detail['account']}" if detail["account"] else ""
        return (
            f"It{whose} was rejected ({reason}) under the table of version "
            f"{detail['routes']}: {_REASONS[reason]}."
        )
    if not ended:
        return "It has not been answered yet, or its caller has disconnected."
    outcome = ended[-1].detail["outcome"]
    reason = ended[-1].detail["reason"]
    text = f"It ended '{outcome}'"
    if reason:
        text += f" ({reason}): {_REASONS.get(reason, reason)}"
    count = ended[-1].detail.get("count", 1)
    if count > 1:
        text += (
            f". This event is a sample: it stands for {count} requests of its "
            f"class that this entry refused alike within a quarter of a second"
        )
    if refused:
        last = refused[-1]
        detail = last.detail
        text += (
            f". Last refused by {last.node} for {detail['service']}: "
            f"{detail['reason']}, priority {detail['priority']} with the "
            f"guard's level at {detail['level']}"
        )
        # Nodes of an earlier version do not record the following.
        if detail.get("bottleneck"):
            text += (
                f", and the lowest level of its path, {detail['path_level']}, "
                f"that of {detail['bottleneck']}; see 'show levels'"
            )
        if detail.get("over_share"):
            short = ", ".join(detail["short_services"])
            text += (
                f". Its client account asks for {detail['over_share']} times "
                f"its fair share of {short or detail['service']}, which is "
                f"short of slots; see 'show shares'"
            )
    return text + "."


async def _why_class(
    nodes: nodes_lib.Nodes, class_name: str, service: str
) -> render.View:
    event_filter = timeline.Filter(kind="call.refused")
    found = await events(nodes, event_filter, _MAX_EVENTS)
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for event in found:
        detail = event.detail
        if (detail["class_name"], detail["service"]) == (class_name, service):
            counts[(event.node, detail["reason"])] += 1
    rows = [
        {
            "node": node,
            "reason": reason,
            "refused": count,
            "meaning": _REASONS.get(reason, reason),
        }
        for (node, reason), count in counts.most_common()
    ]
    title = f"refusals of class {class_name} at {service}, as remembered"
    view = render.View(title, ["node", "reason", "refused", "meaning"], rows)
    if not rows:
        view.remarks.append("No guard of this service has refused this class.")
    return view


async def _why_node(nodes: nodes_lib.Nodes, name: str) -> render.View:
    members = {m["node"]: m for m in await nodes.members()}
    if name not in members:
        raise errors.InvalidInputError(
            f"no member {name!r}; 'show members' lists them."
        )
    found = await events(nodes, timeline.Filter(), _MAX_EVENTS)
    about = [
        e
        for e in found
        if e.detail.get("member") == name
        or e.detail.get("target") == name
        or (e.node == name and e.kind.split(".")[0] in _NODE_EVENT_KINDS)
    ]
    view = render.of_events(f"node {name}", about[-50:])
    member = members[name]
    replies = await nodes.ask_all("status", {})
    ejecting = [r.node for r in replies if r.data and name in r.data["ejected"]]
    view.remarks.append(
        f"{name} is {member['status']}, serves "
        f"{member['service'] or 'nothing (no backend server announces itself)'}"
        f"{', draining' if member['draining'] else ''}; ejected by "
        f"{', '.join(ejecting) or 'nobody'}."
    )
    view.remarks += [
        _describe_slots(r.data["gauges"])
        for r in replies
        if r.data and r.node == name and r.data["gauges"]["guard.slots"]
    ]
    return view


def _describe_slots(gauges: dict[str, float]) -> str:
    claimed = int(gauges["guard.slots_claimed"])
    accepted = int(gauges["guard.slots"])
    if accepted >= claimed:
        return f"Its backend server has {claimed} slots."
    return (
        f"Its backend server claims {claimed} slots, {accepted} are believed: "
        f"more are tried while all are in use, and accepted if requests take "
        f"no longer. If the claim is right, restart it with that number."
    )


_NODE_EVENT_KINDS = ("backend", "node", "operator", "key")
