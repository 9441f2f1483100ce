"""Forgets what is old, and logs what was spent, every few seconds."""

import asyncio
import time
from collections.abc import Callable

from burdockfront import timeline
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_node import guard as guard_lib
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import metrics as metrics_lib

_EVERY_S = 5.0
# Services and classes in one line on calls to other data centres.
_MOST_WAYS = 8


class Housekeeping:
    """What a node does now and then.

    Args:
        guard: Whose ledger forgets expired tickets.
        dispatcher: Whose levels fade, and who sent calls far.
        exchange: Whose crashes are forgotten, and what it moved.
        metrics: What control cost.
        recorder: Where events go.
        wall_s: A wall clock that never steps back.
    """

    def __init__(
        self,
        guard: guard_lib.Guard,
        dispatcher: dispatcher_lib.Dispatcher,
        exchange: exchange_lib.Exchange,
        metrics: metrics_lib.Metrics,
        recorder: timeline.Recorder,
        wall_s: Callable[[], float],
    ):
        self._guard = guard
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._metrics = metrics
        self._recorder = recorder
        self._wall_s = wall_s

    async def keep_forever(self) -> None:
        """Does it as long as the node runs."""
        while True:
            await asyncio.sleep(_EVERY_S)
            self._guard.ledger.expire(self._wall_s())
            self._exchange.crash_news.book.forget(time.time())
            self._dispatcher.level_tracker.remove_expired(time.monotonic())
            self._tell_ways()
            self._tell_control_cost()

    def _tell_ways(self) -> None:
        """Logs what was sent to other data centres since the last time."""
        moved = self._dispatcher.sender.feedback.far_bytes
        if not moved:
            return
        self._recorder.record(
            time.time(),
            "ways.moved",
            total_bytes=moved.total(),
            most_bytes=dict(moved.most_common(_MOST_WAYS)),
            exchanged_bytes=self._exchange.link.moved_bytes,
        )
        moved.clear()

    def _tell_control_cost(self) -> None:
        """Logs what the exchange and the store cost since the last time."""
        added = self._metrics.control_cost.since_told()
        if added:
            self._recorder.record(time.time(), "control.cost", added=added)
