"""Collects metrics and sends them by statsd, in a batch per interval.

One packet per event would cost more than the decision that the event reports.
So counters are plain integers where they are counted, and their increments are
sent from here. The page docs/METRICS.md lists each name, type and unit.
"""

import asyncio
import dataclasses
import resource

import statsd

from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_node import guard as guard_lib
from burdockfront_node import node_memory
from burdockfront_node import settings as settings_lib
from burdockfront_node.controllers import control_cost
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import store_link

_KIB = 1024
# Gauge value of an unknown age.
_UNKNOWN_AGE_S = -1.0
# Gauge value for a backend server that reports no limit.
_NO_LIMIT = -1.0
# Gauge value for a backend server that has not reported its load recently.
_NO_LOAD = -1.0


class Metrics:
    """Collects the metrics of a node and sends them by statsd.

    Args:
        settings: Where to send metrics; None to send none.
        node_id: Name of this node, part of each statsd name.
        dispatcher: Source of the router's counters.
        guard: Source of the guard's counters and gauges.
        exchange: Source of metrics of gossip and members.
        store: Source of metrics of the store, if there is one.
        memory: The memory of this node's ports.

    Attributes:
        control_cost: Cost of control traffic.
    """

    def __init__(
        self,
        settings: settings_lib.StatsdSettings | None,
        node_id: str,
        dispatcher: dispatcher_lib.Dispatcher,
        guard: guard_lib.Guard,
        exchange: exchange_lib.Exchange,
        store: store_link.StoreLink | None,
        memory: node_memory.NodeMemory,
    ):
        self._settings = settings
        self._node_id = node_id
        self._dispatcher = dispatcher
        self._guard = guard
        self._exchange = exchange
        self._store = store
        self._memory = memory
        self.control_cost = control_cost.ControlCost(exchange.link, store)
        self._sent: dict[str, int] = {}

    def counters(self) -> dict[str, int]:
        """Returns all counters since the start."""
        found: dict[str, int] = {}
        for name, value in dataclasses.asdict(
            self._dispatcher.counters
        ).items():
            found[f"router.{name}"] = value
        for name, value in self._guard.counters().items():
            found[f"guard.{name}"] = value
        found.update(self._memory.counters())
        exchange = self._exchange
        found["exchange.messages"] = exchange.link.messages
        found["exchange.sent_bytes"] = exchange.link.sent_bytes
        found["exchange.received_bytes"] = exchange.link.received_bytes
        found["exchange.repairs"] = exchange.anti_entropy.count
        found["members.refuted"] = exchange.membership.refuted
        sender = self._dispatcher.sender
        found["peers.retired"] = sender.peers.retired + sender.link.retired
        if self._store is not None:
            found["platform.calls"] = self._store.calls
            found["platform.failures"] = self._store.failures
        found.update(self.control_cost.totals())
        return found

    def gauges(self) -> dict[str, float]:
        """Returns the current values of all gauges."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        crashes = self._exchange.crash_gossip.tracker
        claim = self._exchange.routes()
        report = self._guard.self_reports.report
        limit_per_s = report.limit_per_s
        if limit_per_s is None:
            limit_per_s = _NO_LIMIT
        load = self._guard.latest_load()
        return {
            **self._memory.gauges(),
            "guard.in_flight": self._guard.in_flight,
            "guard.level": self._guard.level(),
            "guard.limit_per_s": limit_per_s,
            "guard.says_it_leaves": int(report.leaving),
            "guard.pace": round(self._guard.pace(), 2),
            "guard.reported_running": load.running if load else _NO_LOAD,
            "guard.reported_waiting": load.waiting if load else _NO_LOAD,
            "guard.load": round(self._guard.load(), 3),
            "guard.slots": self._guard.slots,
            "guard.slots_claimed": self._guard.slots_claimed,
            "ledger.entries": len(self._guard.ledger),
            "ledger.used_bytes": self._guard.ledger.used_bytes,
            "ledger.answers_bytes": self._guard.ledger.answers_bytes,
            "members.known": len(self._exchange.membership.members()),
            "requests.suspected": crashes.suspects,
            "requests.quarantined": len(crashes.quarantined),
            "routes.version": claim.version,
            "routes.age_s": _UNKNOWN_AGE_S
            if claim.age_s is None
            else claim.age_s,
            "policy.revision": self._exchange.configuration.revision(),
            "process.cpu_s": round(usage.ru_utime + usage.ru_stime, 3),
            "process.max_rss_bytes": usage.ru_maxrss * _KIB,
        }

    async def send_forever(self) -> None:
        """Sends a batch per interval, if a statsd server is configured."""
        if self._settings is None:
            return
        host, _, port = self._settings.address.rpartition(":")
        client = statsd.StatsClient(
            host, int(port), prefix=f"burdockfront.{self._node_id}"
        )
        while True:
            await asyncio.sleep(self._settings.interval_s)
            with client.pipeline() as batch:
                for name, value in self.counters().items():
                    batch.incr(name, value - self._sent.get(name, 0))
                    self._sent[name] = value
                for name, amount in self.gauges().items():
                    batch.gauge(name, amount)
