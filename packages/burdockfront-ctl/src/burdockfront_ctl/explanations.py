"""Explanations: why a request, a class or a node was treated as it was."""

import collections

from burdockfront import errors
from burdockfront import timeline
from burdockfront_ctl import language
from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import queries
from burdockfront_ctl import render

_NODE_EVENT_KINDS = ("backend", "node", "operator", "key")
_LOST_ANSWER_KINDS = ("backend.answer-lost", "backend.answer-unnamed")
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
    found = await queries.events(nodes, event_filter, queries.MAX_EVENTS)
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
        text += _describe_refusal(refused[-1])
    lost = [e for e in found if e.kind in _LOST_ANSWER_KINDS]
    if lost:
        text += _describe_lost_answer(lost[-1])
    return text + "."


def _describe_refusal(event: timeline.Event) -> str:
    detail = event.detail
    text = (
        f". Last refused by {event.node} for {detail['service']}: "
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
    return text


def _describe_lost_answer(event: timeline.Event) -> str:
    why = event.detail.get("why", "its answer named no request")
    return (
        f". The backend server of {event.node} had it, but its answer was "
        f"lost: {why.rstrip('.')}"
    )


async def _why_class(
    nodes: nodes_lib.Nodes, class_name: str, service: str
) -> render.View:
    event_filter = timeline.Filter(kind="call.refused")
    found = await queries.events(nodes, event_filter, queries.MAX_EVENTS)
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
    found = await queries.events(nodes, timeline.Filter(), queries.MAX_EVENTS)
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
