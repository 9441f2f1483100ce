"""Encodes and decodes quota reports and the replies to them."""

from typing import Any

import pydantic

from burdockfront import errors
from burdockfront import quotas

_USAGE = pydantic.TypeAdapter(list[tuple[str, int]])
_REQUESTS = pydantic.TypeAdapter(list[tuple[str, int, int]])
_GRANTS = pydantic.TypeAdapter(list[tuple[str, int, int, float]])
_SCARCE = pydantic.TypeAdapter(list[str])


def write_report(report: quotas.Report) -> dict[str, Any]:
    """Encodes a report."""
    return {
        "n": report.node_id,
        "s": [[usage.account, usage.count] for usage in report.usage],
        "w": [
            [request.account, request.rank, request.count]
            for request in report.requests
        ],
    }


def read_report(data: dict[str, Any]) -> quotas.Report:
    """Decodes a report.

    Raises:
        InvalidInputError: The data is not a valid report.
    """
    try:
        return quotas.Report(
            str(data["n"]),
            tuple(
                quotas.Usage(*row) for row in _USAGE.validate_python(data["s"])
            ),
            tuple(
                quotas.TokenRequest(*row)
                for row in _REQUESTS.validate_python(data["w"])
            ),
        )
    except (KeyError, pydantic.ValidationError) as error:
        raise _unreadable("a quota report", error) from None


def write_allocation(allocation: quotas.Allocation) -> dict[str, Any]:
    """Encodes the reply to a report."""
    return {
        "g": [
            [grant.account, grant.rank, grant.count, grant.wait_s]
            for grant in allocation.grants
        ],
        "c": sorted(allocation.scarce),
    }


def read_allocation(data: dict[str, Any]) -> quotas.Allocation:
    """Decodes the reply to a report.

    Raises:
        InvalidInputError: The data is not a valid reply.
    """
    try:
        return quotas.Allocation(
            tuple(
                quotas.TokenGrant(*row)
                for row in _GRANTS.validate_python(data["g"])
            ),
            frozenset(_SCARCE.validate_python(data["c"])),
        )
    except (KeyError, pydantic.ValidationError) as error:
        raise _unreadable("a reply to a quota report", error) from None


def _unreadable(what: str, error: Exception) -> errors.InvalidInputError:
    return errors.InvalidInputError(
        f"expected {what}, got an invalid one ({error!r:.200}); all nodes must "
        f"run compatible releases."
    )
