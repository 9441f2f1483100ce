"""Shared types for the components of a running node."""

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
    """A listening port of a node."""

    @property
    def requests_open(self) -> int:
        """Number of requests that are being served."""

    @property
    def unsent_bytes(self) -> list[int]:
        """Bytes of answers that the operating system has not taken over.

        One figure for each connection that has any.
        """

    async def open(self) -> None:
        """Opens the port.

        Raises:
            SettingsError: The port can't be opened.
        """

    def close(self) -> None:
        """Accepts no new connections and closes open ones once idle."""


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """Components that the handlers of the internal port use."""

    exchange: exchange.Exchange
    policies: policies.Policies
    guard: guard.Guard
    backends: backends.Backends
    dispatcher: dispatcher.Dispatcher
    attempts: attempts.AttemptTracker
    metrics: metrics.Metrics
    recorder: timeline.Recorder
    ready: asyncio.Event


def default_document(service: str) -> dict[str, Any]:
    """Returns the default policy document of a service."""
    return policy.full_document({"service": service})
