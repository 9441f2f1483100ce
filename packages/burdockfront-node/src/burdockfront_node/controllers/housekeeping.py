"""Periodic clean-up of expired state, and logging of traffic costs."""

import asyncio
import time
from collections.abc import Callable

from burdockfront import timeline
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_node import guard as guard_lib
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import metrics as metrics_lib

_INTERVAL_S = 5.0
# Services and classes in one event about calls to other data centres.
_MAX_TRANSFERS = 8


class Housekeeping:
    """Removes expired state and logs traffic costs.

    Args:
        guard: Owns the ledger with tickets that expire.
        dispatcher: Owns levels that expire, and counts the bytes of calls to
            other data centres.
        exchange: Owns crashes that expire, and counts its traffic.
        metrics: Counts the cost of control traffic.
        recorder: Records events.
        wall_s: Returns the time of a wall clock that never steps back.
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
        """Cleans up and logs periodically."""
        while True:
            await asyncio.sleep(_INTERVAL_S)
            self._guard.ledger.expire(self._wall_s())
            self._exchange.crash_gossip.tracker.forget(time.time())
            self._dispatcher.level_tracker.remove_expired(time.monotonic())
            self._dispatcher.share_tracker.remove_expired(time.monotonic())
            self._record_far_transfers()
            self._record_control_cost()

    def _record_far_transfers(self) -> None:
        """Logs traffic to other data centres since the last call."""
        transferred = self._dispatcher.sender.feedback.far_bytes
        if not transferred:
            return
        self._recorder.record(
            time.time(),
            "ways.moved",
            total_bytes=transferred.total(),
            most_bytes=dict(transferred.most_common(_MAX_TRANSFERS)),
            exchanged_bytes=self._exchange.link.transferred_bytes,
        )
        transferred.clear()

    def _record_control_cost(self) -> None:
        """Logs the cost of the exchange and the store since the last call."""
        added = self._metrics.control_cost.since_last_report()
        if added:
            self._recorder.record(time.time(), "control.cost", added=added)
