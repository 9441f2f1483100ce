"""Analysis of nodes' logs: which requests failed, at which service, and why.

Each node logs how a request ended (`entry.answered`), what its guard refused
(`call.refused`), how the backend server answered (`call.answered`), and the
traffic to other data centres (`ways.moved`). A failed request is attributed to
the deepest log line that explains it: a line with its own id, or with the id of
a call, which extends that id. Nodes drop log lines under load, so a cause may
be missing; such requests are counted as "not in the logs".
"""

import collections
import dataclasses
import re
from collections.abc import Iterable
from typing import Any

import orjson

_SEPARATOR = re.compile(r"[^A-Za-z0-9]")
_SERVER_ERROR = 500
_NOT_IN_LOGS = "not in the logs"


@dataclasses.dataclass(frozen=True, slots=True)
class Cause:
    """Why a request failed.

    Attributes:
        service: Service at which it was refused or failed; empty for the entry.
        reason: The guard's reason, or the status of the backend server.
        depth: Number of nested calls between the request and that service.
    """

    service: str
    reason: str
    depth: int


@dataclasses.dataclass(slots=True)
class Losses:
    """Statistics of failed requests, from the logs of some nodes.

    Attributes:
        asked: Number of callers' requests that ended, by class.
        lost: Number of these that failed, by class and cause.
        far_bytes: Bytes sent to other data centres, by service and class.
        left_out: Largest number of lines that one node dropped from its log.
    """

    asked: collections.Counter[str]
    lost: collections.Counter[tuple[str, Cause]]
    far_bytes: collections.Counter[str]
    left_out: int


def read(lines: Iterable[bytes]) -> Losses:
    """Parses log lines of any number of nodes, in any order.

    Args:
        lines: Log lines. Text before the first brace is skipped, so that
            prefixes added by a log collector are accepted.
    """
    found = Losses(
        collections.Counter(),
        collections.Counter(),
        collections.Counter(),
        0,
    )
    answered: dict[str, dict[str, Any]] = {}
    causes: dict[str, Cause] = {}
    left_out: dict[str, int] = {}
    for line in lines:
        event = _parse_event(line)
        if event is None:
            continue
        match event.get("kind"):
            case "entry.answered":
                answered[event["request"]] = event
            case "call.refused" | "call.answered":
                _record_cause(causes, event)
            case "ways.moved":
                found.far_bytes.update(event["most_bytes"])
            case "log.dropped":
                # The event has the total of one process so far, without the
                # name of the process, so totals of several processes can't be
                # added up. The largest one is reported.
                left_out[str(event["lines"])] = event["lines"]
    found.left_out = max(left_out.values(), default=0)
    for request_id, event in answered.items():
        if _SEPARATOR.search(request_id):
            # A call by a backend server; only the request that caused it
            # is counted.
            continue
        # A sampled event stands for several requests refused alike.
        count = event.get("count", 1)
        found.asked[event["class_name"]] += count
        if not _is_success(event):
            cause = causes.get(request_id) or _cause_at_entry(event)
            found.lost[(event["class_name"], cause)] += count
    return found


def to_text(found: Losses) -> str:
    """Formats the statistics as text tables."""
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
        lines += ["", f"A node dropped up to {found.left_out} log lines."]
    return "\n".join(lines)


def _parse_event(line: bytes) -> dict[str, Any] | None:
    begin = line.find(b"{")
    if begin < 0:
        return None
    try:
        event = orjson.loads(line[begin:])
    except orjson.JSONDecodeError:
        # Output of another program, or a truncated line.
        return None
    return event if isinstance(event, dict) else None


def _is_success(event: dict[str, Any]) -> bool:
    return event["outcome"] == "done" and event["status"] < _SERVER_ERROR


def _record_cause(causes: dict[str, Cause], event: dict[str, Any]) -> None:
    """Records the cause of a failure, unless one as deep is known.

    Causes are kept under the id of the caller's request, the common prefix of
    the ids of its calls.
    """
    reason = event.get("reason") or ""
    if event["kind"] == "call.answered":
        if reason or event["status"] < _SERVER_ERROR:
            reason = reason or ""
        else:
            reason = f"status {event['status']}"
    if not reason:
        return
    request_id = event["request"]
    separators = [found.start() for found in _SEPARATOR.finditer(request_id)]
    root = request_id[: separators[0]] if separators else request_id
    cause = Cause(event["service"], reason, len(separators))
    known = causes.get(root)
    if known is None or cause.depth > known.depth:
        causes[root] = cause


def _cause_at_entry(event: dict[str, Any]) -> Cause:
    reason = event["reason"] or _NOT_IN_LOGS
    return Cause("", reason, 0)
