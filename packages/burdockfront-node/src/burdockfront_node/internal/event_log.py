"""Writes events as JSON lines to standard output, bounded and without waiting.

Two bounds keep an overload from being made worse by its own description: lines
per second, and bytes that wait for a reader. Lines on what went wrong or was
believed anew have a budget of their own, so that a flood of successes can't
push them out. What was left out is counted, and the count is written.
"""

import asyncio
import os
import sys
import time
from typing import Any

import orjson

from burdockfront import platform_budget
from burdockfront import timeline

# Successes: about what one node answers per second on a busy day.
_ROUTINE_PER_S = 150.0
_NOTABLE_PER_S = 150.0
_BURST = 300
_FLUSH_S = 0.25
# A reader that is behind by more gets no more lines until it has caught up.
_MOST_WAITING_BYTES = 262_144


class EventLog:
    """Lines of one process.

    Args:
        descriptor: Where lines go; standard output if not given.
    """

    def __init__(self, descriptor: int | None = None):
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        os.set_blocking(self._descriptor, False)
        self._routine = platform_budget.CallBudget(_ROUTINE_PER_S, _BURST)
        self._notable = platform_budget.CallBudget(_NOTABLE_PER_S, _BURST)
        self._waiting = bytearray()
        self._flush: asyncio.TimerHandle | None = None
        self.dropped = 0
        self._dropped_told = 0

    def write_event(self, event: timeline.Event) -> None:
        """Writes an event, if the budget allows."""
        budget = self._routine if _is_routine(event) else self._notable
        if self._may_write(budget):
            self._append(_line_of(event))
            self._schedule()

    def write_record(self, record: dict[str, Any]) -> None:
        """Writes a line of the standard logging."""
        if self._may_write(self._notable):
            self._append(record)
            self._schedule()

    def flush(self) -> None:
        """Writes what waits, as far as the reader takes it."""
        self._flush = None
        if self.dropped > self._dropped_told:
            self._append({"kind": "log.dropped", "lines": self.dropped})
            self._dropped_told = self.dropped
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more. There is no other place to say so.
            written = len(self._waiting)
        del self._waiting[:written]
        if self._waiting:
            self._schedule()

    def _may_write(self, budget: platform_budget.CallBudget) -> bool:
        """Takes a line from a budget; a line too many is only counted."""
        full = len(self._waiting) > _MOST_WAITING_BYTES
        if full or not budget.take(time.monotonic()):
            self.dropped += 1
            return False
        return True

    def _append(self, line: dict[str, Any]) -> None:
        self._waiting += orjson.dumps(
            line, default=str, option=orjson.OPT_APPEND_NEWLINE
        )

    def _schedule(self) -> None:
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(_FLUSH_S, self.flush)


def _line_of(event: timeline.Event) -> dict[str, Any]:
    """Returns what is written of an event."""
    line = {
        "at_s": round(timeline.seconds_of(event.stamp), 3),
        "stamp": event.stamp,
        "node": event.node,
        "kind": event.kind,
    }
    if event.request:
        line["request"] = event.request
    line.update(event.detail)
    return line


def _is_routine(event: timeline.Event) -> bool:
    return event.detail.get("outcome") == "done"
