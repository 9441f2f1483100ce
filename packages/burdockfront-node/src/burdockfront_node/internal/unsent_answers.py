"""Bounds the answers that wait in a port's buffers for their readers.

Callers may read slowly, and an answer waits in the memory of the node until its
caller has taken it. Above the limit the process would be killed, and all that
it serves would be lost. Instead the answer that has waited longest is given up:
a caller that reads fast never has an old one.
"""

from typing import Protocol

DEFAULT_CAPACITY_BYTES = 64_000_000


class Writer(Protocol):
    """A connection with unsent answers."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the operating system has not taken over."""

    def give_up_answers(self) -> None:
        """Ends the connection."""


class UnsentAnswers:
    """The connections of a port whose callers are behind.

    Args:
        capacity_bytes: Limit on the unsent bytes of all of them.

    Attributes:
        given_up: Number of connections given up so far.
    """

    def __init__(self, capacity_bytes: int = DEFAULT_CAPACITY_BYTES):
        self.given_up = 0
        self._capacity_bytes = capacity_bytes
        # In the order in which they fell behind.
        self._writers: dict[Writer, None] = {}

    @property
    def used_bytes(self) -> int:
        """Unsent bytes of all connections that are behind."""
        return sum(writer.unsent_bytes for writer in self._writers)

    def add(self, writer: Writer) -> None:
        """Adds a connection that fell behind, and keeps to the capacity."""
        self._writers[writer] = None
        self.check()

    def check(self) -> None:
        """Keeps to the capacity after further answers were written."""
        used_bytes = self.used_bytes
        while used_bytes > self._capacity_bytes and self._writers:
            oldest = next(iter(self._writers))
            del self._writers[oldest]
            used_bytes -= oldest.unsent_bytes
            self.given_up += 1
            oldest.give_up_answers()

    def remove(self, writer: Writer) -> None:
        """Removes a connection that is no longer behind, or closed."""
        self._writers.pop(writer, None)
