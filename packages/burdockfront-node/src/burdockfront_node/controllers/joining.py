"""Joins the cluster at the start, and contacts missing seeds from then on.

A node learns members from seeds: addresses in its settings and in the
platform's service. Joining once is not enough. If all seeds of a node start a
moment after it (a data centre or a rack that recovers), the node knows no
member and no member knows it. If two regions are partitioned and all nodes of
both are replaced meanwhile, each region keeps running without the other.
Symptom: "no such service" at some nodes for ever, and idle backend servers.

So every node keeps contacting each seed that is not a usable member, and
watchers contact the platform's seeds of all data centres as well. Two
partitions that each know one seed of the other connect within one pause, and
gossip merges them. When all seeds are members, which is the usual case, this
costs nothing.
"""

import asyncio
import logging
import random
import time

from burdockfront import timeline
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import policies as policies_lib
from burdockfront_node.controllers import seeds as seeds_lib

_LOG = logging.getLogger(__name__)

_START_RETRY_S = 0.5
# A single seed may be as new, or as cut off, as this node; so three are wanted.
_ENOUGH = 3
_FIRST_PAUSE_S = 1.0
_MAX_PAUSE_S = 20.0


class Joining:
    """Joins the cluster and rejoins it after a partition.

    Args:
        addresses: Seeds from the settings.
        needs_configuration: Whether operators' documents exist that must be
            known before this node serves anything.
        seeds: Seeds in the platform's service.
        policies: Reads the configuration.
        exchange: Synchronises tables with a peer.
        ready: Set once the configuration is known.
        recorder: Records events.
        rng: Source of randomness for pauses.
    """

    def __init__(
        self,
        addresses: list[str],
        needs_configuration: bool,
        seeds: seeds_lib.Seeds,
        policies: policies_lib.Policies,
        exchange: exchange_lib.Exchange,
        ready: asyncio.Event,
        recorder: timeline.Recorder,
        rng: random.Random,
    ):
        self._addresses = addresses
        self._needs_configuration = needs_configuration
        self._seeds = seeds
        self._policies = policies
        self._exchange = exchange
        self._ready = ready
        self._recorder = recorder
        self._rng = rng

    async def join_forever(self) -> None:
        """Makes the node ready, and from then on contacts missing seeds."""
        if not self._ready.is_set():
            await self._become_ready()
            # Peers may not have received the latest accepted change yet.
            await self._policies.read()
        pause_s = _FIRST_PAUSE_S
        while True:
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(_MAX_PAUSE_S, pause_s * 2)
            missing = await self.missing()
            if missing:
                await self._exchange.join(missing, len(missing))

    async def _become_ready(self) -> None:
        """Learns members and configuration, then makes the node ready.

        A node that has an answer neither from the platform service nor from a
        ready node does not know which configuration is active. It serves
        nothing then, because with its defaults it would undo an accepted
        change.
        """
        while True:
            # Peers come first: in an outage of the platform service each
            # request to it takes its full timeout, and callers are rejected
            # meanwhile.
            known = (
                await self._exchange.join(self._seeds_and_members(), _ENOUGH)
                > 0
            )
            if not known:
                known = await self._join_through_platform()
            if known or not self._needs_configuration:
                self._ready.set()
                self._recorder.record(time.time(), "node.ready")
                _LOG.info("ready")
                return
            await asyncio.sleep(_START_RETRY_S)

    def _seeds_and_members(self) -> list[str]:
        """Returns the seeds, and the members that have contacted this node."""
        members = self._exchange.membership.usable()
        addresses = [*self._addresses, *(m.address for m in members)]
        return list(dict.fromkeys(addresses))

    async def _join_through_platform(self) -> bool:
        """Reads documents and joins the platform's seeds.

        Returns:
            Whether the configuration is known now.
        """
        known = await self._policies.read()
        seeds = await self._seeds.read()
        return await self._exchange.join(seeds, _ENOUGH) > 0 or known

    async def missing(self) -> list[str]:
        """Returns the addresses of seeds that are not usable members."""
        addresses = list(self._addresses)
        if self._policies.watching():
            addresses += await self._seeds.read()
        members = self._exchange.membership.usable()
        known = {member.address for member in members}
        return [a for a in dict.fromkeys(addresses) if a not in known]
