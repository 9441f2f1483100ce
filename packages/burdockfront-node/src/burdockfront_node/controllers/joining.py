"""Finds the other nodes: at the start, and again whenever some are missing.

A node learns members from seeds: addresses in its settings and in the
platform's service. Looking for them once is not enough. A node whose seeds
all start a moment after it (a data centre that comes back, a rack) would know
nobody and be known by nobody; two regions whose nodes were all replaced while
they had lost each other would both live on, each without the other. Symptom:
"no such service" at some nodes for ever, and idle backend servers.

So every node goes on looking for each seed that is no usable member, and
watchers look for the platform's seeds of all data centres as well. Two sides
that each have one seed of the other meet within one pause, and the exchange
does the rest. When all seeds are members, which is the usual case, this costs
nothing.
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
# One seed may be as new, or as cut off, as this node; three agree.
_ENOUGH = 3
_FIRST_PAUSE_S = 1.0
_MOST_PAUSE_S = 20.0


class Joining:
    """Joins the others and stays joined.

    Args:
        addresses: Seeds from the settings.
        needs_configuration: Whether operators' documents exist that must be
            known before this node serves anything.
        seeds: Seeds in the platform's service.
        policies: Reads the configuration.
        exchange: Exchanges everything with a peer.
        ready: Set once the configuration is known.
        recorder: Where events go.
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
        """Says ready, and from then on looks for missing seeds."""
        if not self._ready.is_set():
            await self._become_ready()
            # Peers may be behind a change that was accepted just now.
            await self._policies.read()
        pause_s = _FIRST_PAUSE_S
        while True:
            await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(_MOST_PAUSE_S, pause_s * 2)
            missing = await self.missing()
            if missing:
                await self._exchange.join(missing, len(missing))

    async def _become_ready(self) -> None:
        """Learns members and configuration, then says ready.

        A node that has heard neither the platform service nor a node that is
        ready does not know which configuration is in force. It serves
        nothing then: with its defaults, an accepted change would be undone.
        """
        while True:
            # Peers first: in an outage each question to the platform service
            # costs its timeout, while callers are refused.
            known = await self._exchange.join(self._near(), _ENOUGH) > 0
            if not known:
                known = await self._ask_platform()
            if known or not self._needs_configuration:
                self._ready.set()
                self._recorder.record(time.time(), "node.ready")
                _LOG.info("ready")
                return
            await asyncio.sleep(_START_RETRY_S)

    def _near(self) -> list[str]:
        """Returns whom to ask first: seeds, and peers that found us."""
        members = self._exchange.membership.usable()
        addresses = [*self._addresses, *(m.address for m in members)]
        return list(dict.fromkeys(addresses))

    async def _ask_platform(self) -> bool:
        """Reads documents and seeds; returns whether they are known now."""
        known = await self._policies.read()
        seeds = await self._seeds.read()
        return await self._exchange.join(seeds, _ENOUGH) > 0 or known

    async def missing(self) -> list[str]:
        """Returns seeds that are no usable members."""
        addresses = list(self._addresses)
        if self._policies.watching():
            addresses += await self._seeds.read()
        members = self._exchange.membership.usable()
        known = {member.address for member in members}
        return [a for a in dict.fromkeys(addresses) if a not in known]
