"""Bounds the memory of answers that are being received.

The limit on each body does not bound their sum: servers that send bodies
without end fill it once for each request that they have. The process would be
killed for its memory, and all that it serves would be lost. Instead the largest
of these answers is given up, which is the one most likely to have no end.
"""

from typing import Protocol

# Bodies up to this size are not counted, so that usual answers cost nothing.
UNCOUNTED_BYTES = 65_536
DEFAULT_CAPACITY_BYTES = 32_000_000


class Receiver(Protocol):
    """Receives one answer at a time."""

    def give_up_answer(self, held_bytes: int, capacity_bytes: int) -> None:
        """Drops the answer; called when all answers together are too large.

        Args:
            held_bytes: Size of the answer so far.
            capacity_bytes: Limit on all answers together.
        """


class AnswerMemory:
    """The bytes that receivers hold of incomplete answers.

    Args:
        capacity_bytes: Limit on the bytes of all receivers together.

    Attributes:
        used_bytes: Bytes of all counted answers.
        given_up: Number of answers given up so far.
    """

    def __init__(self, capacity_bytes: int = DEFAULT_CAPACITY_BYTES):
        self.used_bytes = 0
        self.given_up = 0
        self._capacity_bytes = capacity_bytes
        self._held_bytes: dict[Receiver, int] = {}

    def update(self, receiver: Receiver, held_bytes: int) -> None:
        """Sets the size of a receiver's answer, and keeps to the capacity."""
        self.used_bytes += held_bytes - self._held_bytes.get(receiver, 0)
        self._held_bytes[receiver] = held_bytes
        while self.used_bytes > self._capacity_bytes:
            largest = max(self._held_bytes, key=self._held_bytes.__getitem__)
            largest_bytes = self._held_bytes[largest]
            self.release(largest)
            self.given_up += 1
            largest.give_up_answer(largest_bytes, self._capacity_bytes)

    def release(self, receiver: Receiver) -> None:
        """Forgets the answer of a receiver, if it has one that is counted."""
        self.used_bytes -= self._held_bytes.pop(receiver, 0)
