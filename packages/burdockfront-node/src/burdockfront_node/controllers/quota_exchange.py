"""Reports the usage of client accounts to the quota allocator.

Reports also request tokens. One report is in flight at a time; usage and
requests of the meantime go with the next one, so an account with many token
requests costs no more than a message per round trip. See `burdockfront.quotas`
for the rules by which requests are admitted.
"""

import asyncio
import collections
import random
import time
from typing import Any

from burdockfront import accounts as accounts_lib
from burdockfront import errors
from burdockfront import local_quotas
from burdockfront import quota_allocator
from burdockfront import quotas
from burdockfront import timeline
from burdockfront_node.controllers import allocator_client
from burdockfront_node.controllers import allocator_selection
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import quota_limits
from burdockfront_node.controllers import quota_wire
from burdockfront_node.controllers import token_waiters

# Interval of reports, also without usage: a report shows that this node is
# running, and counts towards the allocator's share.
REPORT_S = 0.5
# A request whose promised token was lost together with the allocator asks the
# next one, as often as this altogether.
_MAX_ASKS = 2


class NotReadyError(errors.BurdockfrontError):
    """A node that has just started cannot allocate quotas yet."""

    def __init__(self) -> None:
        super().__init__(
            "this node has just started and does not know its peers yet; "
            "report to another one, and to this one again once it is ready."
        )


class QuotaExchange:
    """Admits and reports requests at one node, and allocates for its peers.

    Args:
        exchange: Members and the link to them.
        limits: The limits in effect.
        recorder: Where events go.
        rng: Source of randomness.
        ready: Set once this node knows its peers.

    Attributes:
        allocator: Allocates quotas to the nodes that report to this one.
        refused: Requests refused here, by account.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        limits: quota_limits.AccountLimits,
        recorder: timeline.Recorder,
        rng: random.Random,
        ready: asyncio.Event,
    ):
        self._ready = ready
        self._exchange = exchange
        self._limits = limits
        self._recorder = recorder
        self._rng = rng
        self.allocator = quota_allocator.QuotaAllocator(limits)
        self._local = local_quotas.LocalQuotas(limits, rng)
        self._waiting = token_waiters.TokenWaiters()
        self._report_due = asyncio.Event()
        self._selector = allocator_selection.AllocatorSelector(
            exchange.membership
        )
        self._allocators = allocator_client.AllocatorClient(
            exchange, self._selector, self.allocator
        )
        self._allocator_id = ""
        self.refused: collections.Counter[str] = collections.Counter()

    @property
    def is_known(self) -> bool:
        """Whether quotas can be enforced yet.

        A node without known peers would allocate whole quotas to itself, and so
        would all nodes that start together.
        """
        return self._ready.is_set()

    @property
    def scarce(self) -> frozenset[str]:
        """Accounts whose requests need tokens."""
        return self._local.scarce

    @property
    def allocator_id(self) -> str:
        """The node that answered the last report."""
        return self._allocator_id

    def consume(
        self, account: accounts_lib.Account, rank: int, now_s: float
    ) -> float | None:
        """Admits or refuses one request locally.

        Returns:
            0 if it is admitted; the time to retry after if it is refused; None
            if `ask` has to be called.
        """
        refused_s = self._local.admit(account.name, rank, now_s)
        if refused_s:
            self.refused[account.name] += 1
        return refused_s

    async def ask(
        self, account: accounts_lib.Account, rank: int, max_wait_s: float
    ) -> float:
        """Admits one request by a token of the allocator.

        Args:
            account: Account of the request.
            rank: Rank of the request.
            max_wait_s: How long the request waits for a token that is promised
                to it.

        Returns:
            0 if it is admitted, else the time to retry after.
        """
        retry_s = self._local.refused_s(
            account.name, rank, max_wait_s, time.monotonic()
        )
        if not retry_s:
            wait_s = await self._acquire(account.name, rank, max_wait_s)
            if not wait_s:
                return 0.0
            retry_s = self._local.retry_after_s(wait_s)
        self.refused[account.name] += 1
        return retry_s

    async def _acquire(
        self, account: str, rank: int, max_wait_s: float
    ) -> float:
        """Waits for a token.

        Returns:
            0 with a token, else the time until one is available.
        """
        give_up_s = time.monotonic() + max_wait_s
        wait_s = 0.0
        for _ in range(_MAX_ASKS):
            left_s = max(0.0, give_up_s - time.monotonic())
            reply = await self._wait_for_token(account, rank, left_s)
            # The next allocator does not know of the promises of the last one,
            # and allocates the same refill again.
            still_valid = reply.allocator_id == self._allocator_id
            if reply.granted and (not reply.wait_s or still_valid):
                return 0.0
            wait_s = reply.wait_s
            if wait_s > left_s:
                break
        return wait_s

    async def _wait_for_token(
        self, account: str, rank: int, max_wait_s: float
    ) -> token_waiters.TokenReply:
        """Requests a token with the next report, and waits until it is due."""
        answer = self._waiting.add(account, rank, max_wait_s)
        self._report_due.set()
        try:
            reply = await answer
            if 0.0 < reply.wait_s <= max_wait_s:
                await asyncio.sleep(reply.wait_s)
        except asyncio.CancelledError:
            # The caller disconnected. A token that was granted meanwhile is
            # returned.
            done = answer.done() and not answer.cancelled()
            if done and answer.result().granted:
                self._local.give_back(account)
            raise
        return reply

    def give_back(self, account: accounts_lib.Account) -> None:
        """Returns the token of a request that was admitted but ran nowhere."""
        self._local.give_back(account.name)

    async def report_forever(self) -> None:
        """Reports periodically, and at once when requests wait for tokens."""
        await self._ready.wait()
        while True:
            await self._wait_until_due()
            self._report_due.clear()
            self._limits.refresh(time.monotonic())
            if self._limits.any_limited or self._waiting:
                await self._report()

    def on_report(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers the report of a peer.

        Raises:
            InvalidInputError: The message is not a valid report.
            NotReadyError: This node does not know its peers yet, so it cannot
                allocate shares.
        """
        if not self.is_known:
            raise NotReadyError()
        report = quota_wire.read_report(message)
        self._limits.refresh(time.monotonic())
        allocation = self.allocator.on_report(
            report, self._selector.nodes(), time.monotonic()
        )
        return quota_wire.write_allocation(allocation)

    async def _wait_until_due(self) -> None:
        try:
            async with asyncio.timeout(REPORT_S * self._rng.uniform(0.9, 1.0)):
                await self._report_due.wait()
        except TimeoutError:
            return

    async def _report(self) -> None:
        self._local.nodes = self._selector.nodes()
        waiting = self._waiting.take()
        usage = self._local.report()
        report = quotas.Report(
            self._exchange.membership.local_member.node_id,
            usage,
            waiting.requests(),
        )
        try:
            reply = await self._allocators.report(report)
        except BaseException:
            self._local.on_report_failure(usage)
            waiting.refuse(REPORT_S)
            raise
        self._record_allocator(reply.allocator_id)
        before = self._local.scarce
        self._local.on_allocation(reply.allocation, time.monotonic())
        self._record_scarce(before, self._local.scarce)
        waiting.resolve(
            reply.allocation.grants,
            reply.allocator_id,
            self._local.give_back,
        )

    def _record_allocator(self, node_id: str) -> None:
        if node_id == self._allocator_id:
            return
        self._recorder.record(
            time.time(),
            "quota.keeper",
            before=self._allocator_id,
            keeper=node_id,
            nodes=self._local.nodes,
        )
        self._allocator_id = node_id

    def _record_scarce(
        self, before: frozenset[str], after: frozenset[str]
    ) -> None:
        """Records an event when an account becomes scarce or ample again.

        Only for accounts with requests refused here: with an event for each
        account at each of hundreds of nodes there would be more events than
        requests.
        """
        for account in sorted(after ^ before):
            if account in self.refused:
                self._recorder.record(
                    time.time(),
                    "quota.scarce" if account in after else "quota.ample",
                    account=account,
                    keeper=self._allocator_id,
                    refused=self.refused[account],
                )
