"""What the connections of a port share, and what answers their requests."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from burdockfront import body_budget
from burdockfront import errors
from burdockfront import routes
from burdockfront_node.internal import messages
from burdockfront_node.internal import unsent_answers

LimitsOf = Callable[[], routes.CallerLimits]


class Handler(Protocol):
    """Answers the requests of a port."""

    def body_limit_bytes(self, target: str) -> int:
        """Returns the maximum body size of a request to a target."""

    def may_overlap(self, request: messages.Request) -> bool:
        """Whether a request may run while earlier ones are unanswered.

        Allowed only for requests that are safe to repeat: after a response
        that closes the connection, the caller assumes that its later requests
        were not read and sends them again.
        """

    async def serve(self, request: messages.Request) -> messages.Response:
        """Answers a request; cancelled when the caller disconnects."""

    def body_wait_s(self, head: messages.Request) -> float:
        """Returns how long a large body may wait for memory.

        Args:
            head: The request as far as it has been read, without its body.
        """

    def refuse(
        self,
        error: errors.InvalidInputError,
        head: messages.Request | None = None,
    ) -> messages.Response:
        """Returns the response to a request that was not read whole.

        Args:
            error: Why it is not read further.
            head: The request without its body, if its head is complete.
        """


@dataclasses.dataclass(slots=True)
class PortCounters:
    """Counters of all ports of a node, for metrics.

    Attributes:
        answers_unread: Connections that were ended as their callers had taken
            nothing of an answer for too long.
        bodies_refused: Requests that were refused before their bodies were
            read: too large, too slow, or no memory for them.
    """

    answers_unread: int = 0
    bodies_refused: int = 0


class OpenConnection(Protocol):
    """A connection of a port."""

    @property
    def requests_open(self) -> int:
        """Number of requests that are read and not yet answered."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the operating system has not taken over."""

    def close_when_idle(self) -> None:
        """Closes the connection once all requests read are answered."""


@dataclasses.dataclass(slots=True)
class PortMemory:
    """The memory that a port may use for others, and what it counts.

    Attributes:
        bodies: The memory for large request bodies.
        unsent: The memory for answers that their callers have not taken.
        counters: Counters that the ports of a node share.
    """

    bodies: body_budget.BodyBudget = dataclasses.field(
        default_factory=body_budget.BodyBudget
    )
    unsent: unsent_answers.UnsentAnswers = dataclasses.field(
        default_factory=unsent_answers.UnsentAnswers
    )
    counters: PortCounters = dataclasses.field(default_factory=PortCounters)


@dataclasses.dataclass(slots=True)
class PortState:
    """State that the connections of a port share.

    Attributes:
        handler: Answers requests.
        limits_of: Returns the limits on callers' requests now in effect.
        memory: What the port may use.
        connections: Open connections.
    """

    handler: Handler
    limits_of: LimitsOf
    memory: PortMemory = dataclasses.field(default_factory=PortMemory)
    connections: set[OpenConnection] = dataclasses.field(default_factory=set)
