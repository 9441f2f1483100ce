"""A running node: wires its components, joins the cluster, stops gracefully."""

import asyncio
import logging
import pathlib
import random
import secrets
import signal
import time

from burdockfront import allowance as allowance_lib
from burdockfront import configuration as configuration_lib
from burdockfront import freshness
from burdockfront import keyring as keyring_lib
from burdockfront import ledger as ledger_lib
from burdockfront import members as members_lib
from burdockfront import membership as membership_lib
from burdockfront import timeline
from burdockfront_client import attempts as attempts_lib
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_node import account_shares
from burdockfront_node import availability
from burdockfront_node import backend_load as backend_load_lib
from burdockfront_node import daemon_components
from burdockfront_node import entry as entry_lib
from burdockfront_node import guard as guard_lib
from burdockfront_node import handover as handover_lib
from burdockfront_node import internal_app
from burdockfront_node import internal_handlers
from burdockfront_node import lineage as lineage_lib
from burdockfront_node import node_memory
from burdockfront_node import quarantine as quarantine_lib
from burdockfront_node import settings as settings_lib
from burdockfront_node import ticket_status
from burdockfront_node.controllers import backends as backends_lib
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import housekeeping as housekeeping_lib
from burdockfront_node.controllers import joining as joining_lib
from burdockfront_node.controllers import latencies as latencies_lib
from burdockfront_node.controllers import metrics as metrics_lib
from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import platform as platform_lib
from burdockfront_node.controllers import policies as policies_lib
from burdockfront_node.controllers import seeds as seeds_lib
from burdockfront_node.filters import base
from burdockfront_node.filters import chain
from burdockfront_node.internal import clocks
from burdockfront_node.internal import event_log
from burdockfront_node.internal import http_port
from burdockfront_node.internal import supervision

_LOG = logging.getLogger(__name__)
_STOP_POLL_S = 0.05
# Delay of a router update, which batches member changes. It is short beside the
# 0.1 s for which the exchange collects these. Until the update, a guard that is
# leaving refuses new work by itself.
_ROUTER_DELAY_S = 0.02


class Daemon:
    """One node.

    Args:
        settings: Validated settings.
        path: The settings file, read again on SIGHUP for replaced keys.
    """

    def __init__(self, settings: settings_lib.NodeSettings, path: pathlib.Path):
        self._settings = settings
        self._path = path
        self._rng = random.Random(secrets.randbits(64))
        self._boot_id = secrets.token_hex(6)
        self._wall_s = clocks.SteadyWallClock()
        self._ready = asyncio.Event()
        self._stop = asyncio.Event()
        self._router_update_due = False
        self._tasks: list[asyncio.Task[None]] = []
        self._log = event_log.EventLog()
        self._latencies = latencies_lib.Latencies()
        self._recorder = timeline.Recorder(
            settings.node_id,
            settings.data_center,
            settings.events,
            self._on_event,
        )
        self._keys = keyring_lib.KeyRing(
            settings.peer_keys, open_ring=not settings.peer_keys
        )
        self._operator_keys = keyring_lib.KeyRing(
            settings.operator_keys, open_ring=not settings.operator_keys
        )
        source_ip = str(settings.source_ip) if settings.source_ip else None
        self._source_ip = source_ip
        self._headers = {"Authorization": f"Bearer {self._keys.first()}"}
        self._exchange = self._new_exchange()
        self._build_sources()
        self._build_request_path()
        self._listeners = self._new_listeners()

    # ---- wiring ---------------------------------------------------------

    def _new_exchange(self) -> exchange_lib.Exchange:
        settings = self._settings
        configuration = configuration_lib.Configuration(
            settings.policy_defaults
        )
        local_member = members_lib.Member(
            node_id=settings.node_id,
            boot_id=self._boot_id,
            incarnation=int(time.time() * 1000),
            revision=0,
            status=members_lib.Status.ALIVE,
            address=settings.advertised_address or settings.internal_address,
            data_center=settings.data_center,
            region=settings.region,
        )
        timing = membership_lib.Timing(
            period_s=settings.gossip.period_s,
            suspicion_periods=settings.gossip.suspicion_periods,
            remember_s=settings.gossip.remember_s,
        )
        return exchange_lib.Exchange(
            membership_lib.Membership(local_member, timing, self._rng),
            configuration,
            settings.gossip,
            peer_link.PeerLink(self._headers, self._source_ip),
            self._recorder,
            self._ready,
            self._on_members_changed,
            self._rng,
            self._route_claim,
            self._on_route_claim,
            self._on_probe_failure,
        )

    def _on_event(self, event: timeline.Event) -> None:
        self._log.write_event(event)
        self._latencies.observe(event)

    def _route_claim(self) -> freshness.Claim:
        """Returns the version and freshness of this node's route table."""
        return freshness.Claim(-1)

    def _on_route_claim(self, address: str, claim: freshness.Claim) -> None:
        """Handles a peer's claim about its route table."""

    def _on_probe_failure(self) -> None:
        """Handles a probe that a member assumed alive did not answer."""

    def _build_sources(self) -> None:
        """Builds the sources of policies and of seed nodes."""
        settings = self._settings
        platform = (
            platform_lib.PlatformClient(settings.platform, self._rng)
            if settings.platform
            else None
        )
        self._store_link = platform.link if platform else None
        self._policies = policies_lib.Policies(platform, self._exchange)
        self._seeds = seeds_lib.Seeds(platform, self._exchange, self._policies)
        self._joining = joining_lib.Joining(
            settings.seeds,
            platform is not None,
            self._seeds,
            self._policies,
            self._exchange,
            self._ready,
            self._recorder,
            self._rng,
        )

    def _build_request_path(self) -> None:
        settings = self._settings
        policy_of = self._exchange.configuration.policy_of
        self._attempts = attempts_lib.AttemptTracker()
        self._dispatcher = dispatcher_lib.Dispatcher(
            settings.node_id,
            settings.data_center,
            self._keys,
            policy_of,
            self._recorder,
            settings.ticket_lifetime_s,
            self._rng,
            self._source_ip,
            self._retry_burst(),
            waits_past_deadline=settings.routed is not None,
            answers_name_attempts=settings.routed is None,
        )
        self._quarantine = quarantine_lib.Quarantine(
            self._boot_id,
            self._exchange.crash_gossip.tracker,
            self._exchange.crash_gossip.announce,
            self._recorder,
        )
        ledger = ledger_lib.Ledger(
            settings.node_id,
            self._boot_id,
            settings.ledger_bytes,
            settings.kept_answers_bytes,
        )
        self._backend_load = self._new_backend_load()
        self._guard = guard_lib.Guard(
            settings.node_id,
            ledger,
            self._dispatcher,
            self._attempts,
            policy_of,
            self._recorder,
            self._wall_s,
            self._ready,
            self._new_handover(),
            self._guard_rules(),
            self._new_lineage(),
            self._quarantine,
            self._backend_load,
            self._new_shares(),
        )
        self._dispatcher.sender.local_guard = self._guard.handle
        self._backends = self._new_backends()
        self._memory = node_memory.NodeMemory(settings)
        self._metrics = metrics_lib.Metrics(
            settings.statsd,
            settings.node_id,
            self._dispatcher,
            self._guard,
            self._exchange,
            self._store_link,
            self._memory,
        )
        self._housekeeping = housekeeping_lib.Housekeeping(
            self._guard,
            self._dispatcher,
            self._exchange,
            self._metrics,
            self._recorder,
            self._wall_s,
        )
        self._status = ticket_status.TicketStatus(
            self._guard, self._dispatcher, self._headers
        )

    def _retry_burst(self) -> float:
        """Returns the burst size of this node's retry budget per service."""
        return allowance_lib.DEFAULT_BURST

    def _new_backend_load(self) -> backend_load_lib.BackendLoad | None:
        """Returns the tracker of load reports; None to ignore them."""
        return None

    def _new_handover(self) -> handover_lib.Handover | None:
        """Returns the handover to the backend server; None for the default."""
        return None

    def _new_lineage(self) -> lineage_lib.Lineage | None:
        """Returns the tracker that correlates calls where no context travels.

        None if backend servers pass the context on.
        """
        return None

    def _new_shares(self) -> account_shares.AccountShares | None:
        """Returns the fair shares of client accounts, where there are any."""
        return None

    def _guard_rules(self) -> availability.GuardRules:
        """Returns the rules of the guard that depend on the environment."""
        return availability.GuardRules()

    def _new_backends(self) -> backends_lib.Backends:
        """Returns the controller that announces the backend server to peers."""
        return backends_lib.Backends(
            self._guard, self._exchange, self._recorder
        )

    def _tools(self) -> base.Tools:
        """Returns the components that filters may use."""
        return base.Tools(
            self._dispatcher,
            self._attempts,
            self._exchange.configuration.policy_of,
            self._recorder,
            self._quarantine.refusal_of,
        )

    def _new_listeners(self) -> list[daemon_components.Listener]:
        """Returns the listening ports of this node."""
        tools = self._tools()
        entry = entry_lib.Entry(
            chain.build(tools), tools, self._status, self._ready
        )
        return [
            http_port.Port(
                entry,
                self._settings.caller_address,
                memory=self._memory.callers,
            ),
            self._internal_port(),
        ]

    def _internal_port(self) -> http_port.Port:
        handler = internal_app.CallHandler(
            self._guard,
            self._keys,
            self._recorder,
            self._internal_application(),
            self._settings.largest_body_bytes,
        )
        return http_port.Port(
            handler,
            self._settings.internal_address,
            memory=self._memory.nodes,
        )

    def _internal_application(self) -> internal_app.applications.Starlette:
        components = daemon_components.Components(
            exchange=self._exchange,
            policies=self._policies,
            guard=self._guard,
            backends=self._backends,
            dispatcher=self._dispatcher,
            attempts=self._attempts,
            metrics=self._metrics,
            recorder=self._recorder,
            ready=self._ready,
        )
        handlers = internal_handlers.InternalHandlers(
            components, self._status, self._keys, self._operator_keys
        )
        return handlers.application(
            self._extra_peer_handlers(), self._extra_operator_handlers()
        )

    def _extra_peer_handlers(self) -> dict[str, internal_app.JsonHandler]:
        """Returns additional handlers of peer requests, by path."""
        return {}

    def _extra_operator_handlers(self) -> dict[str, internal_app.JsonHandler]:
        """Returns additional handlers of operator requests, by path."""
        return {}

    def _on_members_changed(self) -> None:
        """Schedules a router update that covers many member changes.

        When hundreds of nodes start together, member changes arrive in messages
        of many entries. With one update per entry, each node used seconds of
        processor time while starting.
        """
        if self._router_update_due:
            return
        self._router_update_due = True
        loop = asyncio.get_running_loop()
        loop.call_later(_ROUTER_DELAY_S, self._update_router_now)

    def _update_router_now(self) -> None:
        self._router_update_due = False
        self._update_router()

    def _update_router(self) -> None:
        members = self._exchange.membership.usable()
        self._exchange.link.far_addresses = frozenset(
            member.address
            for member in members
            if member.data_center != self._settings.data_center
        )
        self._dispatcher.router.update(
            m.to_target() for m in members if m.service
        )

    # ---- start and shutdown ---------------------------------------------

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT requests a graceful shutdown.

        Raises:
            SettingsError: A port can't be opened.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_keys)
        for listener in self._listeners:
            await listener.open()
        self._recorder.record(time.time(), "node.started", boot=self._boot_id)
        for work in self._background_tasks():
            running = supervision.keep_running(work, self._recorder)
            self._tasks.append(asyncio.create_task(running))
        await self._stop.wait()
        await self._shut_down()
        for listener in self._listeners:
            listener.close()
        unsent_bytes = self._unsent_bytes()
        requests_open = self._entries_open()
        await self._close()
        self._recorder.record(
            time.time(),
            "node.stopped",
            boot=self._boot_id,
            requests_open=requests_open,
            answers_cut=len(unsent_bytes),
            unsent_bytes=sum(unsent_bytes),
        )
        self._log.flush()

    def _background_tasks(self) -> list[supervision.Work]:
        """Returns the background tasks of this node."""
        return [
            self._joining.join_forever,
            self._policies.watch_forever,
            self._seeds.write_forever,
            *self._common_tasks(),
        ]

    def _common_tasks(self) -> list[supervision.Work]:
        return [
            self._guard.tick_forever,
            self._exchange.probe_forever,
            self._exchange.push_forever,
            self._backends.watch_forever,
            self._metrics.send_forever,
            self._housekeeping.keep_forever,
        ]

    async def _shut_down(self) -> None:
        """Shuts down without interrupting a request.

        The node first announces that it takes no new work. For the notice
        period it still serves requests of peers that have not received the
        announcement. It then waits until no request is in flight and no answer
        is unsent, and lingers for callers that repeat a ticket because the
        answer was lost.
        """
        self._recorder.record(time.time(), "node.stopping")
        drain = self._settings.drain
        self._guard.drain(drain.notice_s)
        self._backends.publish()
        await asyncio.sleep(drain.notice_s)
        until_s = time.monotonic() + self._settings.stop_patience_s
        while self._busy() and time.monotonic() < until_s:
            await asyncio.sleep(_STOP_POLL_S)
        await asyncio.sleep(drain.linger_s)
        self._exchange.leave()

    def _busy(self) -> bool:
        """Whether the end of the process would interrupt a request.

        An answer is out once the operating system has taken it over, which
        delivers it after the process has ended. Bytes in the buffers of this
        process, for a caller that reads slowly, are lost with it.
        """
        return (
            self._guard.in_flight > 0
            or self._entries_open() > 0
            or bool(self._unsent_bytes())
        )

    def _entries_open(self) -> int:
        return sum(listener.requests_open for listener in self._listeners)

    def _unsent_bytes(self) -> list[int]:
        """Bytes of unsent answers, for each connection that has any."""
        return [
            size
            for listener in self._listeners
            for size in listener.unsent_bytes
        ]

    def _reload_keys(self) -> None:
        """Reloads the keys from the settings file, on SIGHUP."""
        try:
            fresh = settings_lib.load(self._path)
            self._keys.replace(fresh.peer_keys)
            self._operator_keys.replace(fresh.operator_keys)
        except settings_lib.errors.SettingsError as error:
            _LOG.error("keys not replaced", extra={"why": str(error)})
            return
        self._headers["Authorization"] = f"Bearer {self._keys.first()}"
        self._recorder.record(time.time(), "key.replaced")
        _LOG.info("keys replaced")

    async def _close(self) -> None:
        await self._exchange.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._dispatcher.sender.close()
        if self._store_link is not None:
            await self._store_link.close()
