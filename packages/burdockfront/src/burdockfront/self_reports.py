"""What a backend server says of itself on its answers.

A server in need names how many requests a second it takes from all nodes
together, for as long as it says so. One that leaves says that too. Both are
about one start of the server: the next one has said nothing yet.
"""

import collections
import dataclasses
import math

from burdockfront import errors
from burdockfront import incarnations

_PARTS = 4
# More than the nodes of the largest system; each says something but seldom.
_MOST_REMEMBERED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """What one answer says.

    Attributes:
        leaving: The server wants no new work.
        limit_per_s: Requests a second that it takes; None: it names no limit.
        unreadable: A limit that is no number of requests, as it was named;
            empty if there is none.
    """

    leaving: bool = False
    limit_per_s: float | None = None
    unreadable: str = ""


# Nearly all answers say nothing of the kind.
NOTHING = Said()


@dataclasses.dataclass(frozen=True, slots=True)
class SelfReport:
    """What one start of a backend server said last, as nodes tell each other.

    Attributes:
        incarnation: Who said it.
        leaving: It wants no new work.
        limit_per_s: Requests a second that it takes; None: as many as it can.
    """

    incarnation: incarnations.Incarnation
    leaving: bool = False
    limit_per_s: float | None = None

    @property
    def is_plain(self) -> bool:
        """Whether it says nothing out of the ordinary."""
        return not self.leaving and self.limit_per_s is None

    def to_parts(self) -> list[object]:
        """Returns it as it travels between nodes."""
        incarnation = self.incarnation
        return [
            incarnation.instance_id,
            incarnation.born_ms,
            self.leaving,
            self.limit_per_s,
        ]


class HeardReports:
    """What guards told of their backend servers, kept by those who asked.

    A guard that begins anew knows nothing of its server, while every VM that
    passed the server's answers on is bound by them. So a call to that guard
    bears what its sender heard last, and the guard knows it before it hands
    over anything of that sender.

    Attributes:
        by_node: The last report of each guard that said anything.
    """

    def __init__(self) -> None:
        self.by_node: collections.OrderedDict[str, SelfReport] = (
            collections.OrderedDict()
        )

    def heard(
        self, node_id: str, report: SelfReport, from_server: bool
    ) -> None:
        """Takes what came with an answer.

        Args:
            node_id: The guard that told it.
            report: What it told.
            from_server: The backend server itself gave the answer. A guard's
                own word on another start may rest on a late heartbeat; that a
                server left is forgotten only when its successor answers.
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
        if len(self.by_node) > _MOST_REMEMBERED:
            self.by_node.popitem(last=False)


def limit_from(values: list[str]) -> Said:
    """Reads a limit that an answer names.

    Args:
        values: As they stand on the answer. Of several the lowest holds.
    """
    limits = []
    for value in values:
        try:
            limit_per_s = float(value)
        except ValueError:
            limit_per_s = math.nan
        if not 0.0 <= limit_per_s < math.inf:
            return Said(unreadable=value)
        limits.append(limit_per_s)
    return Said(limit_per_s=min(limits)) if limits else NOTHING


def from_parts(parts: object) -> SelfReport:
    """Reads a report of another node.

    Raises:
        InvalidInputError: It was not made by this release.
    """
    if not isinstance(parts, list) or len(parts) != _PARTS:
        raise _strange(parts)
    instance_id, born_ms, leaving, limit_per_s = parts
    if not isinstance(instance_id, str) or not isinstance(leaving, bool):
        raise _strange(parts)
    if born_ms is not None and not _is_number(born_ms):
        raise _strange(parts)
    if limit_per_s is not None and not _is_limit(limit_per_s):
        raise _strange(parts)
    incarnation = incarnations.Incarnation(instance_id, born_ms)
    return SelfReport(incarnation, leaving, limit_per_s)


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _is_limit(value: float) -> bool:
    return _is_number(value) and 0.0 <= value < math.inf


def _strange(parts: object) -> errors.InvalidInputError:
    return errors.InvalidInputError(
        f"expected a backend server's report as [id, born, leaving, limit], "
        f"got {str(parts)[:60]!r}; all nodes must run compatible releases."
    )
