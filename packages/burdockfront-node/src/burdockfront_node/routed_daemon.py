"""A node whose routes, store and backend server speak a place's own dialect.

The exchange between nodes, the dispatcher and the guard are those of every
node. What differs is where knowledge comes from (operators' table and a
directory of nodes in the store, heartbeats) and how callers and the backend
server are spoken to; both are translated by the adapter.
"""

import asyncio
import pathlib
import random
import secrets
import time

from burdockfront import freshness
from burdockfront import incarnations as incarnations_lib
from burdockfront import routes as routes_lib
from burdockfront import watchers
from burdockfront_node import account_status as account_status_lib
from burdockfront_node import adapters
from burdockfront_node import availability
from burdockfront_node import daemon as daemon_lib
from burdockfront_node import daemon_components
from burdockfront_node import handover as handover_lib
from burdockfront_node import internal_app
from burdockfront_node import lineage as lineage_lib
from burdockfront_node import routed_entry
from burdockfront_node import routed_handover
from burdockfront_node import servers
from burdockfront_node import settings as settings_lib
from burdockfront_node.controllers import backends as backends_lib
from burdockfront_node.controllers import directory as directory_lib
from burdockfront_node.controllers import exposition as exposition_lib
from burdockfront_node.controllers import first_look as first_look_lib
from burdockfront_node.controllers import heartbeats as heartbeats_lib
from burdockfront_node.controllers import other_nodes
from burdockfront_node.controllers import policies as policies_lib
from burdockfront_node.controllers import (
    quarantine_keeper as quarantine_keeper_lib,
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

# Requests of a fast service end within milliseconds, but of the same service's
# others one may take seconds; fewer than this is no sign of a stall.
_STALL_FLOOR_S = 3.0
# Time to write the last answers and close connections before the kill.
STOP_MARGIN_S = 0.7
_STOP_POLL_S = 0.05
# After the guard refuses new work, requests of the backend server beside this
# node still make their calls through it; most end within this time.
LAST_REQUESTS_S = 0.5
_USUAL_NODES = 16


class RoutedDaemon(daemon_lib.Daemon):
    """One node of a place with routes.

    Args:
        settings: Validated settings, with the part `routed`.
        path: The settings file.
    """

    def __init__(self, settings: settings_lib.NodeSettings, path: pathlib.Path):
        assert settings.routed is not None, "settings of a place with routes"
        self._place = settings.routed
        self._adapter = adapters.load(settings.routed.adapter)
        self._book = routes_lib.RouteResolver(
            random.Random(secrets.randbits(64))
        )
        self._incarnations = incarnations_lib.IncarnationTracker()
        self._refuses_after_s: float | None = None
        self._watchers: tuple[str, ...] = ()
        super().__init__(settings, path)

    # ---- wiring ---------------------------------------------------------

    def _routes_claim(self) -> freshness.Claim:
        return self._route_watch.freshness.claim()

    def _on_routes(self, address: str, claim: freshness.Claim) -> None:
        self._route_watch.heard_of(address, claim)

    def _on_unanswered(self) -> None:
        self._route_watch.doubt()
        self._quarantine_keeper.doubt()

    def _build_sources(self) -> None:
        store = store_lib.StoreClient(
            self._place.store_address, self._adapter.store_wire, self._rng
        )
        self._store_link = store.link
        store.link.on_new_era = self._store_came_back_older
        self._policies = policies_lib.Policies(None, self._exchange)
        self._quarantine_keeper = quarantine_keeper_lib.QuarantineKeeper(
            self._boot_id,
            store,
            self._exchange.crash_news.book,
            self._exchange.crash_news.take,
        )
        self._quotas = quota_exchange_lib.QuotaExchange(
            self._exchange,
            quota_limits.BookLimits(self._book, self._place.quota_slack),
            self._recorder,
            self._rng,
            self._ready,
        )
        self._accounts = account_status_lib.AccountStatus(
            self._book, self._quotas
        )
        self._exchange.crash_news.on_quarantined = self._quarantine_keeper.keep
        self._directory = directory_lib.Directory(
            store, self._exchange, self._rng, self._quarantine_keeper.take
        )
        self._route_watch = route_watch_lib.RouteWatch(
            store,
            self._adapter.routes_prefix,
            self._adapter.read_routes,
            self._book,
            self._exchange.link,
            self._recorder,
            self._store_returned,
            other_nodes.OtherNodes(self._exchange),
            self._rng,
        )
        self._joining_routes = route_joining_lib.RouteJoining(
            self._directory,
            self._exchange,
            self._route_watch,
            self._book,
            self._recorder,
            self._members_changed,
            self._say_ready,
        )

    def _store_returned(self) -> None:
        self._directory.store_returned()
        self._quarantine_keeper.store_returned()

    def _store_came_back_older(self) -> None:
        """Forgets revisions and leases, and has written anew what is gone.

        Few nodes keep anything in the store, so all may do so at once.
        """
        assert self._store_link is not None
        self._recorder.record(
            time.time(),
            "store.older",
            era=self._store_link.era,
            routes=self._book.version,
        )
        self._route_watch.store_came_back_older()
        self._store_returned()

    def _retry_burst(self) -> float:
        """Returns this node's part of the slack that all nodes share.

        Half of it, since windows slide over what was saved up before. Before
        others are known a usual number of nodes is assumed.
        """
        nodes = max(_USUAL_NODES, len(self._exchange.membership.usable()))
        return self._place.retry_slack / 2 / nodes

    def _update_router(self) -> None:
        super()._update_router()
        self._dispatcher.set_retry_burst(self._retry_burst())
        self._choose_watchers()

    def _choose_watchers(self) -> None:
        """Finds out who is to watch the store, as far as this node knows."""
        chosen = watchers.watchers_of(self._exchange.membership)
        names = tuple(sorted(member.node_id for member in chosen))
        if names != self._watchers:
            self._watchers = names
            self._recorder.record(
                time.time(), "watchers.changed", watchers=names
            )
        self._route_watch.choose(self._settings.node_id in names)

    def _new_handover(self) -> handover_lib.Handover:
        return routed_handover.RoutedHandover(
            self._adapter.dialect, self._incarnations, self._attempts
        )

    def _new_lineage(self) -> lineage_lib.Lineage:
        router = self._dispatcher.router
        self._lineage = lineage_lib.Lineage(
            self._dispatcher.book, lambda: len(router.services())
        )
        self._dispatcher.observer = self._lineage.call_ended
        return self._lineage

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
            heartbeats_lib.SILENT_AFTER_S,
            heartbeats_lib.CHECK_S,
        )

    def _tools(self) -> base.Tools:
        routed = base.RoutedTools(
            self._book,
            self._adapter.dialect.reserved,
            self._place.service,
            self._lineage.is_new_work,
            self._lineage.parent_of,
            self._adapter.dialect.key_header,
            self._adapter.dialect.reserved_with_accounts,
            self._quotas,
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
            self._book,
            self._takes_requests,
        )
        heartbeats = heartbeats_lib.Heartbeats(
            self._place.backend_address,
            self._incarnations,
            self._backends,
            self._recorder,
            self._place.service,
            self._book,
        )
        self._guard.on_server_leaving = heartbeats.said_leaving
        self._first_look = first_look_lib.FirstLook(
            self._place.service,
            self._settings.data_center,
            self._place.backend_address,
            self._adapter.dialect,
            self._book,
            self._route_watch,
            self._incarnations,
            heartbeats,
            self._guard.beliefs,
        )
        exposition = exposition_lib.Exposition(
            self._metrics, self._latencies, self._log, self._accounts.metrics
        )
        return [
            http_port.Port(
                entry, settings.caller_address, lambda: self._book.limits
            ),
            self._internal_port(),
            servers.Listener(
                self._adapter.heartbeat_app(heartbeats),
                self._place.heartbeat_address,
            ),
            servers.Listener(
                self._adapter.ready_app(self._is_in), self._place.ready_address
            ),
            servers.Listener(exposition.app, self._place.metrics_address),
        ]

    def _more_for_peers(self) -> dict[str, internal_app.JsonHandler]:
        async def routes(message: dict[str, object]) -> dict[str, object]:
            return self._route_watch.on_peer(message)

        async def quotas(message: dict[str, object]) -> dict[str, object]:
            return self._quotas.on_report(message)

        return {
            route_watch_lib.ROUTES: routes,
            quota_exchange_lib.QUOTAS: quotas,
        }

    def _more_for_operators(self) -> dict[str, internal_app.JsonHandler]:
        return {"/operator/accounts": self._accounts.accounts}

    def _is_in(self) -> bool:
        """Whether callers may be sent here."""
        return self._ready.is_set() and not self._stop.is_set()

    def _takes_requests(self) -> bool:
        """Whether requests are still taken from callers.

        A request taken shortly before the end of the process would be cut
        off in the middle. It is refused instead, which promises that it did
        not run; by then callers have been told that this node is out.
        """
        if self._refuses_after_s is None:
            return True
        return time.monotonic() < self._refuses_after_s

    # ---- life -----------------------------------------------------------

    def _works(self) -> list[supervision.Work]:
        return [
            self._joining_routes.become_ready,
            self._directory.register_forever,
            self._directory.look_forever,
            self._route_watch.watch_forever,
            self._route_watch.freshness.watch_forever,
            self._route_watch.checks.check_forever,
            self._quarantine_keeper.write_forever,
            self._quarantine_keeper.read_forever,
            self._first_look.look,
            self._quotas.report_forever,
            *self._common_works(),
        ]

    def _say_ready(self) -> None:
        self._ready.set()
        self._backends.publish()

    async def _stop_as_planned(self) -> None:
        """Leaves without interrupting a request.

        Callers learn from the answer to "ready" that this node is out, peers
        from the exchange. Until both have, it serves as before; then it waits
        for what runs. Ports stay open meanwhile: the calls that the requests
        under way still make come in through them.
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
        until_s = began_s + self._place.stop_s - STOP_MARGIN_S
        while self._busy() and time.monotonic() < until_s:
            await asyncio.sleep(_STOP_POLL_S)
        for listener in self._listeners:
            listener.close()
        self._exchange.leave()
