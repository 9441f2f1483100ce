"""Joins the cluster by synchronising whole tables with a few nodes."""

import asyncio
import logging
import random

from burdockfront import errors
from burdockfront_node.controllers import anti_entropy as anti_entropy_lib

_LOG = logging.getLogger(__name__)

# Largest number of concurrent requests of a starting node.
_MAX_CONCURRENT = 8
# Several round trips within a region, and some processing. A node that has not
# answered by then is busy or unreachable, and further nodes are asked as well.
_HEDGE_S = 0.15
# Two round trips between regions, and some processing. A node that takes longer
# after others have answered is unreachable, or gossip will find it.
_LAST_ANSWERS_S = 0.2


class Joiner:
    """Synchronises tables with several nodes.

    Args:
        anti_entropy: Synchronises tables with one node.
        local_address: Address of this node, which is never asked.
        rng: Source of randomness.
    """

    def __init__(
        self,
        anti_entropy: anti_entropy_lib.AntiEntropySync,
        local_address: str,
        rng: random.Random,
    ):
        self._anti_entropy = anti_entropy
        self._local_address = local_address
        self._rng = rng

    async def run(
        self, addresses: list[str], enough: int, configured: bool
    ) -> int:
        """Synchronises all tables with some nodes of `addresses`.

        The order is random: if a whole data centre starts at once, all its
        nodes would otherwise fetch whole tables from the first seed of their
        common list. A few nodes are enough, because the first probes deliver
        what these don't know.

        `enough` nodes are asked at a time, and more if some do not answer.
        Nodes that don't answer are not waited for once others have. Asking one
        node after the other delayed a start by half a second for each VM that
        was gone but still listed: after a restart of all processes, four such
        VMs kept every node from serving for a second and a half.

        As long as no node counts, all of `addresses` is asked. When all nodes
        start together and none knows the configuration yet, this transfers a
        table from each node to each node. If the configuration comes from
        another source, set `configured` to False.

        Args:
            addresses: Nodes to ask.
            enough: Ends after this many nodes that count.
            configured: Whether only nodes that know the configuration count;
                otherwise all nodes that answer do.

        Returns:
            How many of the nodes asked count.
        """
        waiting = [
            address
            for address in self._rng.sample(addresses, len(addresses))
            if address != self._local_address
        ]
        running: set[asyncio.Task[bool | None]] = set()
        concurrency = enough
        answered = ready = counted = 0
        try:
            while counted < enough and (waiting or running):
                while waiting and len(running) < min(
                    concurrency, _MAX_CONCURRENT
                ):
                    request = self._sync(waiting.pop())
                    running.add(asyncio.create_task(request))
                last_s = _LAST_ANSWERS_S if answered else None
                done, running = await asyncio.wait(
                    running,
                    timeout=_HEDGE_S if waiting else last_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done and not waiting:
                    break
                if not done:
                    concurrency += enough
                answers = [task.result() for task in done]
                answered += sum(answer is not None for answer in answers)
                counted = answered
                if configured:
                    ready += sum(answer is True for answer in answers)
                    counted = ready
        finally:
            for task in running:
                task.cancel()
        return counted

    async def _sync(self, address: str) -> bool | None:
        """Synchronises with a node.

        Returns:
            Whether the node knows the configuration; None if it did not answer.
        """
        try:
            return await self._anti_entropy.run(address, members=True)
        except errors.DispatchError as error:
            _LOG.info("seed not reached", extra={"why": str(error)})
            return None
