"""Settings of the operators' command line."""

import os
import pathlib

import pydantic
import yaml

from burdockfront import errors
from burdockfront import policy


class CtlSettings(pydantic.BaseModel):
    """Settings file of the command line.

    Attributes:
        nodes: Internal addresses of nodes, tried in order.
        operator_key: Operator key that the nodes accept.
        who: Name of the operator, recorded with each change.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    nodes: list[str] = pydantic.Field(min_length=1)
    operator_key: str = pydantic.Field(min_length=16)
    who: str = os.environ.get("USER", "operator")


def load(path: pathlib.Path) -> CtlSettings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file can't be read, is not YAML, or is not valid.
    """
    try:
        document = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: can't be read ({error.strerror}); give the path of a "
            f"settings file with --settings."
        ) from None
    except yaml.YAMLError as error:
        raise errors.SettingsError(f"{path}: not valid YAML: {error}") from None
    if not isinstance(document, dict):
        raise errors.SettingsError(
            f"{path}: expected nodes and operator_key, got "
            f"{type(document).__name__}; see docs/OPERATING.md."
        )
    try:
        return CtlSettings.model_validate(document)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(policy.explain(str(path), error)) from None
