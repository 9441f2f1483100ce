"""Policy documents: the operators' settings, one document per service.

A document is validated on input by the models of this module: unknown keys are
refused, and each error names the path, the expected value and the remedy.
Inside the system a document is a frozen data class.
"""

import dataclasses
import functools
from collections.abc import Callable
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

from burdockfront import errors

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclasses.dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests and its priority.

    Attributes:
        name: Name shown to operators.
        rank: 0 is shed last.
        methods: HTTP methods that match; empty matches all.
        path_prefix: Prefix of the paths that match.
    """

    name: str
    rank: int
    methods: tuple[str, ...]
    path_prefix: str

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a request belongs to this class."""
        if self.methods and method not in self.methods:
            return False
        return path.startswith(self.path_prefix)


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Which hops may retry a call, and how often.

    Attributes:
        kind: `chain` (one allowance for the whole call tree), `hop` (each hop
            on its own, within the ratio) or `layers` (each hop, not limited by
            other hops: a baseline for comparisons).
        allowance: Retries of a whole request, or of each hop.
        reroutes: Number of other backend servers to try after a certain
            `not-run`.
        ratio: Retries of a node per first try.
    """

    kind: str
    allowance: int
    reroutes: int
    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """How a guard protects its backend server.

    Attributes:
        kind: `level` (priority level, also upstream), `flow` (the same for
            guards several layers from the entries), `demand` (the same from an
            estimate of the whole demand), `limit` (concurrency limit with a
            queue, first come first served) or `none`.
        scarce_kind: Kind in force in a system with a scarce service, one that
            has few servers for the size of the system; None for the same kind.
        queue_s: Maximum wait for a slot.
        ramp_s: Time from a cold start to full use of the slots.
    """

    kind: str
    queue_s: float
    ramp_s: float
    scarce_kind: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The policy of one service."""

    service: str
    deadline_s: float
    attempt_timeout_s: float
    classes: tuple[RequestClass, ...]
    retry: RetryPolicy
    admission: AdmissionPolicy
    body_limit_bytes: int

    def class_of(self, method: str, path: str) -> RequestClass:
        """Returns the first class that matches; the last one otherwise.

        The last class is the least important one, so a request that the policy
        does not foresee is shed before those that it names.
        """
        for request_class in self.classes:
            if request_class.matches(method, path):
                return request_class
        return self.classes[-1]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


_Name = Annotated[str, pydantic.Field(pattern=r"^[a-z][a-z0-9-]{0,40}$")]


class _ClassModel(_Model):
    name: _Name
    rank: int = pydantic.Field(ge=0, le=7)
    methods: list[str] = []
    path_prefix: str = "/"


class _RetryModel(_Model):
    kind: Literal["chain", "hop", "layers"] = "chain"
    allowance: int = pydantic.Field(default=2, ge=0, le=16)
    reroutes: int = pydantic.Field(default=1, ge=0, le=8)
    ratio: float = pydantic.Field(default=0.1, ge=0.0, le=1.0)


_AdmissionKind = Literal["level", "flow", "demand", "limit", "none"]


class _AdmissionModel(_Model):
    kind: _AdmissionKind = "level"
    scarce_kind: _AdmissionKind | None = None
    queue_s: float = pydantic.Field(default=0.25, gt=0.0, le=10.0)
    ramp_s: float = pydantic.Field(default=3.0, ge=0.0, le=600.0)


class _PolicyModel(_Model):
    service: _Name
    deadline_s: float = pydantic.Field(default=2.0, gt=0.0, le=120.0)
    attempt_timeout_s: float = pydantic.Field(default=0.7, gt=0.0, le=120.0)
    body_limit_bytes: int = pydantic.Field(
        default=1_000_000, ge=1024, le=16_000_000
    )
    classes: list[_ClassModel] = pydantic.Field(
        default=[
            _ClassModel(name="confirm", rank=0, methods=["POST"]),
            _ClassModel(name="browse", rank=1),
        ],
        min_length=1,
        max_length=16,
    )
    retry: _RetryModel = _RetryModel()
    admission: _AdmissionModel = _AdmissionModel()


def parse(document: dict[str, Any]) -> Policy:
    """Validates a policy document.

    Args:
        document: The document as read from YAML or JSON.

    Raises:
        PolicyError: With the path of each wrong field, what was expected
            and what was found.
    """
    try:
        model = _PolicyModel.model_validate(document)
    except pydantic.ValidationError as error:
        raise errors.PolicyError(explain("policy", error)) from None
    return Policy(
        service=model.service,
        deadline_s=model.deadline_s,
        attempt_timeout_s=model.attempt_timeout_s,
        classes=tuple(
            RequestClass(c.name, c.rank, tuple(c.methods), c.path_prefix)
            for c in model.classes
        ),
        retry=RetryPolicy(**model.retry.model_dump()),
        admission=AdmissionPolicy(**model.admission.model_dump()),
        body_limit_bytes=model.body_limit_bytes,
    )


@functools.lru_cache(maxsize=1024)
def default(service: str) -> Policy:
    """Returns the policy of a service that has no document yet.

    Cached, because it is needed several times per call.
    """
    return parse({"service": service})


def full_document(document: dict[str, Any]) -> dict[str, Any]:
    """Returns a valid document with all defaults written out.

    Raises:
        PolicyError: As `parse`.
    """
    parse(document)
    return _PolicyModel.model_validate(document).model_dump(mode="json")


def with_field(
    document: dict[str, Any], path: str, value: object
) -> dict[str, Any]:
    """Returns a copy of a document with one field set.

    Args:
        document: A full document.
        path: Field names joined by dots; a class is addressed by its name,
            as in `classes.browse.rank`.
        value: The new value.

    Raises:
        PolicyError: No such field, or the result is not valid.
    """
    copy = full_document(document)
    target: Any = copy
    names = path.split(".")
    for name in names[:-1]:
        target = _child(target, name, path)
    if not isinstance(target, dict) or names[-1] not in target:
        raise errors.PolicyError(_no_field(path, target))
    target[names[-1]] = value
    return full_document(copy)


def _child(target: Any, name: str, path: str) -> Any:
    if isinstance(target, list):
        for item in target:
            if item.get("name") == name:
                return item
    elif isinstance(target, dict) and name in target:
        return target[name]
    raise errors.PolicyError(_no_field(path, target))


def _no_field(path: str, target: Any) -> str:
    if isinstance(target, dict):
        known = ", ".join(target)
    elif isinstance(target, list):
        known = ", ".join(item.get("name", "?") for item in target)
    else:
        known = "nothing below a plain value"
    return (
        f"no field {path!r}; at this level the policy has: {known}. See "
        f"'show policy SERVICE'."
    )


def explain(
    subject: str,
    error: pydantic.ValidationError,
    line_of: Callable[[tuple[int | str, ...]], int] | None = None,
) -> str:
    """Formats a validation error as lines of path, problem and remedy.

    Args:
        subject: Name of the document.
        error: The validation error.
        line_of: Returns the line number of a value, for a document that was
            read from a file.
    """
    lines = []
    for item in error.errors():
        path = ".".join(str(part) for part in item["loc"]) or "(whole)"
        if line_of is not None:
            path = f"line {line_of(item['loc'])}: {path}"
        if item["type"] == "extra_forbidden":
            lines.append(
                f"{subject}: {path}: unknown key; remove it or correct its "
                f"spelling."
            )
        elif item["type"] == "missing":
            lines.append(f"{subject}: {path}: required, but absent; add it.")
        else:
            lines.append(
                f"{subject}: {path}: {item['msg']}, got {item['input']!r}; "
                f"correct the value."
            )
    return "\n".join(lines)
