"""Proxies and protects the backend server beside a node.

All requests to the backend server pass through its guard. A call that must not
run twice is first checked against the ledger; then it waits at the gate for a
slot, and is handed over. Because the guard is in the data path, it enforces its
guarantees independently of other nodes' views: each ticket runs at most once,
load is shed in order of priority, and a backend server that is leaving gets no
new work.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable
from typing import Any

from burdockfront import admission
from burdockfront import context as context_lib
from burdockfront import incarnations
from burdockfront import ledger as ledger_lib
from burdockfront import levels
from burdockfront import load_reports
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import answer_memory
from burdockfront_client import attempts as attempts_lib
from burdockfront_client import calls
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_client import peers as peers_lib
from burdockfront_node import account_shares
from burdockfront_node import availability as availability_lib
from burdockfront_node import backend as backend_lib
from burdockfront_node import backend_load as backend_load_lib
from burdockfront_node import backend_runs
from burdockfront_node import backend_self_reports
from burdockfront_node import gate as gate_lib
from burdockfront_node import handover as handover_lib
from burdockfront_node import lineage as lineage_lib
from burdockfront_node import quarantine as quarantine_lib
from burdockfront_node import ticket_runs

_TICK_S = 0.02
# Interval between ticks while no calls wait or are refused.
_IDLE_TICK_S = 0.5
# Minimum time between two records of a full ledger.
_FULL_RECORD_S = 1.0
# Members are suspected wrongly for a second or two at most.
_SCARCITY_HOLD_S = 3.0


@dataclasses.dataclass(slots=True)
class GuardCounters:
    """Counters of a guard, for metrics."""

    refused: int = 0
    limited: int = 0
    unknown: int = 0


class Guard:
    """Protects one backend server.

    Args:
        node_id: Id of this node.
        ledger: Tickets of this process.
        dispatcher: Provides path levels and successor tickets.
        attempts: Open attempts, for the backend server's downstream calls.
        policy_of: Returns the active policy of a service.
        recorder: Records events.
        wall_s: A wall clock that never goes back.
        ready: Set once this node has the configuration; before that, the
            downstream calls of its backend server would be refused.
        handover: Sends requests to the backend server; by default over the
            native interface.
        rules: Settings that depend on the environment.
        lineage: Infers what request contexts would carry, where backend servers
            do not propagate them; None where they do.
        quarantine: Refuses requests that crash servers; by default a standalone
            one.
        backend_load: The load and pace that the backend server reports; None
            where they are not used.
        shares: Fair shares of client accounts; None if unused.

    Attributes:
        backend_load: The argument of this name.
        on_server_leaving: Called with each incarnation of the server that is
            found to leave.
        self_reports: The current self report of the backend server.
        tickets: Runs attempts with tickets.
    """

    def __init__(
        self,
        node_id: str,
        ledger: ledger_lib.Ledger,
        dispatcher: dispatcher_lib.Dispatcher,
        attempts: attempts_lib.AttemptTracker,
        policy_of: Callable[[str], policy_lib.Policy],
        recorder: timeline.Recorder,
        wall_s: Callable[[], float],
        ready: asyncio.Event,
        handover: handover_lib.Handover | None = None,
        rules: availability_lib.GuardRules | None = None,
        lineage: lineage_lib.Lineage | None = None,
        quarantine: quarantine_lib.Quarantine | None = None,
        backend_load: backend_load_lib.BackendLoad | None = None,
        shares: account_shares.AccountShares | None = None,
    ):
        self.backend_load = backend_load
        self._server_load = backend_load.server_load if backend_load else None
        self.on_server_leaving: Callable[[incarnations.Incarnation], None]
        self.on_server_leaving = _ignore
        self._lineage = lineage
        self._shares = shares
        self._quarantine = quarantine or quarantine_lib.standalone(recorder)
        self._rules = rules or availability_lib.GuardRules()
        self._availability = availability_lib.Availability(ready, self._rules)
        self.node_id = node_id
        self.ledger = ledger
        self._counters = GuardCounters()
        self._dispatcher = dispatcher
        self.self_reports = backend_self_reports.BackendSelfReports(recorder)
        self.self_reports.on_leaving = self._handle_server_leaving
        self._runs = backend_runs.BackendRuns(
            handover
            or handover_lib.PlainHandover(
                peers_lib.Peers(memory=answer_memory.AnswerMemory()),
                dispatcher.sender.keys,
                attempts,
            ),
            self._availability,
            self._quarantine,
            lineage,
            policy_of,
            recorder,
            self.self_reports,
            self._rules.refusals_lower_slots,
        )
        steps = ticket_runs.Steps(
            self._admit, self._runs.run, self._successor, self._return_slot
        )
        self.tickets = ticket_runs.TicketRuns(ledger, steps, wall_s)
        self._policy_of = policy_of
        self._recorder = recorder
        self._gate: gate_lib.Gate | None = None
        self._pressure = asyncio.Event()
        self._recorded_level = levels.OPEN
        self._refused_full = 0
        self._full_recorded_s = -_FULL_RECORD_S
        self._is_scarce = False
        self._scarce_since_s = time.monotonic()

    @property
    def announcement(self) -> backend_lib.Announcement | None:
        """The backend server's latest announcement; None without a server."""
        return self._availability.announcement

    @property
    def in_flight(self) -> int:
        """Number of calls that wait or run here."""
        return self._gate.in_flight if self._gate else 0

    @property
    def slots(self) -> int:
        """Slots available to routers; 0 without a backend server."""
        if self.announcement is None or self._gate is None:
            return 0
        return self._gate.slots

    @property
    def slots_claimed(self) -> int:
        """Slots that the backend server announces; 0 without one."""
        return self.announcement.slots if self.announcement else 0

    @property
    def draining(self) -> bool:
        """Whether the node or its backend server is leaving."""
        return self._availability.draining

    @property
    def accepts_work(self) -> bool:
        """Whether routers should send requests here."""
        return self._availability.accepts_work

    def counters(self) -> dict[str, int]:
        """Returns the counters since the start of this process."""
        return {
            "handed_over": self._runs.handed_over,
            "answers_discarded": self._runs.answers_discarded,
            **dataclasses.asdict(self._counters),
            "backend_crashes": self._quarantine.crash_detector.crashes,
            "load_reports_ignored": self._server_load.ignored
            if self._server_load
            else 0,
            "replayed": self.tickets.replayed,
            "answers_forgotten": self.ledger.answers_forgotten,
            "refused_full": self.ledger.refused_full,
            "cancelled": self._gate.cancelled if self._gate else 0,
        }

    def level(self) -> int:
        """Returns the level of this guard alone."""
        return self._gate.level() if self._gate else 0

    def load(self) -> float:
        """Returns the calls that wait or run, per slot."""
        return self._gate.load() if self._gate else 0.0

    def pace(self) -> float:
        """Returns how long work takes at the backend server now.

        Relative to its usual time, as the server reports it; 1.0 if unknown.
        """
        return self.backend_load.pace() if self.backend_load else 1.0

    def latest_load(self) -> load_reports.LoadReport | None:
        """Returns the load that the backend server reports; None if unknown."""
        return self.backend_load.latest() if self.backend_load else None

    def announce(self, announcement: backend_lib.Announcement) -> None:
        """Processes an announcement of the backend server."""
        before = self.announcement
        self.self_reports.on_in_service(announcement.incarnation)
        if self.backend_load is not None:
            self.backend_load.on_announcement(
                announcement.incarnation, announcement.warm_in_s
            )
        if announcement.notice is not None:
            self.self_reports.on_answer(
                announcement.notice, announcement.incarnation, time.monotonic()
            )
        self._availability.announce(announcement)
        if self._gate is None:
            self._gate = gate_lib.Gate(
                announcement,
                self._policy_of,
                self.self_reports.rate,
                self._shares.meter if self._shares else None,
            )
            self._runs.gate = self._gate
        turned_cold = announcement.state == "cold" and (
            before is None or before.state != "cold"
        )
        self._gate.announce(announcement.slots, turned_cold)

    def on_restart(self, planned: bool = False) -> None:
        """Resets the state that belongs to an earlier incarnation.

        Without a reset, an incarnation with more slots than the previous one
        would have to prove them, and one after a stall would count as stalled.

        Args:
            planned: The earlier incarnation had announced that it leaves.
        """
        if not planned:
            self._quarantine.crash_detector.on_replaced()
        self._availability.stalls.on_restart(time.monotonic())
        if self._gate is not None:
            self._gate.on_restart()

    def clear_announcement(self) -> None:
        """Records that the backend server has stopped announcing itself."""
        self._availability.clear_announcement()
        if self.backend_load is not None:
            self.backend_load.on_silent()

    def _handle_server_leaving(
        self, incarnation: incarnations.Incarnation
    ) -> None:
        """Processes the report of an incarnation that it leaves."""
        announced = self.announcement
        if announced is not None and incarnation.may_be(announced.incarnation):
            self._availability.on_server_leaving()
        self.on_server_leaving(incarnation)

    def drain(self, grace_s: float | None = None) -> None:
        """Stops accepting new work after a grace period.

        Args:
            grace_s: The grace period; by default that of the rules.
        """
        self._availability.drain(grace_s)

    def resume(self) -> None:
        """Accepts work again after an operator has revoked a drain."""
        self._availability.resume()

    async def handle(self, attempt: calls.Attempt) -> outcomes.Answer:
        """Serves an attempt from a peer or from this node."""
        if attempt.received is not None:
            self.self_reports.on_relayed_report(attempt.received)
        if self._lineage is not None:
            attempt = self._lineage.classify(attempt)
        if attempt.ticket is not None:
            answer = await self.tickets.serve(attempt, attempt.ticket)
            if self.ledger.refused_full != self._refused_full:
                self._record_full_ledger()
        elif attempt.call.idempotent:
            refusal = await self._admit(attempt)
            answer = refusal or await self._runs.run(attempt, None)
        else:
            answer = outcomes.not_run(outcomes.Reason.TICKET_NEEDED)
        return self._with_state(attempt, answer)

    def _record_full_ledger(self) -> None:
        """Records that tickets are refused for room, at most once a second."""
        now_s = time.monotonic()
        if now_s < self._full_recorded_s + _FULL_RECORD_S:
            return
        self._full_recorded_s = now_s
        self._refused_full = self.ledger.refused_full
        self._recorder.record(
            time.time(),
            "ledger.full",
            entries=len(self.ledger),
            refused=self._refused_full,
        )

    def refuse_unread(
        self, attempt: calls.Attempt, refusal: outcomes.Answer
    ) -> outcomes.Answer:
        """Refuses an attempt whose body was not read whole."""
        answer = refusal
        if attempt.ticket is not None:
            answer = self.tickets.refuse(attempt.ticket, refusal)
        self._counters.refused += 1
        backend_runs.record(
            self._recorder,
            "call.refused",
            attempt,
            reason=refusal.reason or "",
        )
        return self._with_state(attempt, answer)

    async def tick_forever(self) -> None:
        """Periodically expires queued calls, updates levels and detects stalls.

        Ticks are frequent while calls wait or are refused. While the slots
        suffice they are rare, as only a changed policy or a stall has to be
        noticed.
        """
        while True:
            if self._gate is None or not self._gate.under_pressure:
                self._pressure.clear()
                await self._wait_for_pressure()
            else:
                await asyncio.sleep(_TICK_S)
            self._availability.stalls.check(time.monotonic())
            if self._gate is not None:
                self._tick(self._gate)

    def _tick(self, gate: gate_lib.Gate) -> None:
        self._update_scarcity(gate)
        gate.tick()
        if self._shares is not None:
            self._shares.log_change(time.monotonic())
        before, after = self._recorded_level, gate.level()
        if gate.spreads_level and self.announcement is not None:
            self._dispatcher.level_tracker.services.record(
                self.announcement.service, after, time.monotonic()
            )
        is_step = abs(after - before) >= gate.min_recorded_step
        if after != before and (is_step or after >= levels.OPEN):
            self._recorded_level = after
            self._recorder.record(
                time.time(),
                "guard.level",
                before=before,
                after=after,
                busy=round(gate.busy(), 3),
                in_flight=gate.in_flight,
                slots=gate.slots,
            )

    def _update_scarcity(self, gate: gate_lib.Gate) -> None:
        """Tells the gate of a scarce service, once that has been so for a time.

        A change discards what the admission has learned of the demand, so it
        must not follow from members that are suspected for a moment.
        """
        is_scarce = self._dispatcher.router.has_scarce_service
        now_s = time.monotonic()
        if is_scarce is not self._is_scarce:
            self._is_scarce = is_scarce
            self._scarce_since_s = now_s
        if now_s - self._scarce_since_s >= _SCARCITY_HOLD_S:
            gate.set_scarce(is_scarce)

    async def _wait_for_pressure(self) -> None:
        try:
            async with asyncio.timeout(_IDLE_TICK_S):
                await self._pressure.wait()
        except TimeoutError:
            return

    async def _admit(self, attempt: calls.Attempt) -> outcomes.Answer | None:
        """Waits for a slot; returns a refusal, or None with a slot."""
        attempt.arrived_s = arrived_s = time.monotonic()
        refusal = self._early_refusal(attempt)
        refusal = refusal or await self._quarantine.enter(attempt)
        refusal = refusal or await self._wait_for_slot(attempt)
        if refusal is None:
            return None
        waited_s = time.monotonic() - arrived_s
        return self._refused(attempt, refusal, waited_s)

    async def _wait_for_slot(
        self, attempt: calls.Attempt
    ) -> outcomes.Answer | None:
        assert self._gate is not None
        if self._gate.full:
            self._pressure.set()
        refusal: outcomes.Answer | None = None
        admitted = False
        try:
            refusal = await self._gate.enter(attempt.context)
            admitted = refusal is None
        finally:
            if not admitted:
                self._quarantine.leave(attempt)
        return refusal

    def _early_refusal(self, attempt: calls.Attempt) -> outcomes.Answer | None:
        """Returns a refusal that does not depend on slots."""
        reason = self._availability.reason_to_refuse(attempt.call.service)
        if reason is not None:
            return _not_run(reason)
        context = attempt.context
        if context.depth > 0:
            return None
        level, bottleneck = self._dispatcher.level_tracker.path_bottleneck(
            context.class_name, time.monotonic()
        )
        if context.priority > level:
            return _not_run(outcomes.Reason.OVERLOAD_DEEPER)
        if self._dispatcher.level_tracker.services.any_known:
            own = self.level()
            if own < level:
                level, bottleneck = own, attempt.call.service
            _set_admitted_share(context, level, bottleneck)
        return None

    def _bottleneck_of(
        self, context: context_lib.RequestContext
    ) -> tuple[int, str]:
        """Returns the lowest level that a request is subject to, and whose."""
        level, bottleneck = self._dispatcher.level_tracker.path_bottleneck(
            context.class_name, time.monotonic()
        )
        own = self.level()
        if own < level and self.announcement is not None:
            return own, self.announcement.service
        return level, bottleneck

    def _return_slot(self, attempt: calls.Attempt) -> None:
        """Returns a slot that was not used."""
        assert self._gate is not None
        self._quarantine.leave(attempt)
        self._gate.leave(0.0)

    def _successor(self, service: str) -> str | None:
        """Returns a ticket of another owner, or None."""
        if not self._rules.moves_tickets:
            return None
        ticket = self._dispatcher.mint(service, frozenset([self.node_id]))
        if ticket is None or ticket.owner == self.node_id:
            return None
        return tickets.encode(ticket, self._dispatcher.sender.keys)

    def _refused(
        self,
        attempt: calls.Attempt,
        refusal: outcomes.Answer,
        waited_s: float,
    ) -> outcomes.Answer:
        self._counters.refused += 1
        if refusal.reason is outcomes.Reason.LIMITED:
            self._counters.limited += 1
        context = attempt.context
        backend_runs.record(
            self._recorder,
            "call.refused",
            attempt,
            reason=refusal.reason or "",
            priority=context.priority,
            level=self.level(),
            bottleneck=self._bottleneck_of(context)[1],
            path_level=self._dispatcher.level_tracker.path_level(
                context.class_name, time.monotonic()
            ),
            new_work=context.depth == 0,
            in_flight=self.in_flight,
            slots=self.slots,
            limit_per_s=self.self_reports.report.limit_per_s,
            waited_s=round(waited_s, 4),
            remaining_s=round(context.remaining_s, 3),
            **self._share_detail(context),
        )
        unspent = attempt.context.allowance
        # A call that waits in vain holds the slot of its request, too.
        return dataclasses.replace(refusal, unspent=unspent, queue_s=waited_s)

    def _share_detail(
        self, context: context_lib.RequestContext
    ) -> dict[str, Any]:
        if self._shares is None:
            return {}
        return self._shares.refusal_detail(context, time.monotonic())

    def _with_state(
        self, attempt: calls.Attempt, answer: outcomes.Answer
    ) -> outcomes.Answer:
        """Adds the state of this guard that callers track to an answer."""
        if answer.outcome is outcomes.Outcome.UNKNOWN:
            self._counters.unknown += 1
        context = attempt.context
        accepts_work = self.accepts_work
        self._set_levels(context, answer, accepts_work)
        answer.report = None
        if attempt.received is not None or not self.self_reports.is_plain:
            answer.report = self.self_reports.report_for(attempt.received)
        answer.load = self.load()
        answer.draining = not accepts_work or self.announcement is None
        # Also resets the pace on an answer that is replayed for its ticket.
        answer.pace = 1.0
        if self._server_load is not None and self._server_load.is_reported:
            answer.pace = self._server_load.pace(time.monotonic())
        answer.nested_call = context.depth > 0
        answer.far_kb = 0.0
        if self._lineage is not None:
            answer.far_kb = self._lineage.transfer_cost_of(context.class_name)
        answer.over_share = None
        shares = self._shares
        if shares is not None and (
            shares.meter.over_share or shares.tracker.any_named
        ):
            shares.add_to(answer, context.class_name, time.monotonic())
        return answer

    def _set_levels(
        self,
        context: context_lib.RequestContext,
        answer: outcomes.Answer,
        accepts_work: bool,
    ) -> None:
        """Sets the lowest level of this guard and its downstream services.

        No level is set while no work is accepted: routers would apply the level
        of a frozen or leaving server to its whole service. Nor is one set for a
        rate-limited server with idle slots, whose level would wrongly indicate
        spare capacity.
        """
        services = self._dispatcher.level_tracker.services
        received = answer.level
        answer.level = None
        answer.service_levels = ()
        if services.any_known:
            answer.service_levels = services.to_send(time.monotonic())
        if not accepts_work:
            return
        level, bottleneck = self._bottleneck_of(context)
        if received is not None:
            level = min(level, received)
        limited = answer.reason is outcomes.Reason.LIMITED
        if limited and level >= levels.OPEN:
            return
        answer.level = level
        answer.bottleneck = bottleneck if level < levels.OPEN else ""


def _set_admitted_share(
    context: context_lib.RequestContext, level: int, bottleneck: str
) -> None:
    """Notes which share of its rank a new request was admitted with.

    The guards of its nested calls estimate the whole demand from it.
    """
    share = levels.admitted_share(level, context.rank)
    if share < context.admitted_share:
        context.admitted_share = share
        context.limited_by = bottleneck


def _ignore(incarnation: incarnations.Incarnation) -> None:
    """Default of `on_server_leaving`, where only announcements are used."""


def _not_run(reason: outcomes.Reason) -> outcomes.Answer:
    return outcomes.not_run(reason, admission.RETRY_AFTER_S)
