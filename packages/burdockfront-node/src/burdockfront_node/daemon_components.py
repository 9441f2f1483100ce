"""The parts of a running node, for those who need several of them."""

import asyncio
import dataclasses
from typing import Any
from typing import Protocol

from burdockfront import policy
from burdockfront import timeline
from burdockfront_client import attempts
from burdockfront_client import dispatcher
from burdockfront_node import guard
from burdockfront_node.controllers import backends
from burdockfront_node.controllers import exchange
from burdockfront_node.controllers import metrics
from burdockfront_node.controllers import policies


class Listener(Protocol):
    """A port of a node, whatever serves it."""

    @property
    def requests_open(self) -> int:
        """Requests that are being served."""

    async def open(self) -> None:
        """Opens the port; SettingsError if that can't be done."""

    def close(self) -> None:
        """Takes no new connections, and ends each kept one when idle."""


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """What operators' handlers may reach."""

    exchange: exchange.Exchange
    policies: policies.Policies
    guard: guard.Guard
    backends: backends.Backends
    dispatcher: dispatcher.Dispatcher
    attempts: attempts.AttemptBook
    metrics: metrics.Metrics
    recorder: timeline.Recorder
    ready: asyncio.Event


def default_document(service: str) -> dict[str, Any]:
    """Returns the document of a service without one of its own."""
    return policy.full_document({"service": service})
