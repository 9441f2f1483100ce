"""Nodes of the model: the product's request path, without its sockets."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import accounts
from burdockfront import guards
from burdockfront import incarnations
from burdockfront import keyring
from burdockfront import ledger
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import routes as routes_lib
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_bench.site_model import servers as servers_lib
from burdockfront_bench.site_model import sheet as sheet_lib
from burdockfront_bench.site_model import terms as terms_lib
from burdockfront_client import attempts as attempts_lib
from burdockfront_client import calls
from burdockfront_client import dispatcher as dispatcher_lib
from burdockfront_client import peers
from burdockfront_node import account_shares
from burdockfront_node import availability
from burdockfront_node import backend
from burdockfront_node import entry_refusals
from burdockfront_node import guard as guard_lib
from burdockfront_node import lineage as lineage_lib
from burdockfront_node.filters import base
from burdockfront_node.filters import chain
from burdockfront_node.internal import messages

HOST = "site.example"
_KEY_HEADER = "x-api-key"
_ORDER = ("route", "dispatch")
_LEDGER_BYTES = 10_000_000
_TICKET_S = 900.0
_RULES = availability.GuardRules(
    drain_grace_s=0.0,
    stall_floor_s=3.0,
    moves_tickets=False,
    refusals_lower_slots=False,
)

# Brings an attempt from a place to a guard, and waits so long for its answer.
Carry = Callable[
    ["Place", guards.Target, calls.Attempt, float], Awaitable[outcomes.Answer]
]


class NoQuotas:
    """Admits every account."""

    is_known = True

    def consume(
        self, account: accounts.Account, rank: int, now_s: float
    ) -> float | None:
        """Admits a request."""
        return 0.0

    async def ask(
        self, account: accounts.Account, rank: int, max_wait_s: float
    ) -> float:
        """Admits a request."""
        return 0.0

    def give_back(self, account: accounts.Account) -> None:
        """Nothing was spent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a node is, and what is beside it."""

    node_id: str
    data_center: str
    service: sheet_lib.Service
    speed: float

    def target(self) -> guards.Target:
        """Returns what routers know of it."""
        return guards.Target(
            node_id=self.node_id,
            boot_id=f"{self.node_id}-boot",
            service=self.service.name,
            address=self.node_id,
            data_center=self.data_center,
            slots=self.service.slots,
        )


class _Way:
    """The way of one process of a node to its server.

    Attributes:
        is_there: Whether the process still runs.
        answers_discarded: Always 0; modelled servers do not mix up answers.
    """

    def __init__(self, server: servers_lib.ModelServer):
        self.answers_discarded = 0
        self.is_there = True
        self._server = server

    async def run(
        self,
        announced: backend.Announcement,
        attempt: calls.Attempt,
        nonce: str | None,
        limit_bytes: int,
    ) -> outcomes.Answer:
        """Hands an attempt over, and waits for its answer.

        Raises:
            LostAnswerError: The process was replaced.
        """
        if self.is_there:
            answer = await self._server.run(
                announced, attempt, nonce, limit_bytes
            )
        if not self.is_there:
            raise peers.LostAnswerError("the node's process is gone.")
        return answer


class ModelNode:
    """A node with its backend server.

    Args:
        place: Where it is.
        server: The backend server.
        table: Operators' routes.
        policy: Policy of all services.
        rng: Source of randomness.
        carry: Brings attempts to other nodes.
        retry_burst: Unearned retries of a service that it may make.
        terms: Hears which words of servers it passes on.
        fair_shares: Whether client accounts share scarce services fairly.
    """

    def __init__(
        self,
        place: Place,
        server: servers_lib.ModelServer,
        table: routes_lib.RouteTable,
        policy: policy_lib.Policy,
        rng: random.Random,
        carry: Carry,
        retry_burst: float,
        terms: terms_lib.TermsLog,
        fair_shares: bool = False,
    ):
        self.place = place
        self.server = server
        self._table = table
        self._policy = policy
        self._rng = rng
        self._carry = carry
        self._retry_burst = retry_burst
        self._terms = terms
        self._fair_shares = fair_shares
        self._way = _Way(server)
        self._build()

    def begin_anew(self) -> None:
        """Replaces its process: what waits there is lost, and all it knew."""
        self._way.is_there = False
        self._way = _Way(self.server)
        self._terms.began_anew(self.place.node_id)
        targets = self.dispatcher.router
        services = targets.services()
        known = [t for name in services for t in targets.targets_of(name)]
        self._build()
        self.dispatcher.router.update(known)

    def _build(self) -> None:
        place = self.place
        policy = self._policy
        recorder = timeline.Recorder(place.node_id, place.data_center, 1)
        keys = keyring.KeyRing([], open_ring=True)
        attempts = attempts_lib.AttemptTracker()

        def policy_of(service: str) -> policy_lib.Policy:
            return policy

        self.dispatcher = dispatcher_lib.Dispatcher(
            place.node_id,
            place.data_center,
            keys,
            policy_of,
            recorder,
            _TICKET_S,
            self._rng,
            retry_burst=self._retry_burst,
            waits_past_deadline=True,
            answers_name_attempts=False,
        )
        router = self.dispatcher.router
        lineage = lineage_lib.Lineage(
            self.dispatcher.level_tracker, lambda: len(router.services())
        )
        self.dispatcher.observer = lineage.on_call_answer
        ready = asyncio.Event()
        ready.set()
        book = routes_lib.RouteResolver(self._rng)
        book.accept(self._table)
        shares = None
        if self._fair_shares:
            shares = account_shares.AccountShares(
                book, self.dispatcher.share_tracker, recorder
            )
        self.guard = guard_lib.Guard(
            place.node_id,
            ledger.Ledger(
                place.node_id, f"{place.node_id}-boot", _LEDGER_BYTES
            ),
            self.dispatcher,
            attempts,
            policy_of,
            recorder,
            time.time,
            ready,
            self._way,
            _RULES,
            lineage,
            shares=shares,
        )
        self.guard.announce(
            backend.Announcement(
                place.service.name,
                place.node_id,
                place.service.slots,
                "ready",
                0.0,
                False,
                incarnations.Incarnation(f"i-{place.node_id}"),
            )
        )
        self.dispatcher.sender.local_guard = self._ask_own_guard
        self.dispatcher.sender.transport = self._ask_guard
        routed = base.RoutedTools(
            book,
            frozenset(),
            place.service.name,
            lineage.is_new_work,
            lineage.parent_of,
            _KEY_HEADER,
            frozenset([_KEY_HEADER]),
            NoQuotas(),
            entry_refusals.EntryRefusals(recorder),
            shares=shares.tracker if shares is not None else None,
        )
        tools = base.Tools(
            self.dispatcher,
            attempts,
            policy_of,
            recorder,
            lambda call: None,
            routed,
        )
        self._chain = chain.build(tools, _ORDER)
        self.server.send_call = self._send_call

    async def _ask_own_guard(self, attempt: calls.Attempt) -> outcomes.Answer:
        node_id = self.place.node_id
        self._terms.sent(node_id, attempt.context.attempt_id)
        return self._passed_on(node_id, await self.guard.handle(attempt))

    async def _ask_guard(
        self,
        attempt: calls.Attempt,
        target: guards.Target,
        timeout_s: float,
        limit_bytes: int,
    ) -> outcomes.Answer:
        self._terms.sent(self.place.node_id, attempt.context.attempt_id)
        answer = await self._carry(self.place, target, attempt, timeout_s)
        return self._passed_on(target.node_id, answer)

    def _passed_on(
        self, server: str, answer: outcomes.Answer
    ) -> outcomes.Answer:
        notice = answer.notice
        if notice is not None and notice != self_reports.NO_NOTICE:
            self._terms.passed_on(
                self.place.node_id,
                server,
                notice.limit_per_s is not None,
                notice.leaving,
                time.monotonic(),
            )
        return answer

    async def ask(
        self,
        request_class: sheet_lib.RequestClass,
        request_id: str,
        left_s: float,
        account: str = "",
    ) -> outcomes.Answer:
        """Sends a request into this node, as its callers do."""
        key = ((_KEY_HEADER, account),) if account else ()
        request = messages.Request(
            "POST" if request_class.confirms else "GET",
            f"/{request_class.name}/{request_id}",
            (("host", HOST), *key),
            b"",
        )
        entry = base.Entry(
            request, caller_request_id=request_id, caller_timeout_s=left_s
        )
        try:
            async with asyncio.timeout(left_s):
                return await self._chain(entry)
        except TimeoutError:
            return outcomes.unknown(outcomes.Reason.DEADLINE)

    async def _send_call(
        self,
        request_class: sheet_lib.RequestClass,
        call_id: str,
        until_s: float,
    ) -> bool:
        left_s = min(request_class.deadline_s, until_s - time.monotonic())
        if left_s <= 0.0:
            return False
        answer = await self.ask(request_class, call_id, left_s)
        return answer.outcome is outcomes.Outcome.DONE and answer.status < 500


def as_received(attempt: calls.Attempt) -> calls.Attempt:
    """Returns an attempt as another node reads it."""
    context = attempt.context
    call = dataclasses.replace(
        attempt.call,
        context=context,
        deadline_s=time.monotonic() + context.remaining_s,
        pool=calls.allowance.AllowancePool(context.allowance),
        parent_class="",
        trail=[],
        arrivals=0,
    )
    return calls.Attempt(
        call, dataclasses.replace(context), attempt.ticket, attempt.received
    )


def lost(target: guards.Target) -> peers.LostAnswerError:
    """Returns the error of an answer that never came."""
    return peers.LostAnswerError(f"{target.node_id} gave no answer.")
