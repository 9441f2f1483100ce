"""Says from nodes' logs which requests were lost, where, and for what reason.

Each node logs how a request ended (`entry.answered`), what its guard refused
(`call.refused`), how the backend server answered (`call.answered`), and what
went to other data centres (`ways.moved`). A request that failed is laid to the
deepest line that explains it: that of its own id, or of a call whose id extends
it. Lines are left out of logs under load, so a cause may be missing; such
requests are counted as "not in the logs".
"""

import collections
import dataclasses
import re
from collections.abc import Iterable
from typing import Any

import orjson

_SEPARATOR = re.compile(r"[^A-Za-z0-9]")
_SERVER_ERROR = 500
_UNEXPLAINED = "not in the logs"


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """Why a request was lost.

    Attributes:
        service: Where it was refused or failed.
        reason: The guard's reason, or the status of the backend server.
        depth: Calls between the request and that place.
    """

    service: str
    reason: str
    depth: int


@dataclasses.dataclass(slots=True)
class Losses:
    """What the lines of some nodes tell.

    Attributes:
        asked: Requests of callers that ended, by class.
        lost: How many of them got no good answer, by class and cause.
        far_bytes: Bytes to other data centres, by service and class.
        left_out: Lines that nodes left out of their logs.
    """

    asked: collections.Counter[str]
    lost: collections.Counter[tuple[str, Cause]]
    far_bytes: collections.Counter[str]
    left_out: int


def read(lines: Iterable[bytes]) -> Losses:
    """Reads lines of any number of nodes, in any order.

    Args:
        lines: Lines of logs. What stands before the first brace is skipped, so
            logs that a collector has marked are read as well.
    """
    found = Losses(
        collections.Counter(),
        collections.Counter(),
        collections.Counter(),
        0,
    )
    ended: dict[str, dict[str, Any]] = {}
    causes: dict[str, Cause] = {}
    left_out: dict[str, int] = {}
    for line in lines:
        event = _event_of(line)
        if event is None:
            continue
        match event.get("kind"):
            case "entry.answered":
                ended[event["request"]] = event
            case "call.refused" | "call.answered":
                _note_cause(causes, event)
            case "ways.moved":
                found.far_bytes.update(event["most_bytes"])
            case "log.dropped":
                # The number of one process so far, without its name; the
                # largest ones of all that write are what is known.
                left_out[str(event["lines"])] = event["lines"]
    found.left_out = max(left_out.values(), default=0)
    for request_id, event in ended.items():
        if _SEPARATOR.search(request_id):
            # A call of a backend server; its request counts, not it.
            continue
        found.asked[event["class_name"]] += 1
        if not _is_good(event):
            cause = causes.get(request_id) or _own_cause(event)
            found.lost[(event["class_name"], cause)] += 1
    return found


def to_text(found: Losses) -> str:
    """Returns tables for people."""
    total = found.asked.total()
    lines = [f"{total} requests ended; {found.lost.total()} were lost:", ""]
    lines.append(f"{'class':14} {'lost':>6} {'of':>6}  why, and how deep")
    for (class_name, cause), count in found.lost.most_common():
        where = f"{cause.reason} at {cause.service or 'the entry'}"
        if cause.depth:
            where += f", {cause.depth} calls deep"
        asked = found.asked[class_name]
        lines.append(f"{class_name:14} {count:6} {asked:6}  {where}")
    lines += ["", "Megabytes to other data centres, by service and class:"]
    for key, moved in found.far_bytes.most_common():
        lines.append(f"{moved / 1e6:10.2f}  {key}")
    if found.left_out:
        lines += ["", f"A node left out up to {found.left_out} lines."]
    return "\n".join(lines)


def _event_of(line: bytes) -> dict[str, Any] | None:
    begin = line.find(b"{")
    if begin < 0:
        return None
    try:
        event = orjson.loads(line[begin:])
    except orjson.JSONDecodeError:
        # The output of something else, or a line that was cut.
        return None
    return event if isinstance(event, dict) else None


def _is_good(event: dict[str, Any]) -> bool:
    return event["outcome"] == "done" and event["status"] < _SERVER_ERROR


def _note_cause(causes: dict[str, Cause], event: dict[str, Any]) -> None:
    """Remembers a line that explains a request, and those above it."""
    reason = event.get("reason") or ""
    if event["kind"] == "call.answered":
        if reason or event["status"] < _SERVER_ERROR:
            reason = reason or ""
        else:
            reason = f"status {event['status']}"
    if not reason:
        return
    request_id = event["request"]
    ends = [found.start() for found in _SEPARATOR.finditer(request_id)]
    root = request_id[: ends[0]] if ends else request_id
    cause = Cause(event["service"], reason, len(ends))
    known = causes.get(root)
    if known is None or cause.depth > known.depth:
        causes[root] = cause


def _own_cause(event: dict[str, Any]) -> Cause:
    reason = event["reason"] or _UNEXPLAINED
    return Cause("", reason, 0)
