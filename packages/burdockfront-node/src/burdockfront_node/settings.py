"""Settings of a node: one validated, immutable object from a YAML file."""

import ipaddress
import pathlib
from typing import Annotated
from typing import Any

import pydantic
import yaml

from burdockfront import errors
from burdockfront import policy
from burdockfront_node import yaml_lines


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("expected an address IP:PORT with an IP number")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
_Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]*$")]
_Key = Annotated[str, pydantic.Field(min_length=16)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(_Model):
    """The platform's key-value service."""

    address: Address
    rate_per_s: float = pydantic.Field(default=2.0, gt=0, le=100)
    timeout_s: float = pydantic.Field(default=1.0, gt=0, le=30)
    watch_s: float = pydantic.Field(default=10.0, gt=0, le=300)


class GossipSettings(_Model):
    """Pace of the exchange with other nodes."""

    period_s: float = pydantic.Field(default=1.0, ge=0.05, le=60)
    fanout: int = pydantic.Field(default=3, ge=1, le=16)
    suspicion_periods: float = pydantic.Field(default=3.0, ge=1, le=100)
    remember_s: float = pydantic.Field(default=86_400.0, ge=10)
    members_bytes_per_s: float = pydantic.Field(default=6_000.0, ge=500)


class StatsdSettings(_Model):
    """Where metrics go."""

    address: Address
    interval_s: float = pydantic.Field(default=5.0, ge=0.1, le=300)


class DrainSettings(_Model):
    """Pace of a planned stop."""

    notice_s: float = pydantic.Field(default=1.5, ge=0, le=60)
    linger_s: float = pydantic.Field(default=1.0, ge=0, le=600)


class RoutedSettings(_Model):
    """A place where operators' one table of routes says what a request is.

    Attributes:
        adapter: Module that translates the place's names.
        service: Service of the backend server beside this node.
        backend_address: Where that backend server takes requests.
        heartbeat_address: Where it reports to this node.
        ready_address: Where this node is asked whether it is in.
        metrics_address: Where metrics are served as text.
        store_address: The platform's store.
        drain_s: A leaving backend server gets no new work after this.
        stop_s: A process is killed this long after it was asked to stop.
        retry_slack: Further retries of all nodes together, in each window.
        quota_slack: Requests of a client account beyond its quota that are
            borne, of all nodes together, in each window.
    """

    adapter: str
    service: str
    backend_address: Address
    heartbeat_address: Address
    ready_address: Address
    metrics_address: Address
    store_address: Address
    drain_s: float = pydantic.Field(default=2.0, gt=0, le=60)
    stop_s: float = pydantic.Field(default=6.0, gt=0, le=600)
    retry_slack: float = pydantic.Field(default=40.0, ge=0)
    quota_slack: float = pydantic.Field(default=0.0, ge=0)


class NodeSettings(_Model):
    """All settings of a node."""

    node_id: _Name
    data_center: _Name
    region: _Name = "default"
    caller_address: Address
    internal_address: Address
    advertised_address: Address | None = None
    source_ip: pydantic.IPvAnyAddress | None = None
    peer_keys: list[_Key] = []
    operator_keys: list[_Key] = []
    seeds: list[Address] = []
    platform: PlatformSettings | None = None
    statsd: StatsdSettings | None = None
    gossip: GossipSettings = GossipSettings()
    drain: DrainSettings = DrainSettings()
    ticket_lifetime_s: float = pydantic.Field(default=900.0, ge=10, le=86_400)
    ledger_bytes: int = pydantic.Field(default=64_000_000, ge=100_000)
    events: int = pydantic.Field(default=20_000, ge=100, le=1_000_000)
    trace_share: float = pydantic.Field(default=1.0, ge=0.0, le=1.0)
    policy_defaults: dict[str, Any] = {}
    routed: RoutedSettings | None = None
    stop_patience_s: float = pydantic.Field(default=30.0, ge=0, le=600)
    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )

    @pydantic.model_validator(mode="after")
    def _check_keys(self) -> "NodeSettings":
        """Keys may be missing only where callers can't reach the nodes."""
        if self.routed is None and not (self.peer_keys and self.operator_keys):
            raise ValueError(
                "expected at least one of peer_keys and of operator_keys; "
                "generate them with 'burdockfront-ctl new-key'"
            )
        return self

    @pydantic.field_validator("policy_defaults")
    @classmethod
    def _check_defaults(cls, value: dict[str, Any]) -> dict[str, Any]:
        """Policy defaults must make a valid policy."""
        try:
            policy.parse({**value, "service": "any"})
        except errors.PolicyError as error:
            raise ValueError(str(error)) from None
        return value


def parse(
    document: Any,
    source: str,
    text: str | None = None,
) -> NodeSettings:
    """Validates settings.

    Args:
        document: As read from YAML.
        source: Where it came from, for the message.
        text: The YAML, for the lines of what is wrong.

    Raises:
        SettingsError: With the path of each wrong field, what was expected
            and the remedy.
    """
    if not isinstance(document, dict):
        raise errors.SettingsError(
            f"{source}: expected a mapping of settings, got "
            f"{type(document).__name__}; see docs/OPERATING.md for an example."
        )
    try:
        return NodeSettings.model_validate(document)
    except pydantic.ValidationError as error:
        line_of = yaml_lines.YamlLines(text).line_of if text else None
        why = policy.explain(source, error, line_of)
        raise errors.SettingsError(why) from None


def load(path: pathlib.Path) -> NodeSettings:
    """Reads and validates a settings file.

    Raises:
        SettingsError: It can't be read, is not YAML, or is not valid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(
            f"{path}: can't be read ({error.strerror}); give the path of a "
            f"settings file with --settings."
        ) from None
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise errors.SettingsError(
            f"{path}: not valid YAML: {error}; correct the line named."
        ) from None
    return parse(document, str(path), text)
