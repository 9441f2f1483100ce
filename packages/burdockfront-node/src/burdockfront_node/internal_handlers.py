"""Handlers of the internal port for peers, operators and backend servers."""

import logging
import time
from collections.abc import Callable
from typing import Any

from burdockfront import keyring as keyring_lib
from burdockfront import tickets
from burdockfront_node import backend as backend_lib
from burdockfront_node import daemon_components
from burdockfront_node import internal_app
from burdockfront_node import operators as operators_lib
from burdockfront_node import ticket_status
from burdockfront_node.controllers import exchange as exchange_lib

_LOG = logging.getLogger(__name__)

Handlers = dict[str, internal_app.JsonHandler]


class InternalHandlers:
    """Request handlers of one node, by path.

    Args:
        parts: Components of the node.
        status: Looks up tickets.
        keys: Keys of peers and backend servers.
        operator_keys: Keys of operators.
    """

    def __init__(
        self,
        parts: daemon_components.Components,
        status: ticket_status.TicketStatus,
        keys: keyring_lib.KeyRing,
        operator_keys: keyring_lib.KeyRing,
    ):
        self._parts = parts
        self._status = status
        self._keys = keys
        self._operator_keys = operator_keys

    def application(
        self, more_for_peers: Handlers, more_for_operators: Handlers
    ) -> internal_app.applications.Starlette:
        """Returns the application that answers all requests except calls.

        Args:
            more_for_peers: Further handlers of this kind of node for peers.
            more_for_operators: Further handlers for operators.
        """
        for_peers = {**self._for_peers(), **more_for_peers}
        for_operators = {**self._for_operators(), **more_for_operators}
        routes = [
            internal_app.json_route(
                path, lambda: self._keys, self._denied, handler
            )
            for path, handler in for_peers.items()
        ]
        routes += [
            internal_app.json_route(
                path, lambda: self._operator_keys, self._denied, handler
            )
            for path, handler in for_operators.items()
        ]
        return internal_app.applications.Starlette(routes=routes)

    def _for_peers(self) -> Handlers:
        exchange = self._parts.exchange
        return {
            exchange_lib.PROBE: _asynchronous(exchange.on_probe),
            exchange_lib.PROBE_FOR: exchange.on_probe_for,
            exchange_lib.PUSH: _asynchronous(exchange.on_push),
            exchange_lib.SYNC: _asynchronous(exchange.anti_entropy.on_sync),
            ticket_status.PATH: _asynchronous(self._on_ticket),
            "/backend/announce": _asynchronous(self._on_announce),
            "/backend/targets": _asynchronous(self._on_targets),
        }

    def _for_operators(self) -> Handlers:
        operators = operators_lib.Operators(self._parts)
        return {
            "/operator/status": operators.status,
            "/operator/members": operators.members,
            "/operator/servers": operators.servers,
            "/operator/policy": operators.policy,
            "/operator/change": operators.change,
            "/operator/history": operators.history,
            "/operator/events": operators.events,
            "/operator/drain": operators.drain,
            "/operator/release": operators.release,
        }

    def _on_announce(self, message: dict[str, Any]) -> dict[str, Any]:
        announced = backend_lib.parse_announcement(message)
        self._parts.backends.announce(announced)
        return {}

    def _on_targets(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the current members and policies, for an embedded router."""
        exchange = self._parts.exchange
        policies = exchange.configuration.applied().values()
        return {
            "members": [
                member.to_entry().to_json()
                for member in exchange.membership.usable()
                if member.service
            ],
            "policies": [policy.document for policy in policies],
        }

    def _on_ticket(self, message: dict[str, Any]) -> dict[str, Any]:
        ticket = tickets.decode(str(message["ticket"]), self._keys)
        state, moved_to = self._status.local_state(ticket)
        return {"state": state, "moved_to": moved_to}

    def _denied(self, path: str) -> None:
        self._parts.recorder.record(time.time(), "key.denied", path=path)
        _LOG.warning(
            "request with a missing or wrong key", extra={"path": path}
        )


def _asynchronous(
    handler: Callable[[dict[str, Any]], dict[str, Any]],
) -> internal_app.JsonHandler:
    async def asynchronous_handler(message: dict[str, Any]) -> dict[str, Any]:
        return handler(message)

    return asynchronous_handler
