"""How reports of quotas look between nodes."""

from typing import Any

import pydantic

from burdockfront import errors
from burdockfront import quotas

_SPENT = pydantic.TypeAdapter(list[tuple[str, int]])
_WANTED = pydantic.TypeAdapter(list[tuple[str, int, int]])
_GRANTED = pydantic.TypeAdapter(list[tuple[str, int, int, float]])
_NAMES = pydantic.TypeAdapter(list[str])


def write_report(report: quotas.Report) -> dict[str, Any]:
    """Returns a report as it travels."""
    return {
        "n": report.node_id,
        "s": [[spent.account, spent.count] for spent in report.usage],
        "w": [
            [wanted.account, wanted.rank, wanted.count]
            for wanted in report.requests
        ],
    }


def read_report(data: dict[str, Any]) -> quotas.Report:
    """Reads a report.

    Raises:
        InvalidInputError: It does not have the shape of one.
    """
    try:
        return quotas.Report(
            str(data["n"]),
            tuple(
                quotas.Usage(*row) for row in _SPENT.validate_python(data["s"])
            ),
            tuple(
                quotas.TokenRequest(*row)
                for row in _WANTED.validate_python(data["w"])
            ),
        )
    except (KeyError, pydantic.ValidationError) as error:
        raise _unreadable("a report of quotas", error) from None


def write_allocation(dealt: quotas.Allocation) -> dict[str, Any]:
    """Returns an answer as it travels."""
    return {
        "g": [
            [granted.account, granted.rank, granted.count, granted.wait_s]
            for granted in dealt.grants
        ],
        "c": sorted(dealt.scarce),
    }


def read_allocation(data: dict[str, Any]) -> quotas.Allocation:
    """Reads an answer.

    Raises:
        InvalidInputError: It does not have the shape of one.
    """
    try:
        return quotas.Allocation(
            tuple(
                quotas.TokenGrant(*row)
                for row in _GRANTED.validate_python(data["g"])
            ),
            frozenset(_NAMES.validate_python(data["c"])),
        )
    except (KeyError, pydantic.ValidationError) as error:
        raise _unreadable("an answer about quotas", error) from None


def _unreadable(what: str, error: Exception) -> errors.InvalidInputError:
    return errors.InvalidInputError(
        f"expected {what}, got one without a valid {error!r:.200}; all nodes "
        f"must run compatible releases."
    )
