"""Ends connections that are idle, and those whose callers take no answer."""

import asyncio
import logging
from typing import Protocol

from burdockfront_node.internal import port_state

_LOG = logging.getLogger(__name__)


class Checked(Protocol):
    """A connection that is checked."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the operating system has not taken over."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or is not answered yet."""

    def close(self) -> None:
        """Closes the connection behind the answers written so far."""

    def abort(self) -> None:
        """Ends the connection at once, with the answers not taken yet."""


class IdleCheck:
    """Checks one connection about once per idle timeout.

    A timer per request would be started and cancelled thousands of times for
    each one that fires.

    Args:
        connection: The connection.
        port: Provides the idle timeout in effect, and counts.
        loop: The event loop.

    Attributes:
        idle_since_s: Event loop time since which no request is open.
    """

    def __init__(
        self,
        connection: Checked,
        port: port_state.PortState,
        loop: asyncio.AbstractEventLoop,
    ):
        self.idle_since_s = 0.0
        self._connection = connection
        self._port = port
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None
        # Unsent bytes at the last check.
        self._unsent_before_bytes = 0

    def start(self) -> None:
        """Starts the idle timeout."""
        self.idle_since_s = self._loop.time()
        self._schedule(self._port.limits_of().idle_timeout_s)

    def stop(self) -> None:
        """Ends the checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule(self, time_s: float) -> None:
        self._timer = self._loop.call_later(time_s, self._check)

    def _check(self) -> None:
        idle_timeout_s = self._port.limits_of().idle_timeout_s
        unsent_bytes = self._connection.unsent_bytes
        if unsent_bytes and unsent_bytes == self._unsent_before_bytes:
            self._abort_unread(unsent_bytes, idle_timeout_s)
            return
        self._unsent_before_bytes = unsent_bytes
        if self._connection.is_busy or unsent_bytes:
            self._schedule(idle_timeout_s)
            return
        left_s = self.idle_since_s + idle_timeout_s - self._loop.time()
        if left_s > 0.0:
            self._schedule(left_s)
        else:
            self._connection.close()

    def _abort_unread(self, unsent_bytes: int, time_s: float) -> None:
        """Ends a connection whose caller takes nothing of its answers.

        The answers would hold memory for as long as the caller lives.
        """
        self._port.memory.counters.answers_unread += 1
        _LOG.warning(
            "a caller took nothing of its answers; its connection is ended",
            extra={"unsent_bytes": unsent_bytes, "waited_s": time_s},
        )
        self._connection.abort()
