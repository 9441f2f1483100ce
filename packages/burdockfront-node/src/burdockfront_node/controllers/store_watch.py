"""One watch that waits for changes in the store, and what shows it in vain.

A watch that waits and one whose answer was lost look alike for as long as a
watch may wait. Beside it the store is asked for its revision:

* no answer: the store is silent, and the watch ends;
* a revision beyond the one that is watched from: something has changed. Was it
  below the prefix, the watch brings it within a moment. Where it does not, the
  items are read: what is newer than the watch has brought ends it.

Both questions take an answer that may be a little old, at a tenth of the price:
one that is behind tells of no change yet, and the next one does.

An outage may be shorter than the time between two such questions and take with
it the answers of all who watch, so that the store answers is no proof that
nothing has changed.
"""

import asyncio
import time
from collections.abc import Callable

from burdockfront import errors
from burdockfront_node.controllers import store as store_lib

# A waiting watch costs one call however long it waits; this is short enough
# that a store which forgets its watches is asked again within a change or two.
_WATCH_S = 20.0
# Changes must be in force within two seconds; half a second of that is for a
# question that is not answered, and for the news to reach the other nodes.
_PING_S = 1.2
# For the watch to bring what the store's revision tells of.
_OWN_NEWS_S = 0.1


class StoppedError(errors.PlatformError):
    """The watch was ended from this side; read everything again."""


class StoreWatch:
    """Waits for changes below a prefix.

    Args:
        store: Client of the store.
        prefix: Beginning of the keys.
        confirm: Called with the time at which nothing newer was there than
            what was watched from.
        relied_on: Returns whether this node is still to watch. One that is not
            lets its watch run out, and asks for nothing besides.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        prefix: str,
        confirm: Callable[[float], None],
        relied_on: Callable[[], bool],
    ):
        self._store = store
        self._prefix = prefix
        self._confirm = confirm
        self._relied_on = relied_on
        self._waiting: asyncio.Task[store_lib.Events] | None = None
        self._stopped = False

    def stop(self) -> None:
        """Ends a watch that waits."""
        self._stopped = True
        if self._waiting is not None:
            self._waiting.cancel()

    async def wait(self, after: int) -> store_lib.Events:
        """Waits for changes after a revision; may return none.

        Raises:
            HistoryGoneError: Read everything again instead.
            PlatformUnavailableError: The store is silent.
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
                raise StoppedError("what was read is no longer of use.")
            return (watch if watch in done else check).result()
        finally:
            self._waiting = None
            watch.cancel()
            check.cancel()

    async def _check(self, after: int) -> store_lib.Events:
        """Returns changes that the watch should have brought.

        Raises:
            PlatformUnavailableError: The store is silent.
        """
        known = after
        while True:
            await asyncio.sleep(_PING_S)
            if not self._relied_on():
                continue
            asked_s = time.monotonic()
            if await self._store.ping() > known:
                await asyncio.sleep(_OWN_NEWS_S)
                asked_s = time.monotonic()
                page = await self._store.read(self._prefix, stale=True)
                missed = tuple(i for i in page.items if i.revision > after)
                if missed:
                    return store_lib.Events(missed, page.revision)
                # Other keys have changed; the watch still waits for these.
                known = page.revision
            self._confirm(asked_s)
