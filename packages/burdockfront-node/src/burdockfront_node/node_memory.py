"""The memory that the ports of a node may use for others."""

import dataclasses

from burdockfront import body_budget
from burdockfront_node import settings as settings_lib
from burdockfront_node.internal import port_state
from burdockfront_node.internal import unsent_answers


class NodeMemory:
    """The memory of both ports that take requests, by the settings.

    Each port has room of its own for bodies. A body of a caller may wait for
    room at the next node; with one room for both ports, two nodes could wait
    for each other.

    Args:
        settings: The settings of the node.

    Attributes:
        callers: The memory of the callers' port.
        nodes: The memory of the port for other nodes.
    """

    def __init__(self, settings: settings_lib.NodeSettings):
        self._unsent = unsent_answers.UnsentAnswers(
            settings.unsent_answers_bytes
        )
        self._counters = port_state.PortCounters()
        self.callers = self._new_port_memory(settings)
        self.nodes = self._new_port_memory(settings)

    def counters(self) -> dict[str, int]:
        """Returns the counters since the start of this process, by name."""
        found = {
            f"ports.{name}": value
            for name, value in dataclasses.asdict(self._counters).items()
        }
        found["ports.answers_given_up"] = self._unsent.given_up
        for port, bodies in self._bodies().items():
            found[f"bodies.{port}.waited"] = bodies.waited
            found[f"bodies.{port}.given_up"] = bodies.given_up
        return found

    def gauges(self) -> dict[str, float]:
        """Returns what is used now, by name."""
        found: dict[str, float] = {
            "ports.unsent_bytes": self._unsent.used_bytes
        }
        for port, bodies in self._bodies().items():
            found[f"bodies.{port}.used_bytes"] = bodies.used_bytes
            found[f"bodies.{port}.waiting"] = bodies.waiting
        return found

    def _bodies(self) -> dict[str, body_budget.BodyBudget]:
        return {"callers": self.callers.bodies, "nodes": self.nodes.bodies}

    def _new_port_memory(
        self, settings: settings_lib.NodeSettings
    ) -> port_state.PortMemory:
        bodies = body_budget.BodyBudget(
            settings.request_bodies_bytes, settings.largest_body_bytes
        )
        return port_state.PortMemory(bodies, self._unsent, self._counters)
