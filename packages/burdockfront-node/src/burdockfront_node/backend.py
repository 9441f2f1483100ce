"""The backend server beside this node, as it announced itself.

There is no list of backend servers: each one announces itself to its node
about once a second. Its reports lag and mislead, so only three things of an
announcement are used: the address, the slots (as an upper bound; a claim that
grows is believed on proof) and whether it is leaving. That it is silent is
judged by time, and that it is broken by what becomes of the requests it is
handed.
"""

import dataclasses
from typing import Annotated
from typing import Any

import pydantic

from burdockfront import errors
from burdockfront import incarnations
from burdockfront import policy
from burdockfront import self_reports

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
    """What a backend server says of itself.

    Attributes:
        service: Its service.
        address: Where it takes requests, `ip:port`.
        slots: Requests that it serves at once.
        state: `ready`, `cold` or `draining`.
        load: Its own report, shown to operators only.
        embedded: It routes its deeper calls itself, with the library.
        incarnation: Which start of it this is, as far as it tells.
        notice: Whether it names a limit; None if it says nothing about that.
    """

    service: str
    address: str
    slots: int
    state: str
    load: float
    embedded: bool
    incarnation: incarnations.Incarnation = incarnations.UNIDENTIFIED
    notice: self_reports.BackendNotice | None = None

    @property
    def draining(self) -> bool:
        """Whether it wants no new work."""
        return self.state == "draining"


def parse_announcement(document: Any) -> Announcement:
    """Validates an announcement.

    Raises:
        InvalidInputError: With path, expectation and remedy.
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
