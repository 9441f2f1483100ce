"""Writes events as JSON lines to standard output, bounded and non-blocking.

Two limits keep logging from making an overload worse: lines per second, and
bytes buffered for the reader. Lines about failures and state changes have a
budget of their own, so a flood of successes can't displace them. Dropped lines
are counted, and the count is written to the log.
"""

import asyncio
import os
import sys
import time
from typing import Any

import orjson

from burdockfront import platform_budget
from burdockfront import timeline

# Successes: about the number of requests that one node answers per second on a
# busy day.
_ROUTINE_PER_S = 150.0
_NOTABLE_PER_S = 150.0
_BURST = 300
_FLUSH_S = 0.25
# While more than this is buffered for a slow reader, new lines are dropped.
_MAX_BUFFERED_BYTES = 262_144


class EventLog:
    """Log writer of one process.

    Args:
        descriptor: File descriptor to write to; standard output by default.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(self, descriptor: int | None = None):
        self._descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        os.set_blocking(self._descriptor, False)
        self._routine = platform_budget.CallBudget(_ROUTINE_PER_S, _BURST)
        self._notable = platform_budget.CallBudget(_NOTABLE_PER_S, _BURST)
        self._buffer = bytearray()
        self._flush_timer: asyncio.TimerHandle | None = None
        self.dropped = 0
        self._dropped_reported = 0

    def write_event(self, event: timeline.Event) -> None:
        """Writes an event, or drops it if a limit is exceeded."""
        routine = event.detail.get("outcome") == "done"
        if self._may_write(self._routine if routine else self._notable):
            self._append(_line_of(event))
            if self._flush_timer is None:
                self._schedule_flush()

    def write_record(self, record: dict[str, Any]) -> None:
        """Writes a record of `logging`, or drops it likewise."""
        if self._may_write(self._notable):
            self._append(record)
            if self._flush_timer is None:
                self._schedule_flush()

    def flush(self) -> None:
        """Writes as much of the buffer as the descriptor accepts."""
        self._flush_timer = None
        if self.dropped > self._dropped_reported:
            self._append({"kind": "log.dropped", "lines": self.dropped})
            self._dropped_reported = self.dropped
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, and there is no other place to
            # report it.
            written = len(self._buffer)
        del self._buffer[:written]
        if self._buffer:
            self._schedule_flush()

    def _may_write(self, budget: platform_budget.CallBudget) -> bool:
        """Takes a line from a budget; over a limit, counts it as dropped."""
        full = len(self._buffer) > _MAX_BUFFERED_BYTES
        if full or not budget.take(time.monotonic()):
            self.dropped += 1
            return False
        return True

    def _append(self, line: dict[str, Any]) -> None:
        self._buffer += orjson.dumps(
            line, default=str, option=orjson.OPT_APPEND_NEWLINE
        )

    def _schedule_flush(self) -> None:
        loop = asyncio.get_running_loop()
        self._flush_timer = loop.call_later(_FLUSH_S, self.flush)


def _line_of(event: timeline.Event) -> dict[str, Any]:
    """Returns the log line of an event."""
    line = {
        "at_s": timeline.seconds_of(event.stamp),
        "stamp": event.stamp,
        "node": event.node,
        "kind": event.kind,
    }
    if event.request:
        line["request"] = event.request
    line.update(event.detail)
    return line
