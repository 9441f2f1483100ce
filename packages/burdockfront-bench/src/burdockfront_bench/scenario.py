"""Scenarios: a load in three phases, and what goes wrong in the middle."""

import pathlib
from typing import Any

import pydantic
import yaml

from burdockfront import errors
from burdockfront import policy

_DIRECTORY = pathlib.Path(__file__).parent / "scenarios"

# Baselines are switches of policy, not other code.
CONTROLS: dict[str, dict[str, object]] = {
    "none": {
        "admission.kind": "none",
        "retry.kind": "layers",
        "retry.allowance": 3,
    },
    "hop": {
        "admission.kind": "limit",
        "retry.kind": "hop",
        "retry.allowance": 3,
    },
    "burdockfront": {},
}


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Fault(_Model):
    """Something that goes wrong during the trigger.

    Attributes:
        kind: Name of a registered fault (see `faults`).
        service: The service it hits; empty if it hits none.
        count: How many of its backend servers.
        first: The first of them.
        factor: How much slower, for `slow`.
        slots: What a lie says, for `lie`.
        begin_s: Brought about so long after the begin of the trigger.
        until_s: Undone so long after the begin of the trigger; by default
            at its end.
    """

    kind: str
    service: str = ""
    count: int = 1
    first: int = 0
    factor: float = 5.0
    slots: int = 40
    begin_s: float = 0.0
    until_s: float | None = None


class DrawnFaults(_Model):
    """Faults that are drawn at random (see `trouble`).

    Attributes:
        kinds: Which kinds, each as likely as the others.
        every_s: Mean time between two.
        shortest_s: Least length of one.
        longest_s: Greatest length of one.
    """

    kinds: list[str]
    every_s: float = 4.0
    shortest_s: float = 2.0
    longest_s: float = 10.0


class Scenario(_Model):
    """One experiment.

    Attributes:
        name: Its name.
        about: What happens, in a sentence.
        graph: Name of a registered call graph (see `mesh`).
        base_per_s: Load before and after the trigger.
        surge: Load during the trigger, as a multiple.
        repeats: How often callers repeat at once during the trigger.
        before_s: Length of the phase before the trigger.
        trigger_s: Length of the trigger.
        after_s: Length of the phase after it.
        faults: What goes wrong.
        drawn: Faults drawn at random besides.
        proxied: Nodes talk through a fault-injecting proxy.
    """

    name: str
    about: str
    graph: str = "gandhinagar"
    base_per_s: float = 160.0
    surge: float = 1.0
    repeats: int = 0
    before_s: float = 6.0
    trigger_s: float = 10.0
    after_s: float = 8.0
    faults: list[Fault] = []
    drawn: DrawnFaults | None = None
    proxied: bool = False


def names() -> list[str]:
    """Returns the names of all scenarios that ship with the bench."""
    return sorted(path.stem for path in _DIRECTORY.glob("*.yaml"))


def load(name: str) -> Scenario:
    """Reads a scenario by name, or from a path.

    Raises:
        SettingsError: There is none, or it is not valid.
    """
    path = _DIRECTORY / f"{name}.yaml"
    if not path.exists():
        path = pathlib.Path(name)
    if not path.exists():
        raise errors.SettingsError(
            f"no scenario {name!r}; give a path, or one of "
            f"{', '.join(names())}."
        )
    document: Any = yaml.safe_load(path.read_text())
    try:
        return Scenario.model_validate(document)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(policy.explain(str(path), error)) from None
