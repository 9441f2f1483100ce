"""Joins the others: exchanges whole tables with a few of those listed."""

import asyncio
import logging
import random

from burdockfront import errors
from burdockfront_node.controllers import anti_entropy as anti_entropy_lib

_LOG = logging.getLogger(__name__)

# Nodes that a start asks at the same time.
_JOINS_AT_ONCE = 8
# Several ways within a region, and some work there. Whoever has not answered by
# then is busy or gone, and others are asked besides.
_HEDGE_S = 0.15
# Two ways to and fro between regions, and some work there. Whoever takes longer
# after others have answered is gone, or is found by the exchange.
_LAST_JOINS_S = 0.2


class Joiner:
    """Asks nodes for their tables.

    Args:
        repairs: Exchanges tables with one node.
        me: Own address, which is never asked.
        rng: Source of randomness.
    """

    def __init__(
        self,
        repairs: anti_entropy_lib.AntiEntropySync,
        me: str,
        rng: random.Random,
    ):
        self._repairs = repairs
        self._me = me
        self._rng = rng

    async def run(
        self, addresses: list[str], enough: int, configured: bool
    ) -> int:
        """Exchanges everything with some nodes, drawn from `addresses`.

        In any order: a data centre that starts at once would fetch whole
        tables from the one seed that everybody's list begins with. And not
        with all of them: what a few don't know, the first probes repair.

        As many at a time as are wanted, and more where some are silent. Those
        that don't answer are not waited for once others have. Asked one after
        the other, each VM that is gone but still listed held up a start by half
        a second: after a restart of all processes four of them kept every node
        out for a second and a half.

        While none of those asked counts, all of the list is asked: when all
        start together and none knows the configuration yet, a table from each
        for each. Where the configuration comes from elsewhere, let any count.

        Args:
            addresses: Whom to ask.
            enough: Ends after so many that count.
            configured: Only those that know the configuration count; otherwise
                all that answer.

        Returns:
            How many of those asked count.
        """
        waiting = [
            address
            for address in self._rng.sample(addresses, len(addresses))
            if address != self._me
        ]
        asking: set[asyncio.Task[bool | None]] = set()
        at_once = enough
        answered = ready = counted = 0
        try:
            while counted < enough and (waiting or asking):
                while waiting and len(asking) < min(at_once, _JOINS_AT_ONCE):
                    joining = self._ask(waiting.pop())
                    asking.add(asyncio.create_task(joining))
                last_s = _LAST_JOINS_S if answered else None
                done, asking = await asyncio.wait(
                    asking,
                    timeout=_HEDGE_S if waiting else last_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done and not waiting:
                    break
                if not done:
                    at_once += enough
                answers = [task.result() for task in done]
                answered += sum(answer is not None for answer in answers)
                counted = answered
                if configured:
                    ready += sum(answer is True for answer in answers)
                    counted = ready
        finally:
            for task in asking:
                task.cancel()
        return counted

    async def _ask(self, address: str) -> bool | None:
        """Returns whether a node knows the configuration; None: no answer."""
        try:
            return await self._repairs.run(address, members=True)
        except errors.DispatchError as error:
            _LOG.info("seed not reached", extra={"why": str(error)})
            return None
