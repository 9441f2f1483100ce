"""Validated, immutable settings of a node, read from a YAML file."""

import ipaddress
import pathlib
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
import yaml

from burdockfront import body_budget
from burdockfront import errors
from burdockfront import ledger
from burdockfront import levels
from burdockfront import policy
from burdockfront_client import answer_memory
from burdockfront_node import yaml_lines
from burdockfront_node.internal import unsent_answers

_BYTES_PER_MB = 1_000_000
# Shares of the memory that a node may use. What they leave is for the process
# at rest, and for the entries of the ledger.
_INCOMPLETE_ANSWERS_SHARE = 0.125
_KEPT_ANSWERS_SHARE = 0.05
_UNSENT_ANSWERS_SHARE = 0.25
# At each of the two ports that take requests.
_REQUEST_BODIES_SHARE = 0.125
# Limit on a single body, which may exceed the share while there is no other.
_LARGEST_BODY_SHARE = 0.4


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
    """Intervals and byte budget of the gossip with other nodes."""

    period_s: float = pydantic.Field(default=1.0, ge=0.05, le=60)
    fanout: int = pydantic.Field(default=3, ge=1, le=16)
    suspicion_periods: float = pydantic.Field(default=3.0, ge=1, le=100)
    remember_s: float = pydantic.Field(default=86_400.0, ge=10)
    members_bytes_per_s: float = pydantic.Field(default=6_000.0, ge=500)


class StatsdSettings(_Model):
    """The StatsD server that metrics are sent to."""

    address: Address
    interval_s: float = pydantic.Field(default=5.0, ge=0.1, le=300)


class DrainSettings(_Model):
    """Phases of a graceful shutdown.

    Attributes:
        notice_s: Time between the announcement and refusing new work.
        linger_s: Time to stay reachable after the last request has ended.
    """

    notice_s: float = pydantic.Field(default=1.5, ge=0, le=60)
    linger_s: float = pydantic.Field(default=1.0, ge=0, le=600)


class RoutedSettings(_Model):
    """Settings of a node that uses the operators' table of routes.

    Attributes:
        adapter: Module that translates the names of the environment.
        service: Service of the backend server beside this node.
        backend_address: Address of that backend server.
        heartbeat_address: Where this node receives heartbeats of the server.
        ready_address: Where this node serves its readiness check.
        metrics_address: Where this node serves metrics as text.
        store_address: Address of the platform's store.
        drain_s: A leaving backend server gets no new work after this time.
        stop_s: Time between the request to stop and the kill of the process.
        retry_slack: Additional retries per window, of all nodes together.
        quota_slack: Requests beyond a client account's quota that are
            tolerated per window, of all nodes together.
        load_reports: Whether the load that the backend server reports is used.
        fair_shares: Whether client accounts share a scarce service fairly.
        early_refusals: Whether new work above the level of its path is refused
            before a call is built. Otherwise the dispatcher refuses it.
        retry_after: How retry-after times of overload refusals are set: from
            the course of the path's level, or as a share of the target latency
            of the route alone.
        level_relax_after_s: Time without news after which a level that was
            received rises.
        level_relax_per_s: How fast a level that was received rises without
            news, in priority numbers per second. A rank has 256 of them.
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
    load_reports: pydantic.StrictBool = True
    fair_shares: pydantic.StrictBool = True
    early_refusals: bool = True
    retry_after: Literal["forecast", "target"] = "target"
    level_relax_after_s: float = pydantic.Field(
        default=levels.RELAX_AFTER_S, ge=0.1, le=10.0
    )
    level_relax_per_s: float = pydantic.Field(
        default=levels.RELAX_PER_S, ge=64, le=2048
    )


class NodeSettings(_Model):
    """All settings of a node.

    Attributes:
        memory_mb: Memory that this process may use, in megabytes; None or 0 if
            it is not known.
    """

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
    memory_mb: float | None = pydantic.Field(default=None, ge=0)
    ledger_bytes: int = pydantic.Field(default=64_000_000, ge=100_000)
    events: int = pydantic.Field(default=20_000, ge=100, le=1_000_000)
    trace_share: float = pydantic.Field(default=1.0, ge=0.0, le=1.0)
    policy_defaults: dict[str, Any] = {}
    routed: RoutedSettings | None = None
    stop_patience_s: float = pydantic.Field(default=30.0, ge=0, le=600)
    log_level: str = pydantic.Field(
        default="INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$"
    )

    @property
    def incomplete_answers_bytes(self) -> int:
        """Limit on the answers that are being received, all together."""
        if not self.memory_mb:
            return answer_memory.DEFAULT_CAPACITY_BYTES
        return round(self.memory_mb * _BYTES_PER_MB * _INCOMPLETE_ANSWERS_SHARE)

    @property
    def kept_answers_bytes(self) -> int:
        """Limit on the answers that are kept for repeats, all together."""
        if not self.memory_mb:
            return ledger.DEFAULT_ANSWERS_BYTES
        return round(self.memory_mb * _BYTES_PER_MB * _KEPT_ANSWERS_SHARE)

    @property
    def unsent_answers_bytes(self) -> int:
        """Limit on the answers that their callers have not taken."""
        if not self.memory_mb:
            return unsent_answers.DEFAULT_CAPACITY_BYTES
        return round(self.memory_mb * _BYTES_PER_MB * _UNSENT_ANSWERS_SHARE)

    @property
    def request_bodies_bytes(self) -> int:
        """Limit on the large request bodies of one port, all together."""
        if not self.memory_mb:
            return body_budget.DEFAULT_CAPACITY_BYTES
        return round(self.memory_mb * _BYTES_PER_MB * _REQUEST_BODIES_SHARE)

    @property
    def largest_body_bytes(self) -> int:
        """Limit on a single request body, whatever operators allow."""
        if not self.memory_mb:
            return body_budget.DEFAULT_LARGEST_BYTES
        return round(self.memory_mb * _BYTES_PER_MB * _LARGEST_BODY_SHARE)

    @pydantic.model_validator(mode="after")
    def _check_keys(self) -> "NodeSettings":
        """Requires keys unless the node is routed.

        Without keys, the internal port of a node accepts any sender, so they
        may be missing only where callers can't reach the nodes.
        """
        if self.routed is None and not (self.peer_keys and self.operator_keys):
            raise ValueError(
                "expected at least one of peer_keys and of operator_keys; "
                "generate them with 'burdockfront-ctl new-key'"
            )
        return self

    @pydantic.field_validator("policy_defaults")
    @classmethod
    def _check_defaults(cls, value: dict[str, Any]) -> dict[str, Any]:
        """Requires defaults that make up a valid policy."""
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
        document: The settings as loaded from YAML.
        source: Name of the source, for error messages.
        text: The YAML text, for line numbers in error messages.

    Raises:
        SettingsError: The settings are not valid. The message has the path of
            each invalid field, the expected value and the remedy.
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
        SettingsError: The file can't be read, is not YAML, or is not valid.
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
