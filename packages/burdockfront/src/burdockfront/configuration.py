"""Replicated configuration: policy documents by service and revision.

Operators' documents are stored in the platform's service, which assigns a
revision to each change. A node accepts a document only if its revision is
higher than the one it has, whether it comes from a watch of the service, a peer
or its own read. A stale peer or a stale read therefore cannot undo a change.

A document is validated before it is applied. A node that cannot apply it, for
example because of an older release, keeps the applied one and reports the
rejection, which `verify` lists.
"""

import dataclasses
from typing import Any

from burdockfront import errors
from burdockfront import policy
from burdockfront import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """An applied document.

    Attributes:
        policy: The validated policy.
        document: The document as written.
        revision: Revision that the platform's service assigned.
        change_id: Unique id of the write that created this revision.
        since_s: Wall clock seconds at which this node applied it.
    """

    policy: policy.Policy
    document: dict[str, Any]
    revision: int
    change_id: str
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A document that this node cannot apply."""

    revision: int
    change_id: str
    reason: str


class Configuration:
    """The documents that one node has received and those that it has applied.

    Args:
        defaults: Policy fields of services without a document.
    """

    def __init__(self, defaults: dict[str, Any] | None = None) -> None:
        self._defaults = defaults or {}
        self._policy_of: dict[str, policy.Policy] = {}
        self._table = tables.Table()
        self._applied: dict[str, Applied] = {}
        self._rejected: dict[str, Rejected] = {}

    @property
    def table(self) -> tables.Table:
        """The table that is exchanged with peers."""
        return self._table

    def policy_of(self, service: str) -> policy.Policy:
        """Returns the applied policy of a service, or the default one."""
        found = self._policy_of.get(service)
        if found is None:
            found = self._policy_of[service] = self._default(service)
        return found

    def _default(self, service: str) -> policy.Policy:
        if not self._defaults:
            return policy.default(service)
        return policy.parse({**self._defaults, "service": service})

    def applied(self) -> dict[str, Applied]:
        """Returns all applied documents by service."""
        return dict(self._applied)

    def rejected(self) -> dict[str, Rejected]:
        """Returns the documents that could not be applied, by service."""
        return dict(self._rejected)

    def revision(self) -> int:
        """Returns the highest revision received."""
        versions = [entry.version[0] for entry in self._table.entries()]
        return max(versions, default=0)

    def merge(self, entry: tables.Entry, wall_s: float) -> bool:
        """Stores a document if it is newer than the stored one, and applies it.

        Returns:
            Whether it was newer. Also true for a document that cannot be
            applied here: it still has to be passed on to nodes that can.
        """
        applied = self._applied.get(entry.key)
        if not self._table.merge(entry):
            return False
        revision = entry.version[0]
        assert applied is None or revision >= applied.revision, (
            "the applied revision of a document must not decrease"
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
            reason = str(error)
            self._rejected[entry.key] = Rejected(revision, change_id, reason)
            return
        self._rejected.pop(entry.key, None)
        self._policy_of[entry.key] = parsed
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
        RevisionConflictError: The document has been changed since `expected`.
    """
    if expected is not None and expected != found:
        raise errors.RevisionConflictError(document, expected, found)
