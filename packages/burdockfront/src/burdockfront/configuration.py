"""Configuration in force: accepted once, everywhere, never back.

Operators' documents live in the platform's service, which numbers each change
with a revision. A node takes a document only if its revision is higher than
the one in force; it does not matter from whom it hears of it: a watcher, a
peer, or its own read. A stale peer or a stale read can't take anything back.

A document is validated before it is accepted. A node that can't apply one (an
older release, say) keeps what is in force, says so, and `verify` lists it.
"""

import dataclasses
from typing import Any

from burdockfront import errors
from burdockfront import policy
from burdockfront import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A document in force.

    Attributes:
        policy: The validated policy.
        document: As it was written.
        revision: The platform's revision.
        change_id: The unique id of the write that made it.
        since_s: Wall clock seconds at which this node put it in force.
    """

    policy: policy.Policy
    document: dict[str, Any]
    revision: int
    change_id: str
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A document that this node can't apply."""

    revision: int
    change_id: str
    reason: str


class Configuration:
    """The documents that one node knows and those it has in force.

    Args:
        defaults: Fields of the policy of a service that has no document.
    """

    def __init__(self, defaults: dict[str, Any] | None = None) -> None:
        self._defaults = defaults or {}
        self._default_of: dict[str, policy.Policy] = {}
        self._table = tables.Table()
        self._applied: dict[str, Applied] = {}
        self._rejected: dict[str, Rejected] = {}

    @property
    def table(self) -> tables.Table:
        """The table that is exchanged with peers."""
        return self._table

    def policy_of(self, service: str) -> policy.Policy:
        """Returns the policy in force, or the default one."""
        applied = self._applied.get(service)
        return applied.policy if applied else self._default(service)

    def _default(self, service: str) -> policy.Policy:
        if not self._defaults:
            return policy.default(service)
        found = self._default_of.get(service)
        if found is None:
            found = policy.parse({**self._defaults, "service": service})
            self._default_of[service] = found
        return found

    def applied(self) -> dict[str, Applied]:
        """Returns all documents in force by service."""
        return dict(self._applied)

    def rejected(self) -> dict[str, Rejected]:
        """Returns documents that could not be applied, by service."""
        return dict(self._rejected)

    def revision(self) -> int:
        """Returns the highest revision known."""
        versions = [entry.version[0] for entry in self._table.entries()]
        return max(versions, default=0)

    def merge(self, entry: tables.Entry, wall_s: float) -> bool:
        """Takes a document if it is newer than the one known.

        Returns:
            Whether it was news. Also true for news that can't be applied:
            it still has to be passed on to nodes that can.
        """
        in_force = self._applied.get(entry.key)
        if not self._table.merge(entry):
            return False
        revision = entry.version[0]
        assert in_force is None or revision >= in_force.revision, (
            "a document never goes back"
        )
        self._apply(entry, revision, wall_s)
        return True

    def _apply(self, entry: tables.Entry, revision: int, wall_s: float) -> None:
        change_id = str(entry.value.get("change_id", ""))
        document = entry.value.get("document")
        try:
            if not isinstance(document, dict):
                raise errors.PolicyError("expected a document, got none.")
            parsed = policy.parse(document)
            if parsed.service != entry.key:
                raise errors.PolicyError(
                    f"expected a policy of {entry.key}, got one of "
                    f"{parsed.service}."
                )
        except errors.PolicyError as error:
            why = str(error)
            self._rejected[entry.key] = Rejected(revision, change_id, why)
            return
        self._rejected.pop(entry.key, None)
        self._applied[entry.key] = Applied(
            parsed, document, revision, change_id, wall_s
        )


def entry_of(
    service: str, revision: int, document: dict[str, Any], change_id: str
) -> tables.Entry:
    """Returns the table entry of a document at a revision."""
    value = {"document": document, "change_id": change_id}
    return tables.Entry(service, (revision,), value)


def check_expected(document: str, expected: int | None, found: int) -> None:
    """Checks the revision that an operator's command is based on.

    Raises:
        RevisionConflictError: Somebody else changed the document first.
    """
    if expected is not None and expected != found:
        raise errors.RevisionConflictError(document, expected, found)
