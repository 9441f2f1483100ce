"""Restarts background tasks of a node that fail.

An unforeseen exception in a controller ends its task, while the process keeps
running. Symptom: the node is ready and serves, but no longer probes, watches,
or reports that its backend server has exited, which goes unnoticed until that
part is needed. A failed task is therefore restarted after a pause, and the
failure is recorded on the time line. State is kept in the controller, not in
the task, so a restart loses nothing; a permanent fault costs one event per
pause.
"""

import asyncio
import logging
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import timeline

_LOG = logging.getLogger(__name__)
_PAUSE_S = 1.0

Work = Callable[[], Awaitable[None]]


async def keep_running(
    work: Work,
    recorder: timeline.Recorder,
    pause_s: float = _PAUSE_S,
) -> None:
    """Runs a task until it returns without an error or is cancelled.

    Args:
        work: Starts the task from the beginning at each call.
        recorder: Records failures.
        pause_s: Time between a failure and the restart.
    """
    name = getattr(work, "__qualname__", repr(work))
    while True:
        try:
            await work()
        except Exception as error:
            _LOG.exception("a task failed and is restarted")
            recorder.record(
                time.time(), "task.failed", task=name, error=repr(error)
            )
            await asyncio.sleep(pause_s)
            continue
        return
