"""Self reports that backend servers attach to their answers.

An overloaded backend server reports the request rate that it accepts from all
nodes together; the limit applies for as long as its answers carry it. A server
that is shutting down reports that it is leaving. Both apply to one incarnation
of the server: a new incarnation starts without any report.
"""

import collections
import dataclasses
import math

from burdockfront import errors
from burdockfront import incarnations

_FIELD_COUNT = 4
# More than the number of nodes of the largest system. Few guards have a report
# to keep at any time.
_MAX_GUARDS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class BackendNotice:
    """The self report on a single answer of a backend server.

    Attributes:
        leaving: The server is shutting down and wants no new work.
        limit_per_s: Accepted requests per second; None if the answer carries
            no limit.
        unreadable: The raw text of a limit that could not be parsed; empty if
            there is none.
    """

    leaving: bool = False
    limit_per_s: float | None = None
    unreadable: str = ""


# Shared by the great majority of answers, which carry no self report.
NO_NOTICE = BackendNotice()


@dataclasses.dataclass(frozen=True, slots=True)
class SelfReport:
    """The latest self report of one incarnation, as exchanged between nodes.

    Attributes:
        incarnation: The incarnation of the backend server.
        leaving: It is shutting down and wants no new work.
        limit_per_s: Accepted requests per second; None if it is not limited.
    """

    incarnation: incarnations.Incarnation
    leaving: bool = False
    limit_per_s: float | None = None

    @property
    def is_plain(self) -> bool:
        """Whether the server neither is leaving nor has a limit."""
        return not self.leaving and self.limit_per_s is None

    def to_parts(self) -> list[object]:
        """Returns the wire form that nodes exchange."""
        incarnation = self.incarnation
        return [
            incarnation.instance_id,
            incarnation.born_ms,
            self.leaving,
            self.limit_per_s,
        ]


class ReceivedReports:
    """Tracks the latest self reports that a node received from guards.

    A guard that restarts has lost the self report of its backend server,
    while every VM that relayed the server's answers still has to respect it.
    Each call to the guard therefore carries the last report that its sender
    received, and the guard knows it before it hands over any request of that
    sender.

    Attributes:
        by_node: The last report of each guard whose backend server is leaving
            or limited.
    """

    def __init__(self) -> None:
        self.by_node: collections.OrderedDict[str, SelfReport] = (
            collections.OrderedDict()
        )

    def record(
        self, node_id: str, report: SelfReport, from_server: bool
    ) -> None:
        """Records the self report on an answer.

        Args:
            node_id: The guard that sent it.
            report: The report.
            from_server: Whether the backend server itself gave the answer. A
                report of another incarnation that comes from the guard alone
                may be based on a late heartbeat. That a server is leaving is
                therefore cleared only by an answer of its successor.
        """
        known = self.by_node.get(node_id)
        if known is not None and known.leaving:
            if known.incarnation.may_be(report.incarnation):
                report = dataclasses.replace(report, leaving=True)
            elif not from_server:
                return
        if report.is_plain:
            self.by_node.pop(node_id, None)
            return
        self.by_node[node_id] = report
        if len(self.by_node) > _MAX_GUARDS:
            self.by_node.popitem(last=False)


def limit_from(values: list[str]) -> BackendNotice:
    """Parses the limit on an answer.

    Args:
        values: All values of the header; the lowest one applies.
    """
    limits = []
    for value in values:
        try:
            limit_per_s = float(value)
        except ValueError:
            limit_per_s = math.nan
        if not 0.0 <= limit_per_s < math.inf:
            return BackendNotice(unreadable=value)
        limits.append(limit_per_s)
    return BackendNotice(limit_per_s=min(limits)) if limits else NO_NOTICE


def from_parts(parts: object) -> SelfReport:
    """Parses the wire form of a report.

    Raises:
        InvalidInputError: The value does not have the form that this release
            writes.
    """
    if not isinstance(parts, list) or len(parts) != _FIELD_COUNT:
        raise _invalid(parts)
    instance_id, born_ms, leaving, limit_per_s = parts
    if not isinstance(instance_id, str) or not isinstance(leaving, bool):
        raise _invalid(parts)
    if born_ms is not None and not _is_number(born_ms):
        raise _invalid(parts)
    if limit_per_s is not None and not _is_limit(limit_per_s):
        raise _invalid(parts)
    incarnation = incarnations.Incarnation(instance_id, born_ms)
    return SelfReport(incarnation, leaving, limit_per_s)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_limit(value: float) -> bool:
    return _is_number(value) and 0.0 <= value < math.inf


def _invalid(parts: object) -> errors.InvalidInputError:
    return errors.InvalidInputError(
        f"expected a backend server's report as [id, born, leaving, limit], "
        f"got {str(parts)[:60]!r}; all nodes must run compatible releases."
    )
