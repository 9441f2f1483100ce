"""Announcements of the backend server beside a node.

There is no list of backend servers: each one announces itself to its node about
once a second. Announcements lag and can be misleading, so only three of their
fields are used: the address, the slots (as an upper bound; an increased claim
has to be proven) and whether the server is leaving. A server that stops
announcing itself is detected by a timeout, and a broken one by the outcome of
the requests that are handed to it.
"""

import dataclasses
from typing import Annotated
from typing import Any

import pydantic

from burdockfront import errors
from burdockfront import incarnations
from burdockfront import policy
from burdockfront import self_reports

# A server without an announcement for this long is considered unavailable.
ANNOUNCEMENT_TIMEOUT_S = 3.0


class _AnnouncementModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")

    service: Annotated[str, pydantic.Field(pattern=r"^[a-z][a-z0-9-]{0,40}$")]
    address: Annotated[str, pydantic.Field(pattern=r"^[0-9a-f.:\[\]]+:\d+$")]
    slots: int = pydantic.Field(ge=1, le=100_000)
    state: str = pydantic.Field(
        default="ready", pattern="^(ready|cold|draining)$"
    )
    load: float = 0.0
    embedded: bool = False
    instance: str = pydantic.Field(default="", max_length=64)
    limit_per_s: float | None = pydantic.Field(
        default=None, ge=0.0, allow_inf_nan=False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """An announcement of a backend server.

    Attributes:
        service: Its service.
        address: Address at which it accepts requests, `ip:port`.
        slots: Number of requests that it serves concurrently.
        state: `ready`, `cold` or `draining`.
        load: Its own load figure, shown to operators only.
        embedded: It routes its downstream calls itself, with the library.
        incarnation: Its incarnation, as far as it is reported.
        notice: Its rate limit or the absence of one; None if the announcement
            has no such field.
        warm_in_s: Remaining time in which it is slow after its start; 0 if it
            is not reported.
    """

    service: str
    address: str
    slots: int
    state: str
    load: float
    embedded: bool
    incarnation: incarnations.Incarnation = incarnations.UNIDENTIFIED
    notice: self_reports.BackendNotice | None = None
    warm_in_s: float = 0.0

    @property
    def draining(self) -> bool:
        """Whether the server wants no new work."""
        return self.state == "draining"


def parse_announcement(document: Any) -> Announcement:
    """Validates an announcement.

    Raises:
        InvalidInputError: A field is invalid; the message has its path, the
            expected value and a remedy.
    """
    try:
        model = _AnnouncementModel.model_validate(document)
    except pydantic.ValidationError as error:
        text = policy.explain("announcement", error)
        raise errors.InvalidInputError(
            f"{text} See docs/BACKENDS.md."
        ) from None
    notice = None
    if "limit_per_s" in model.model_fields_set:
        notice = self_reports.BackendNotice(limit_per_s=model.limit_per_s)
    return Announcement(
        service=model.service,
        address=model.address,
        slots=model.slots,
        state=model.state,
        load=model.load,
        embedded=model.embedded,
        incarnation=incarnations.Incarnation(model.instance),
        notice=notice,
    )
