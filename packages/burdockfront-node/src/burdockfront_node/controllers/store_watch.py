"""A watch for changes in the store, with checks for lost answers.

A waiting watch and one whose answer was lost look the same for as long as a
watch may wait. So while a watch waits, the store is also polled for its
revision:

* no answer: the store is unavailable, and the watch ends;
* a revision after the watched one: some key has changed. If the key is below
  the prefix, the watch should deliver the change within a moment. If it does
  not, the items are read, and items newer than the watched revision end the
  watch.

The poll and the read accept a slightly stale answer, at a tenth of the price:
if such an answer misses a change, the next one has it.

An outage may be shorter than the time between two polls, and lose the answers
to all watches. So an answer to a poll alone does not prove that nothing has
changed.
"""

import asyncio
import time
from collections.abc import Callable

from burdockfront import errors
from burdockfront_node.controllers import store as store_lib

# A waiting watch costs one call however long it waits. This is short enough for
# a store that forgets its watches to get a new one within a change or two.
_WATCH_S = 20.0
# Interval of polls. Changes must be active within two seconds; half a second of
# that is for a poll without an answer, and for the change to reach the peers.
_PING_S = 1.2
# Time for the watch to deliver a change that a poll has shown.
_DELIVERY_S = 0.1


class StoppedError(errors.PlatformError):
    """The watch was stopped by this node; everything has to be read again."""


class StoreWatch:
    """Waits for changes below a prefix.

    Args:
        store: Client of the store.
        prefix: Prefix of the keys.
        confirm: Called with the time at which there was nothing newer than the
            watched revision.
        should_watch: Returns whether this node is still to watch. If not, a
            waiting watch runs out, without polls beside it.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        prefix: str,
        confirm: Callable[[float], None],
        should_watch: Callable[[], bool],
    ):
        self._store = store
        self._prefix = prefix
        self._confirm = confirm
        self._should_watch = should_watch
        self._waiting: asyncio.Task[store_lib.Events] | None = None
        self._stopped = False

    def stop(self) -> None:
        """Ends a waiting watch."""
        self._stopped = True
        if self._waiting is not None:
            self._waiting.cancel()

    async def wait(self, after: int) -> store_lib.Events:
        """Waits for changes after a revision; may return none.

        Raises:
            HistoryGoneError: The store no longer has the changes since then;
                the caller has to read everything again.
            PlatformUnavailableError: The store does not answer.
            StoppedError: `stop` was called.
        """
        self._stopped = False
        watch = asyncio.create_task(
            self._store.watch(self._prefix, after, _WATCH_S)
        )
        check = asyncio.create_task(self._check(after))
        self._waiting = watch
        try:
            done, _ = await asyncio.wait(
                {watch, check}, return_when=asyncio.FIRST_COMPLETED
            )
            if self._stopped:
                raise StoppedError(
                    "the watch was stopped; read all items again."
                )
            return (watch if watch in done else check).result()
        finally:
            self._waiting = None
            watch.cancel()
            check.cancel()

    async def _check(self, after: int) -> store_lib.Events:
        """Polls until there are changes that the watch has not delivered.

        Raises:
            PlatformUnavailableError: The store does not answer.
        """
        known = after
        while True:
            await asyncio.sleep(_PING_S)
            if not self._should_watch():
                continue
            asked_s = time.monotonic()
            if await self._store.ping() > known:
                await asyncio.sleep(_DELIVERY_S)
                asked_s = time.monotonic()
                page = await self._store.read(self._prefix, stale=True)
                missed = tuple(i for i in page.items if i.revision > after)
                if missed:
                    return store_lib.Events(missed, page.revision)
                # Only keys outside the prefix have changed; the watch goes on.
                known = page.revision
            self._confirm(asked_s)
