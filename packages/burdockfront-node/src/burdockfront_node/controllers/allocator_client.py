"""Sends the reports of one node to the quota allocator."""

import dataclasses
import logging
import time

from burdockfront import errors
from burdockfront import quota_allocator
from burdockfront import quotas
from burdockfront_node.controllers import allocator_selection
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import quota_wire

_LOG = logging.getLogger(__name__)

QUOTAS = "/peer/quotas"
# Requests wait for the answer to a report; after this time another allocator is
# asked.
TIMEOUT_S = 0.25
# If this many allocators do not answer, this node is usually the one cut off.
TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a report, and the node that gave it."""

    allocator_id: str
    allocation: quotas.Allocation


class AllocatorClient:
    """Finds an allocator that answers.

    Args:
        exchange: Members and the link to them.
        selector: Selects the allocator.
        local_allocator: Answers if this node selects itself, and if no other
            node answers.
    """

    def __init__(
        self,
        exchange: exchange_lib.Exchange,
        selector: allocator_selection.AllocatorSelector,
        local_allocator: quota_allocator.QuotaAllocator,
    ):
        self._exchange = exchange
        self._selector = selector
        self._local_allocator = local_allocator

    async def report(self, report: quotas.Report) -> Reply:
        """Reports to the selected allocator.

        If it does not answer, another one is selected. After `TRIES` of them,
        or if this node selects itself, the local allocator answers.
        """
        for _ in range(TRIES):
            target = self._selector.choose()
            if target.node_id == report.node_id:
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
            return Reply(target.node_id, allocation)
        allocation = self._local_allocator.on_report(
            report, self._selector.nodes(), time.monotonic()
        )
        return Reply(report.node_id, allocation)
