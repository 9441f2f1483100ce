"""Reports what client accounts spent here, and asks for what they may spend.

One report is under way at a time. What is spent or asked for meanwhile goes
with the next one, so an account that is asked about often costs no more than a
message a round trip. See `burdockfront.quotas` for what is decided.
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
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import quota_choice
from burdockfront_node.controllers import quota_limits
from burdockfront_node.controllers import quota_wire

_LOG = logging.getLogger(__name__)

QUOTAS = "/peer/quotas"
# Also without news: a report says that this node is there.
REPORT_S = 0.5
# Requests wait for it; another keeper is asked then.
TIMEOUT_S = 0.25
# With so many lost at once this node is cut off, as a rule.
TRIES = 3
_SOON_S = 0.001


class NotReadyError(errors.BurdockfrontError):
    """A node that has just started was asked to keep quotas."""

    def __init__(self) -> None:
        super().__init__(
            "this node does not know the others yet; report to another one, "
            "and here again when it says that it is ready."
        )


class QuotaExchange:
    """Spends and reports at one node, and keeps for others when asked.

    Args:
        exchange: The other nodes.
        limits: The limits in force.
        recorder: Where events go.
        rng: Source of randomness.
        ready: Whether this node knows the others.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        limits: quota_limits.BookLimits,
        recorder: timeline.Recorder,
        rng: random.Random,
        ready: asyncio.Event,
    ):
        self._ready = ready
        self._exchange = exchange
        self._limits = limits
        self._recorder = recorder
        self._rng = rng
        self.keeper = quota_allocator.QuotaAllocator(limits)
        self._local = local_quotas.LocalQuotas(limits, rng)
        self._waiting: dict[tuple[str, int], list[asyncio.Future[float]]] = {}
        self._due = asyncio.Event()
        self._choice = quota_choice.KeeperChoice(exchange.membership)
        self._keeper_id = ""
        self.refused: collections.Counter[str] = collections.Counter()

    @property
    def is_known(self) -> bool:
        """Whether quotas can be held yet.

        A node that knows no others would deal whole quotas to itself, and all
        that start together would.
        """
        return self._ready.is_set()

    @property
    def scarce(self) -> frozenset[str]:
        """Accounts whose requests need tokens now."""
        return self._local.scarce

    @property
    def keeper_id(self) -> str:
        """The node that answered the last report."""
        return self._keeper_id

    def consume(
        self, account: accounts_lib.Account, rank: int, now_s: float
    ) -> float | None:
        """Spends one request at once; None if `ask` has to find out."""
        refused_s = self._local.admit(account.name, rank, now_s)
        if refused_s:
            self.refused[account.name] += 1
        return refused_s

    async def ask(self, account: accounts_lib.Account, rank: int) -> float:
        """Spends one request by a token of the keeper."""
        asked = (account.name, rank)
        wait_s = await self._ask_once(asked)
        if 0.0 < wait_s <= local_quotas.MAX_TOKEN_WAIT_S:
            await asyncio.sleep(wait_s)
            wait_s = await self._ask_once(asked)
        if not wait_s:
            return 0.0
        self.refused[account.name] += 1
        return self._local.retry_after_s(wait_s)

    async def _ask_once(self, asked: tuple[str, int]) -> float:
        """Returns 0 with a token, or when there will be one."""
        answer: asyncio.Future[float]
        answer = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(asked, []).append(answer)
        self._due.set()
        try:
            return await answer
        except asyncio.CancelledError:
            # Its caller left. A token that was dealt meanwhile is given back.
            if answer.done() and not answer.cancelled() and not answer.result():
                self._local.give_back(asked[0])
            raise

    def give_back(self, account: accounts_lib.Account) -> None:
        """Takes back a request that was admitted, and ran nowhere."""
        self._local.give_back(account.name)

    async def report_forever(self) -> None:
        """Reports now and then, and at once when requests wait."""
        await self._ready.wait()
        while True:
            await self._wait()
            self._due.clear()
            self._limits.look(time.monotonic())
            if self._limits.any_limited or self._waiting:
                await self._report()

    def on_report(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers the report of a peer.

        Raises:
            NotReadyError: This node knows too few others to deal shares.
        """
        if not self.is_known:
            raise NotReadyError()
        report = quota_wire.read_report(message)
        self._limits.look(time.monotonic())
        dealt = self.keeper.on_report(
            report, self._choice.nodes(), time.monotonic()
        )
        return quota_wire.write_dealt(dealt)

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(REPORT_S * self._rng.uniform(0.9, 1.0)):
                await self._due.wait()
        except TimeoutError:
            return

    async def _report(self) -> None:
        self._local.nodes = self._choice.nodes()
        waiting, self._waiting = self._waiting, {}
        spent = self._local.report()
        report = quotas.Report(
            self._exchange.membership.local_member.node_id,
            spent,
            tuple(
                quotas.TokenRequest(account, rank, len(answers))
                for (account, rank), answers in waiting.items()
            ),
        )
        try:
            dealt = await self._ask_keeper(report)
        except BaseException:
            self._local.on_report_failure(spent)
            _refuse_all(waiting)
            raise
        before = self._local.scarce
        self._local.on_allocation(dealt, time.monotonic())
        self._note_scarce(before, self._local.scarce)
        self._hand_out(dealt, waiting)

    async def _ask_keeper(self, report: quotas.Report) -> quotas.Allocation:
        """Asks the keeper, another one if it does not answer, or itself."""
        for _ in range(TRIES):
            keeper = self._choice.choose()
            if keeper.node_id == self._exchange.membership.local_member.node_id:
                break
            try:
                answer = await self._exchange.link.ask(
                    keeper.address,
                    QUOTAS,
                    quota_wire.write_report(report),
                    TIMEOUT_S,
                )
                dealt = quota_wire.read_dealt(answer)
            except (errors.DispatchError, errors.InvalidInputError) as error:
                self._choice.avoid(keeper.node_id)
                _LOG.info(
                    "a keeper of quotas did not answer",
                    extra={"keeper": keeper.node_id, "why": str(error)},
                )
                continue
            self._note_keeper(keeper.node_id)
            return dealt
        self._note_keeper(report.node_id)
        return self.keeper.on_report(
            report, self._choice.nodes(), time.monotonic()
        )

    def _hand_out(
        self,
        dealt: quotas.Allocation,
        waiting: dict[tuple[str, int], list[asyncio.Future[float]]],
    ) -> None:
        for granted in dealt.grants:
            answers = waiting.pop((granted.account, granted.rank), [])
            left = granted.count
            for answer in answers:
                if answer.done():
                    continue
                answer.set_result(0.0 if left else max(_SOON_S, granted.wait_s))
                left -= 1 if left else 0
            for _ in range(left):
                self._local.give_back(granted.account)
        _refuse_all(waiting)

    def _note_keeper(self, node_id: str) -> None:
        if node_id == self._keeper_id:
            return
        self._recorder.record(
            time.time(),
            "quota.keeper",
            before=self._keeper_id,
            keeper=node_id,
            nodes=self._local.nodes,
        )
        self._keeper_id = node_id

    def _note_scarce(
        self, before: frozenset[str], after: frozenset[str]
    ) -> None:
        """Logs each account once when it nears its limit, and when it is off.

        Of accounts that have requests here: at each of hundreds of nodes, a
        line for all of them would be more than the requests.
        """
        for account in sorted(after ^ before):
            if account in self.refused:
                self._recorder.record(
                    time.time(),
                    "quota.scarce" if account in after else "quota.ample",
                    account=account,
                    keeper=self._keeper_id,
                    refused=self.refused[account],
                )


def _refuse_all(
    waiting: dict[tuple[str, int], list[asyncio.Future[float]]],
) -> None:
    """Ends waits that no answer named."""
    for answers in waiting.values():
        for answer in answers:
            if not answer.done():
                answer.set_result(REPORT_S)
