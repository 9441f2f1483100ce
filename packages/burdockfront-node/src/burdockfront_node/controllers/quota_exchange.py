"""Reports the usage of client accounts to the quota allocator.

Reports also request tokens. One report is in flight at a time; usage and
requests of the meantime go with the next one, so an account with many token
requests costs no more than a message per round trip. See `burdockfront.quotas`
for the rules by which requests are admitted.
"""

import asyncio
import collections
import logging
import random
import time
from typing import Any

from burdockfront import accounts as accounts_lib
from burdockfront import errors
from burdockfront import local_quotas
from burdockfront import quota_allocator
from burdockfront import quotas
from burdockfront import timeline
from burdockfront_node.controllers import allocator_selection
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import quota_limits
from burdockfront_node.controllers import quota_wire

_LOG = logging.getLogger(__name__)

QUOTAS = "/peer/quotas"
# Interval of reports, also without usage: a report shows that this node is
# running, and counts towards the allocator's share.
REPORT_S = 0.5
# Requests wait for the answer to a report; after this time another allocator is
# asked.
TIMEOUT_S = 0.25
# If this many allocators do not answer, this node is usually the one cut off.
TRIES = 3
# Lowest wait for a request without a token, as 0 means that it got one.
_MIN_WAIT_S = 0.001


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
        self._waiting: dict[tuple[str, int], list[asyncio.Future[float]]] = {}
        self._report_due = asyncio.Event()
        self._selector = allocator_selection.AllocatorSelector(
            exchange.membership
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

    async def ask(self, account: accounts_lib.Account, rank: int) -> float:
        """Admits one request by a token of the allocator.

        Returns:
            0 if it is admitted, else the time to retry after.
        """
        key = (account.name, rank)
        wait_s = await self._request_token(key)
        if 0.0 < wait_s <= local_quotas.MAX_TOKEN_WAIT_S:
            await asyncio.sleep(wait_s)
            wait_s = await self._request_token(key)
        if not wait_s:
            return 0.0
        self.refused[account.name] += 1
        return self._local.retry_after_s(wait_s)

    async def _request_token(self, key: tuple[str, int]) -> float:
        """Requests a token for an account and rank with the next report.

        Returns:
            0 if a token was granted, else the time until one is available.
        """
        answer: asyncio.Future[float]
        answer = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(key, []).append(answer)
        self._report_due.set()
        try:
            return await answer
        except asyncio.CancelledError:
            # The caller disconnected. A token that was granted meanwhile is
            # returned.
            if answer.done() and not answer.cancelled() and not answer.result():
                self._local.give_back(key[0])
            raise

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
        waiting, self._waiting = self._waiting, {}
        usage = self._local.report()
        report = quotas.Report(
            self._exchange.membership.local_member.node_id,
            usage,
            tuple(
                quotas.TokenRequest(account, rank, len(answers))
                for (account, rank), answers in waiting.items()
            ),
        )
        try:
            allocation = await self._ask_allocator(report)
        except BaseException:
            self._local.on_report_failure(usage)
            _refuse_all(waiting)
            raise
        before = self._local.scarce
        self._local.on_allocation(allocation, time.monotonic())
        self._record_scarce(before, self._local.scarce)
        self._resolve(allocation, waiting)

    async def _ask_allocator(self, report: quotas.Report) -> quotas.Allocation:
        """Reports to the selected allocator.

        If it does not answer, another one is selected. After `TRIES` of them,
        or if this node selects itself, the local allocator answers.
        """
        for _ in range(TRIES):
            target = self._selector.choose()
            if target.node_id == self._exchange.membership.local_member.node_id:
                break
            try:
                answer = await self._exchange.link.ask(
                    target.address,
                    QUOTAS,
                    quota_wire.write_report(report),
                    TIMEOUT_S,
                )
                allocation = quota_wire.read_allocation(answer)
            except (errors.DispatchError, errors.InvalidInputError) as error:
                self._selector.avoid(target.node_id)
                _LOG.info(
                    "the quota keeper did not answer",
                    extra={"keeper": target.node_id, "why": str(error)},
                )
                continue
            self._record_allocator(target.node_id)
            return allocation
        self._record_allocator(report.node_id)
        return self.allocator.on_report(
            report, self._selector.nodes(), time.monotonic()
        )

    def _resolve(
        self,
        allocation: quotas.Allocation,
        waiting: dict[tuple[str, int], list[asyncio.Future[float]]],
    ) -> None:
        for grant in allocation.grants:
            answers = waiting.pop((grant.account, grant.rank), [])
            left = grant.count
            for answer in answers:
                if answer.done():
                    continue
                answer.set_result(
                    0.0 if left else max(_MIN_WAIT_S, grant.wait_s)
                )
                left -= 1 if left else 0
            for _ in range(left):
                self._local.give_back(grant.account)
        _refuse_all(waiting)

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


def _refuse_all(
    waiting: dict[tuple[str, int], list[asyncio.Future[float]]],
) -> None:
    """Refuses waiting requests that no grant covers."""
    for answers in waiting.values():
        for answer in answers:
            if not answer.done():
                answer.set_result(REPORT_S)
