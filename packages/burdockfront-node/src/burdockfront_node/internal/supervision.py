"""Keeps a node's tasks running.

A controller that meets what nobody thought of raises, and its task ends. The
process lives on without it. Symptom: a node that is ready and serves, but no
longer probes, or watches, or says when its backend server has gone; nobody
notices until that part is needed. So a task that fails begins again after a
pause, and says so on the time line. Its state is in the controller, not in
the task, so nothing is lost; a fault that stays costs one event per pause.
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
    """Runs work until it ends without an error, or is cancelled.

    Args:
        work: Begins the work anew each time it is called.
        recorder: Where failures are noted.
        pause_s: Time between a failure and the next begin.
    """
    name = getattr(work, "__qualname__", repr(work))
    while True:
        try:
            await work()
        except Exception as error:
            _LOG.exception("a task failed and begins again")
            recorder.record(
                time.time(), "task.failed", task=name, error=repr(error)
            )
            await asyncio.sleep(pause_s)
            continue
        return
