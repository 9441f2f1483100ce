"""Commands that change the system, and the check that they are in effect."""

import secrets
from typing import Any

from burdockfront import errors
from burdockfront_ctl import language
from burdockfront_ctl import nodes as nodes_lib
from burdockfront_ctl import render


async def set_policy(
    nodes: nodes_lib.Nodes, command: language.SetPolicy, who: str
) -> render.View:
    """Executes `set policy`.

    Raises:
        RefusedError: The change is not valid, or the revision of the policy is
            not the expected one; in that case the message shows both versions.
    """
    change_id = f"c-{secrets.token_hex(5)}"
    message = {
        "service": command.service,
        "path": command.path,
        "value": command.value,
        "expected": command.revision,
        "who": who,
        "change_id": change_id,
    }
    try:
        result = await nodes.ask_any("change", message)
    except nodes_lib.RefusedError as error:
        if error.kind != "RevisionConflictError":
            raise
        raise nodes_lib.RefusedError(
            error.status,
            error.kind,
            f"{error}\n{await _conflicting_versions(nodes, command)}",
        ) from None
    line = result["line"]
    view = render.View(
        f"changed {command.service}",
        ["path", "before", "after", "who", "change_id"],
        [line],
    )
    view.remarks.append(
        f"Revision {result['revision']}. Check with 'verify change "
        f"{change_id}'."
    )
    return view


async def _conflicting_versions(
    nodes: nodes_lib.Nodes, command: language.SetPolicy
) -> str:
    found = await nodes.ask_any("history", {"service": command.service})
    lines = found["lines"][-3:]
    conflicting = "\n".join(
        f"  theirs: {line['path']}: {line['before']} -> {line['after']} "
        f"(by {line['who']}, change {line['change_id']})"
        for line in lines
    )
    return f"{conflicting}\n  yours:  {command.path}: -> {command.value}"


async def drain(
    nodes: nodes_lib.Nodes, command: language.Drain, who: str
) -> render.View:
    """Executes `drain` and `undrain`.

    Raises:
        InvalidInputError: There is no such member.
    """
    members = {m["node"]: m for m in await nodes.members()}
    member = members.get(command.node)
    if member is None:
        raise errors.InvalidInputError(
            f"no member {command.node!r}; 'show members' lists them."
        )
    message = {"draining": command.draining, "who": who}
    result = await nodes.ask(member["address"], "drain", message)
    row = {"node": command.node, "draining": result["draining"]}
    view = render.View("drain", ["node", "draining"], [row])
    if result["draining"] != command.draining:
        view.remarks.append(
            "Its backend server itself reports that it is draining; an "
            "operator can't undo that."
        )
    return view


async def release(
    nodes: nodes_lib.Nodes, command: language.Release, who: str
) -> render.View:
    """Executes `release`.

    Raises:
        RefusedError: No crash is recorded for this fingerprint.
    """
    message = {"fingerprint": command.fingerprint, "who": who}
    result = await nodes.ask_any("release", message)
    row = {"fingerprint": command.fingerprint, "crashes": result["crashes"]}
    view = render.View("released", ["fingerprint", "crashes"], [row])
    view.remarks.append(
        "It reaches all nodes within a second or two; check with 'show "
        "quarantine'. If servers crash again while running it, it is refused "
        "again."
    )
    return view


async def verify(
    nodes: nodes_lib.Nodes, command: language.Verify
) -> render.View:
    """Executes `verify change`: on how many nodes it is in effect, since when.

    Raises:
        InvalidInputError: The change is neither applied on a node nor in a
            history.
    """
    replies = await nodes.ask_all("status", {})
    service, revision = await _find_change(nodes, replies, command.change_id)
    rows = [_verification_row(reply, service, revision) for reply in replies]
    in_force = [row for row in rows if row["in_force"]]
    view = render.View(
        f"change {command.change_id} of {service}, revision {revision}",
        ["node", "in_force", "revision", "since", "why_not"],
        rows,
    )
    view.complete = len(in_force) == len(rows)
    since_s = max((float(row["since_s"] or 0) for row in in_force), default=0.0)
    missing = [str(row["node"]) for row in rows if not row["in_force"]]
    view.remarks.append(
        f"In force on {len(in_force)} of {len(rows)} nodes"
        + (
            f", on the last one since {render.clock(since_s)}"
            if in_force
            else ""
        )
        + (f"; missing: {', '.join(missing)}" if missing else "")
        + "."
    )
    return view


async def _find_change(
    nodes: nodes_lib.Nodes, replies: list[nodes_lib.Reply], change_id: str
) -> tuple[str, int]:
    """Returns the service and revision of a change."""
    services: set[str] = set()
    for reply in replies:
        for service, applied in (reply.data or {}).get("applied", {}).items():
            services.add(service)
            if applied["change_id"] == change_id:
                return service, applied["revision"]
    for service in sorted(services):
        found = await nodes.ask_any("history", {"service": service})
        lines = found["lines"]
        for number, line in enumerate(lines):
            if line["change_id"] == change_id:
                # A later change replaced this one: the `from_revision` of
                # the next change is the revision of this one.
                following = lines[number + 1 :]
                if following:
                    return service, following[0]["from_revision"]
                current = await nodes.ask_any("policy", {"service": service})
                return service, current["revision"]
    raise errors.InvalidInputError(
        f"change {change_id!r} is not on any node or in any history. If the "
        f"outcome of its command was unknown, it has not taken effect so far; "
        f"see 'history SERVICE'."
    )


def _verification_row(
    reply: nodes_lib.Reply, service: str, revision: int
) -> dict[str, Any]:
    if reply.data is None:
        return {"node": reply.node, "in_force": False, "why_not": reply.error}
    applied = reply.data["applied"].get(service)
    rejected = reply.data["rejected"].get(service)
    in_force = applied is not None and applied["revision"] >= revision
    why_not = ""
    if not in_force:
        why_not = rejected["why"] if rejected else "not heard of it yet"
    return {
        "node": reply.node,
        "in_force": in_force,
        "revision": applied["revision"] if applied else 0,
        "since": render.clock(applied["since_s"]) if applied else "",
        "since_s": applied["since_s"] if applied else None,
        "why_not": why_not,
    }
