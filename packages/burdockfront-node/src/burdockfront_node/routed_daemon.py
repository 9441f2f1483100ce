"""A node that selects requests by the operators' table of routes.

The exchange between nodes, the dispatcher and the guard are those of every
node. The sources of its configuration differ: the operators' table and a
directory of nodes in the store, and heartbeats of the backend server. So do the
protocols of callers and of the backend server. The adapter translates both.
"""

import asyncio
import pathlib
import random
import secrets
import time
from collections.abc import Iterator

from prometheus_client import core

from burdockfront import freshness
from burdockfront import incarnations as incarnations_lib
from burdockfront import routes as routes_lib
from burdockfront import watchers
from burdockfront_client import answer_memory
from burdockfront_node import account_shares as account_shares_lib
from burdockfront_node import account_status as account_status_lib
from burdockfront_node import adapters
from burdockfront_node import availability
from burdockfront_node import backend_load as backend_load_lib
from burdockfront_node import daemon as daemon_lib
from burdockfront_node import daemon_components
from burdockfront_node import entry_refusals as entry_refusals_lib
from burdockfront_node import handover as handover_lib
from burdockfront_node import internal_app
from burdockfront_node import lineage as lineage_lib
from burdockfront_node import routed_entry
from burdockfront_node import routed_handover
from burdockfront_node import servers
from burdockfront_node import settings as settings_lib
from burdockfront_node.controllers import allocator_client
from burdockfront_node.controllers import backends as backends_lib
from burdockfront_node.controllers import directory as directory_lib
from burdockfront_node.controllers import exposition as exposition_lib
from burdockfront_node.controllers import heartbeats as heartbeats_lib
from burdockfront_node.controllers import (
    initial_health_check as initial_health_check_lib,
)
from burdockfront_node.controllers import peer_notifier
from burdockfront_node.controllers import policies as policies_lib
from burdockfront_node.controllers import (
    quarantine_store as quarantine_store_lib,
)
from burdockfront_node.controllers import quota_exchange as quota_exchange_lib
from burdockfront_node.controllers import quota_limits
from burdockfront_node.controllers import route_joining as route_joining_lib
from burdockfront_node.controllers import route_watch as route_watch_lib
from burdockfront_node.controllers import store as store_lib
from burdockfront_node.filters import base
from burdockfront_node.filters import chain
from burdockfront_node.internal import http_port
from burdockfront_node.internal import supervision

# Minimum time without an answer that counts as a stall of the backend server. A
# service that answers most requests within milliseconds may take seconds for a
# few of them, so a shorter time does not indicate a stall.
_STALL_FLOOR_S = 3.0
# Time reserved before the process is killed, for writing the last answers and
# closing connections.
STOP_MARGIN_S = 0.7
_STOP_POLL_S = 0.05
# Time for which this node's port still accepts requests after the guard refuses
# new work. Requests in flight at the backend server beside this node make their
# nested calls through the port; most of them end within this time.
LAST_REQUESTS_S = 0.5
# Minimum number of nodes among which the retry slack is divided.
_ASSUMED_NODES = 16


class RoutedDaemon(daemon_lib.Daemon):
    """One routed node.

    Args:
        settings: Validated settings, with the section `routed`.
        path: The settings file.
    """

    def __init__(self, settings: settings_lib.NodeSettings, path: pathlib.Path):
        assert settings.routed is not None, (
            "the settings have no section `routed`"
        )
        self._routed = settings.routed
        self._adapter = adapters.load(settings.routed.adapter)
        self._resolver = routes_lib.RouteResolver(
            random.Random(secrets.randbits(64))
        )
        self._incarnations = incarnations_lib.IncarnationTracker()
        self._refuses_after_s: float | None = None
        self._watchers: tuple[str, ...] = ()
        super().__init__(settings, path)

    # ---- wiring ---------------------------------------------------------

    def _route_claim(self) -> freshness.Claim:
        return self._route_watch.freshness.claim()

    def _on_route_claim(self, address: str, claim: freshness.Claim) -> None:
        self._route_watch.on_claim(address, claim)

    def _on_probe_failure(self) -> None:
        self._route_watch.suspect_isolation()
        self._quarantine_store.on_probe_failure()

    def _build_sources(self) -> None:
        store = store_lib.StoreClient(
            self._routed.store_address,
            self._adapter.store_wire,
            self._rng,
        )
        self._store_link = store.link
        store.link.on_new_era = self._on_store_rolled_back
        self._policies = policies_lib.Policies(None, self._exchange)
        self._quarantine_store = quarantine_store_lib.QuarantineStore(
            self._boot_id,
            store,
            self._exchange.crash_gossip.tracker,
            self._exchange.crash_gossip.merge,
        )
        self._quotas = quota_exchange_lib.QuotaExchange(
            self._exchange,
            quota_limits.AccountLimits(
                self._resolver, self._routed.quota_slack
            ),
            self._recorder,
            self._rng,
            self._ready,
        )
        self._refusals = entry_refusals_lib.EntryRefusals(self._recorder)
        self._accounts = account_status_lib.AccountStatus(
            self._resolver, self._quotas
        )
        self._exchange.crash_gossip.on_quarantined = (
            self._quarantine_store.persist
        )
        self._directory = directory_lib.Directory(
            store, self._exchange, self._rng, self._quarantine_store.load
        )
        self._route_watch = route_watch_lib.RouteWatch(
            store,
            self._adapter.routes_prefix,
            self._adapter.read_routes,
            self._resolver,
            self._exchange.link,
            self._recorder,
            self._on_store_recovered,
            peer_notifier.ExchangePeerNotifier(self._exchange),
            self._rng,
        )
        self._route_joining = route_joining_lib.RouteJoining(
            self._directory,
            self._exchange,
            self._route_watch,
            self._resolver,
            self._recorder,
            self._on_members_changed,
            self._announce_ready,
        )

    def _on_store_recovered(self) -> None:
        self._directory.on_store_recovered()
        self._quarantine_store.on_store_recovered()

    def _on_store_rolled_back(self) -> None:
        """Handles a store that has lost its most recent writes.

        Discards known revisions and leases, and schedules lost entries to be
        written again. Few nodes have entries in the store, so all of them may
        write at once.
        """
        assert self._store_link is not None
        self._recorder.record(
            time.time(),
            "store.older",
            era=self._store_link.era,
            routes=self._resolver.version,
        )
        self._route_watch.on_store_restored()
        self._on_store_recovered()

    def _retry_burst(self) -> float:
        """Returns this node's share of the retry slack of all nodes.

        Half of the slack is divided, because a sliding window also covers
        retries that were saved up before it. At least `_ASSUMED_NODES` nodes
        are assumed, as the other members are not known at the start.
        """
        nodes = max(_ASSUMED_NODES, len(self._exchange.membership.usable()))
        return self._routed.retry_slack / 2 / nodes

    def _update_router(self) -> None:
        rules = self._exchange.configuration.policy_of(self._routed.service)
        self._dispatcher.router.detects_scarcity = (
            rules.admission.scarce_kind is not None
        )
        super()._update_router()
        self._dispatcher.set_retry_burst(self._retry_burst())
        self._select_watchers()

    def _select_watchers(self) -> None:
        """Selects the nodes that watch the store, from the known members."""
        chosen = watchers.watchers_of(self._exchange.membership)
        names = tuple(sorted(member.node_id for member in chosen))
        if names != self._watchers:
            self._watchers = names
            self._recorder.record(
                time.time(), "watchers.changed", watchers=names
            )
        self._route_watch.set_watcher(self._settings.node_id in names)

    def _new_backend_load(self) -> backend_load_lib.BackendLoad | None:
        if not self._routed.load_reports:
            return None
        return backend_load_lib.BackendLoad(self._recorder)

    def _new_handover(self) -> handover_lib.Handover:
        return routed_handover.RoutedHandover(
            self._adapter.dialect,
            self._incarnations,
            self._attempts,
            self._recorder,
            self._backend_load,
            answer_memory.AnswerMemory(self._settings.incomplete_answers_bytes),
        )

    def _new_lineage(self) -> lineage_lib.Lineage:
        level_tracker = self._dispatcher.level_tracker
        level_tracker.relax_after_s = self._routed.level_relax_after_s
        level_tracker.relax_per_s = self._routed.level_relax_per_s
        self._lineage = lineage_lib.Lineage(
            level_tracker,
            self._dispatcher.router.service_count,
        )
        self._dispatcher.observer = self._lineage.on_call_answer
        return self._lineage

    def _new_shares(self) -> account_shares_lib.AccountShares | None:
        self._shares: account_shares_lib.AccountShares | None = None
        if self._routed.fair_shares:
            router = self._dispatcher.router

            def has_scarce_service() -> bool:
                return router.has_scarce_service

            self._dispatcher.share_tracker.tags_calls = has_scarce_service
            self._shares = account_shares_lib.AccountShares(
                self._resolver,
                self._dispatcher.share_tracker,
                self._recorder,
                has_scarce_service,
            )
        return self._shares

    def _guard_rules(self) -> availability.GuardRules:
        return availability.GuardRules(
            drain_grace_s=0.0,
            stall_floor_s=_STALL_FLOOR_S,
            moves_tickets=False,
            refusals_lower_slots=False,
        )

    def _new_backends(self) -> backends_lib.Backends:
        return backends_lib.Backends(
            self._guard,
            self._exchange,
            self._recorder,
            heartbeats_lib.TIMEOUT_S,
            heartbeats_lib.CHECK_S,
        )

    def _tools(self) -> base.Tools:
        routed = base.RoutedTools(
            self._resolver,
            self._adapter.dialect.reserved,
            self._routed.service,
            self._lineage.is_new_work,
            self._lineage.parent_of,
            self._adapter.dialect.key_header,
            self._adapter.dialect.reserved_with_accounts,
            self._quotas,
            self._refusals,
            self._routed.early_refusals,
            self._routed.retry_after == "forecast",
            shares=self._shares.tracker if self._shares is not None else None,
        )
        return base.Tools(
            self._dispatcher,
            self._attempts,
            self._exchange.configuration.policy_of,
            self._recorder,
            self._quarantine.refusal_of,
            routed,
        )

    def _new_listeners(self) -> list[daemon_components.Listener]:
        settings = self._settings
        entry = routed_entry.RoutedEntry(
            chain.build(self._tools(), chain.ROUTED_ORDER),
            self._adapter.dialect,
            self._resolver,
            self._takes_requests,
        )
        heartbeats = heartbeats_lib.Heartbeats(
            self._routed.backend_address,
            self._incarnations,
            self._backends,
            self._recorder,
            self._routed.service,
            self._resolver,
        )
        self._guard.on_server_leaving = heartbeats.on_leave_notice
        self._initial_health_check = (
            initial_health_check_lib.InitialHealthCheck(
                self._routed.service,
                self._settings.data_center,
                self._routed.backend_address,
                self._adapter.dialect,
                self._resolver,
                self._route_watch,
                self._incarnations,
                heartbeats,
                self._guard.self_reports,
                self._backend_load,
            )
        )
        exposition = exposition_lib.Exposition(
            self._metrics, self._latencies, self._log, self._more_metrics
        )
        return [
            http_port.Port(
                entry,
                settings.caller_address,
                lambda: self._resolver.limits,
                self._memory.callers,
            ),
            self._internal_port(),
            servers.Listener(
                self._adapter.heartbeat_app(heartbeats),
                self._routed.heartbeat_address,
            ),
            servers.Listener(
                self._adapter.ready_app(self._is_ready),
                self._routed.ready_address,
            ),
            servers.Listener(exposition.app, self._routed.metrics_address),
        ]

    def _more_metrics(self) -> Iterator[core.Metric]:
        yield from self._accounts.metrics()
        yield from self._refusals.metrics()
        if self._shares is not None:
            yield from self._shares.metrics()

    def _extra_peer_handlers(self) -> dict[str, internal_app.JsonHandler]:
        async def routes(message: dict[str, object]) -> dict[str, object]:
            return self._route_watch.on_peer(message)

        async def quotas(message: dict[str, object]) -> dict[str, object]:
            return self._quotas.on_report(message)

        return {
            route_watch_lib.ROUTES: routes,
            allocator_client.QUOTAS: quotas,
        }

    def _extra_operator_handlers(self) -> dict[str, internal_app.JsonHandler]:
        handlers: dict[str, internal_app.JsonHandler]
        handlers = {"/operator/accounts": self._accounts.accounts}
        if self._shares is not None:
            handlers["/operator/shares"] = self._shares.status
        return handlers

    def _is_ready(self) -> bool:
        """Whether callers may send requests to this node."""
        return self._ready.is_set() and not self._stop.is_set()

    def _takes_requests(self) -> bool:
        """Whether requests of callers are still accepted.

        A request accepted shortly before the process exits would be
        interrupted. It is refused instead, which guarantees that it did not
        run. By then the readiness check has reported that this node is not
        ready.
        """
        if self._refuses_after_s is None:
            return True
        return time.monotonic() < self._refuses_after_s

    # ---- start and shutdown ---------------------------------------------

    def _background_tasks(self) -> list[supervision.Work]:
        return [
            self._route_joining.become_ready,
            self._directory.register_forever,
            self._directory.look_forever,
            self._route_watch.watch_forever,
            self._route_watch.freshness.watch_forever,
            self._route_watch.checks.check_forever,
            self._quarantine_store.write_forever,
            self._quarantine_store.read_forever,
            self._initial_health_check.run,
            self._quotas.report_forever,
            *self._common_tasks(),
        ]

    def _announce_ready(self) -> None:
        self._ready.set()
        self._backends.publish()

    async def _shut_down(self) -> None:
        """Shuts down without interrupting a request.

        Callers learn from the readiness check that this node is leaving, peers
        from the exchange. For the notice period the node serves as before; then
        it waits for the requests in flight and for unsent answers. Ports stay
        open meanwhile, because nested calls of these requests arrive through
        them.
        """
        began_s = time.monotonic()
        self._recorder.record(
            time.time(), "node.stopping", in_flight=self._guard.in_flight
        )
        drain = self._settings.drain
        self._refuses_after_s = began_s + drain.notice_s + LAST_REQUESTS_S
        self._guard.drain(drain.notice_s)
        self._backends.publish()
        self._tasks.append(asyncio.create_task(self._directory.leave()))
        await asyncio.sleep(drain.notice_s)
        until_s = began_s + self._routed.stop_s - STOP_MARGIN_S
        while self._busy() and time.monotonic() < until_s:
            await asyncio.sleep(_STOP_POLL_S)
        for listener in self._listeners:
            listener.close()
        self._exchange.leave()
