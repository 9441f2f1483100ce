"""An event loop whose clock jumps to the next timer instead of waiting.

Controllers of many nodes run in one process and one thread, as they are, and
minutes of their time pass in as long as their work takes. With seeded random
sources a run repeats exactly.
"""

import asyncio
import contextlib
import selectors
import time
from collections.abc import Coroutine
from collections.abc import Iterator
from typing import Any
from typing import TypeVar
from unittest import mock

# Where the wall clock stands when a run begins; any time will do.
_WALL_EPOCH_S = 1_700_000_000.0

T = TypeVar("T")


class StuckError(Exception):
    """Everything waits, and no timer will ever end it."""


class _Selector(selectors.SelectSelector):
    """Lets time pass in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise StuckError("all tasks wait for something that never comes.")
        self.now_s += max(0.0, timeout)
        return []


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._clock = _Selector()
        super().__init__(self._clock)

    def time(self) -> float:
        return self._clock.now_s


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to its end in virtual time.

    Raises:
        StuckError: It waits for something that never comes.
    """
    loop = _Loop()
    with _clocks_of(loop):
        try:
            return loop.run_until_complete(work)
        finally:
            _cancel_all(loop)
            loop.close()


@contextlib.contextmanager
def _clocks_of(loop: asyncio.AbstractEventLoop) -> Iterator[None]:
    with (
        mock.patch.object(time, "monotonic", loop.time),
        mock.patch.object(time, "time", lambda: _WALL_EPOCH_S + loop.time()),
    ):
        yield


def _cancel_all(loop: asyncio.AbstractEventLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    if not tasks:
        return
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
