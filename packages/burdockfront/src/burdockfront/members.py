"""A member: a node, its backend server, and the status assumed of it."""

import dataclasses
import enum
import re
from typing import Any

from burdockfront import errors
from burdockfront import guards
from burdockfront import tables

_ADDRESS = re.compile(r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")


class Status(enum.StrEnum):
    """Status that is assumed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# Of two statuses under the same incarnation and revision, the one of the higher
# rank wins.
RANK = {
    Status.ALIVE: 0,
    Status.SUSPECT: 1,
    Status.DEAD: 2,
    Status.LEFT: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A node and the backend server on the same VM.

    Attributes:
        node_id: Name from the settings.
        boot_id: Id of the process.
        incarnation: Increases with each start of the node.
        revision: Increases with each change that the node makes to its entry.
        status: Status that is assumed of the node.
        address: Address for calls from other nodes, `ip:port`.
        data_center: Data centre of the node.
        region: Region of the node.
        service: Service of its backend server; empty until one is announced.
        slots: Concurrent requests that its guard assumes its backend server
            can serve.
        draining: The node accepts no new work.
        store_away: The store is unavailable to this node.
    """

    node_id: str
    boot_id: str
    incarnation: int
    revision: int
    status: Status
    address: str
    data_center: str
    region: str
    service: str = ""
    slots: int = 0
    draining: bool = False
    store_away: bool = False

    @property
    def ended(self) -> bool:
        """Whether its process is assumed to have ended."""
        return self.status in (Status.DEAD, Status.LEFT)

    def to_entry(self) -> tables.Entry:
        """Returns the table entry."""
        version = (self.incarnation, self.revision, RANK[self.status])
        value: dict[str, Any] = {
            "boot": self.boot_id,
            "status": self.status.value,
            "address": self.address,
            "dc": self.data_center,
            "region": self.region,
            "service": self.service,
            "slots": self.slots,
            "draining": self.draining,
        }
        if self.store_away:
            value["store_away"] = True
        return tables.Entry(self.node_id, version, value)

    def to_target(self) -> guards.Target:
        """Returns the fields that a router needs."""
        return guards.Target(
            node_id=self.node_id,
            boot_id=self.boot_id,
            service=self.service,
            address=self.address,
            data_center=self.data_center,
            slots=self.slots,
            draining=self.draining,
            suspect=self.status is Status.SUSPECT,
        )


def member_from_entry(entry: tables.Entry) -> Member:
    """Parses a member.

    Raises:
        InvalidInputError: The entry does not describe a member.
    """
    value = entry.value
    try:
        incarnation, revision, _ = entry.version
        return Member(
            node_id=entry.key,
            boot_id=_text(value, "boot"),
            incarnation=incarnation,
            revision=revision,
            status=Status(value["status"]),
            address=_address(value),
            data_center=_text(value, "dc"),
            region=_text(value, "region"),
            service=_text(value, "service"),
            slots=int(value["slots"]),
            draining=bool(value["draining"]),
            store_away=bool(value.get("store_away", False)),
        )
    except (KeyError, ValueError, TypeError) as error:
        raise errors.InvalidInputError(
            f"expected a member entry, got one without a valid {error}; all "
            f"nodes must run compatible releases."
        ) from None


def _text(value: dict[str, Any], name: str) -> str:
    found = value[name]
    if not isinstance(found, str):
        raise TypeError(f"{name}: text is expected, not {found!r}")
    return found


def _address(value: dict[str, Any]) -> str:
    """Returns the address, if a request can be sent to it.

    A malformed address would end the task that probes all members.

    Raises:
        ValueError: It is not of the form `ip:port`.
    """
    found = _text(value, "address")
    if not _ADDRESS.match(found):
        raise ValueError(f"address: 'ip:port' is expected, not {found!r}")
    return found
