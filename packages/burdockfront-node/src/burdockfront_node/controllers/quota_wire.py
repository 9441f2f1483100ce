"""Encodes and decodes quota reports and the replies to them."""

from typing import Any

import pydantic

from burdockfront import errors
from burdockfront import quotas

_USAGE = pydantic.TypeAdapter(list[tuple[str, int]])
_REQUESTS = pydantic.TypeAdapter(list[tuple[str, int, int]])
_GRANTS = pydantic.TypeAdapter(list[tuple[str, int, int, float]])
# Releases without promised tokens neither send nor read these fields, and
# ignore them.
_MAX_WAITS = pydantic.TypeAdapter(list[float])
_PROMISES = pydantic.TypeAdapter(list[tuple[int, float]])
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
        "m": [request.max_wait_s for request in report.requests],
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
            _read_requests(data),
        )
    except (KeyError, ValueError) as error:
        raise _unreadable("a quota report", error) from None


def write_allocation(allocation: quotas.Allocation) -> dict[str, Any]:
    """Encodes the reply to a report."""
    return {
        "g": [
            [grant.account, grant.rank, grant.count, grant.wait_s]
            for grant in allocation.grants
        ],
        "p": [
            [grant.promised, grant.interval_s] for grant in allocation.grants
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
            _read_grants(data),
            frozenset(_SCARCE.validate_python(data["c"])),
        )
    except (KeyError, ValueError) as error:
        raise _unreadable("a reply to a quota report", error) from None


def _read_requests(data: dict[str, Any]) -> tuple[quotas.TokenRequest, ...]:
    rows = _REQUESTS.validate_python(data["w"])
    waits = _MAX_WAITS.validate_python(data.get("m", [])) or [0.0] * len(rows)
    return tuple(
        quotas.TokenRequest(*row, max_wait_s)
        for row, max_wait_s in zip(rows, waits, strict=True)
    )


def _read_grants(data: dict[str, Any]) -> tuple[quotas.TokenGrant, ...]:
    rows = _GRANTS.validate_python(data["g"])
    promises = _PROMISES.validate_python(data.get("p", []))
    promises = promises or [(0, 0.0)] * len(rows)
    return tuple(
        quotas.TokenGrant(*row, *promise)
        for row, promise in zip(rows, promises, strict=True)
    )


def _unreadable(what: str, error: Exception) -> errors.InvalidInputError:
    return errors.InvalidInputError(
        f"expected {what}, got an invalid one ({error!r:.200}); all nodes must "
        f"run compatible releases."
    )
