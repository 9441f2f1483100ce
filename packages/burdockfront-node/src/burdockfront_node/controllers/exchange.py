"""Gossip with peers: probes, pushes and anti-entropy.

* Each period one member is probed. Probe and answer carry the digests of the
  tables and piggybacked updates. Unequal digests lead to a sync of the tables
  (`anti_entropy`).
* A change is pushed at once to a few peers, which push it on: to some of the
  same data centre, and occasionally to one of another data centre
  (`Membership.far_fanout`).
* Crashes of backend servers are piggybacked too (`crash_gossip`).
* Messages carry the version of the active route table, and how long ago it was
  known to be the newest. A node that learns of a newer one fetches the table
  from the sender and notifies its peers.

The cost per node does not depend on the number of nodes. Only the number of
changes grows with it, and changes of members have a byte budget (see
`burdockfront.gossip_budget`).
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from burdockfront import configuration as configuration_lib
from burdockfront import errors
from burdockfront import freshness
from burdockfront import gossip_budget
from burdockfront import members as members_lib
from burdockfront import membership as membership_lib
from burdockfront import tables
from burdockfront import timeline
from burdockfront_node import settings as settings_lib
from burdockfront_node.controllers import anti_entropy as anti_entropy_lib
from burdockfront_node.controllers import crash_gossip as crash_gossip_lib
from burdockfront_node.controllers import joins
from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import route_news as route_news_lib

PROBE = "/peer/probe"
PROBE_FOR = "/peer/probe-for"
PUSH = anti_entropy_lib.PUSH
SYNC = anti_entropy_lib.SYNC

_INDIRECT_PROBERS = 2
# Largest number of updates of each kind that are piggybacked on a message, and
# of members in a push.
_MAX_PIGGYBACKED = 6
_MAX_PUSHED = 48
# A member's change is sent to the peers of one push, and two more times: by a
# second push if other changes follow, or on probes. Anti-entropy delivers what
# these miss.
_EXTRA_SENDS = 2
PUSH_DELAY_S = 0.01
# When many members are lost at once, their changes come close together. A short
# delay batches them into one message; six hops with it still take less than a
# second.
_MEMBERS_DELAY_S = 0.1
_PROBE_SHARE = 0.4
_MIN_PROBE_S = 0.25
_BURST_BYTES = 32_768


def _no_routes() -> freshness.Claim:
    return freshness.Claim(-1)


def _ignore(address: str, claim: freshness.Claim) -> None:
    pass


def _do_nothing() -> None:
    pass


class Exchange:
    """Gossips members, documents and crashes with the peers.

    Args:
        membership: Members known to this node.
        configuration: Documents known to this node.
        settings: Probe period, fan-out and byte budget.
        link: Sends messages to peers.
        recorder: Records events.
        ready: Set once this node knows the configuration.
        on_members: Called when the view of the members has changed.
        rng: Source of randomness.
        routes: Returns the version and age of this node's route table.
        on_route_claim: Called for each message from a peer that claims a
            version of the route table, with the peer's address and the claim.
        on_probe_failure: Called when a member that was considered alive did not
            answer a probe.

    Attributes:
        anti_entropy: Synchronises tables with a peer.
        configuration: Documents known to this node.
        crash_gossip: Crashes of backend servers, and their gossip.
        link: Sends messages to peers.
        membership: Members known to this node.
        routes: Returns the version and age of this node's route table.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        configuration: configuration_lib.Configuration,
        settings: settings_lib.GossipSettings,
        link: peer_link.PeerLink,
        recorder: timeline.Recorder,
        ready: asyncio.Event,
        on_members: Callable[[], None],
        rng: random.Random,
        routes: Callable[[], freshness.Claim] = _no_routes,
        on_route_claim: Callable[[str, freshness.Claim], None] = _ignore,
        on_probe_failure: Callable[[], None] = _do_nothing,
    ):
        self.link = link
        self.routes = routes
        self._on_route_claim = on_route_claim
        self._on_probe_failure = on_probe_failure
        self.membership = membership
        self.configuration = configuration
        self._settings = settings
        self._recorder = recorder
        self._on_members = on_members
        self._rng = rng
        self._member_queue = tables.BroadcastQueue(
            settings.fanout + _EXTRA_SENDS
        )
        # Policies are few and must be active within seconds, so their changes
        # are sent three times as often at the default fan-out of three.
        self._policy_queue = tables.BroadcastQueue(
            settings.fanout * settings.fanout
        )
        self._has_changes = asyncio.Event()
        self.crash_gossip = crash_gossip_lib.CrashGossip(
            membership,
            settings.fanout * settings.fanout,
            settings.fanout + _EXTRA_SENDS,
            self._push_crash,
            self._has_changes.set,
            recorder,
        )
        self._route_news = route_news_lib.RouteNews(
            membership, self._push_routes, settings.fanout, recorder, rng
        )
        rate = settings.members_bytes_per_s / 2
        self._push_budget = gossip_budget.ByteBudget(rate, _BURST_BYTES)
        self.anti_entropy = anti_entropy_lib.AntiEntropySync(
            self.link,
            membership,
            configuration,
            self.crash_gossip.tracker,
            ready,
            self._apply,
            gossip_budget.ByteBudget(rate, _BURST_BYTES),
            routes,
        )
        self._joiner = joins.Joiner(
            self.anti_entropy, membership.local_member.address, rng
        )

    # ---- local changes -------------------------------------------------

    def update_local_member(self, **changes: Any) -> None:
        """Changes this node's own entry and gossips it."""
        change = self.membership.update_local_member(
            time.monotonic(), **changes
        )
        self._on_member_change(change)

    def leave(self) -> None:
        """Announces that this node leaves for good."""
        self._on_member_change(self.membership.leave(time.monotonic()))

    def merge_policy(self, entry: tables.Entry) -> bool:
        """Merges a document from any source, and gossips it if it is new.

        Returns:
            Whether the document was newer than the known one.
        """
        if not self.configuration.merge(entry, time.time()):
            return False
        self._policy_queue.add(entry.key)
        self._has_changes.set()
        rejected = self.configuration.rejected().get(entry.key)
        kind = "policy.rejected" if rejected else "policy.in-force"
        self._recorder.record(
            time.time(),
            kind,
            document=entry.key,
            revision=entry.version[0],
            change_id=str(entry.value.get("change_id", "")),
            why=rejected.reason if rejected else "",
        )
        return True

    def notify_routes(self, first: bool) -> None:
        """Announces at once which version of the route table is active here.

        Args:
            first: Whether no node of the same data centre sent this version.
        """
        self._route_news.tell(self.routes().version, first)

    # ---- tasks ---------------------------------------------------------

    async def probe_forever(self) -> None:
        """Probes one member per period."""
        while True:
            jitter = self._rng.uniform(0.9, 1.1)
            await asyncio.sleep(self._settings.period_s * jitter)
            self._advance()
            member = self.membership.next_probe()
            if member is not None:
                await self._probe(member)

    async def push_forever(self) -> None:
        """Pushes changes to a few peers as soon as there are any."""
        while True:
            await self._has_changes.wait()
            urgent = bool(self._policy_queue) or self.crash_gossip.urgent
            await asyncio.sleep(PUSH_DELAY_S if urgent else _MEMBERS_DELAY_S)
            self._has_changes.clear()
            await self._push_round()

    async def join(
        self, addresses: list[str], enough: int, configured: bool = True
    ) -> int:
        """Synchronises all tables with some nodes; see `joins.Joiner.run`."""
        return await self._joiner.run(addresses, enough, configured)

    async def close(self) -> None:
        """Pushes this node's own entry to some peers and closes connections.

        The message holds no other member and ignores the byte budget. While
        many other changes are queued, the entry would wait behind them, and
        the peers would detect the departure only by failing probes.
        """
        peers = self._push_targets()
        message = self._message(piggybacked=0, peers=len(peers))
        message["m"] = [self.membership.local_member.to_entry().to_json()]
        await self._push(message, peers)
        await self.link.close()

    # ---- requests of peers ---------------------------------------------

    def on_probe(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a probe."""
        self._apply(message, str(message.get("a", "")))
        return self._message()

    async def on_probe_for(self, message: dict[str, Any]) -> dict[str, Any]:
        """Probes a member on behalf of a peer that can't reach it.

        Returns:
            Whether the member answered, as `ok`.
        """
        try:
            await self.link.ask(
                message["address"], PROBE, self._message(), self._probe_s()
            )
        except errors.DispatchError:
            return {"ok": False}
        return {"ok": True}

    def on_push(self, message: dict[str, Any]) -> dict[str, Any]:
        """Merges pushed changes."""
        self._apply(message, str(message.get("a", "")))
        return {}

    # ---- internals -----------------------------------------------------

    def _advance(self) -> None:
        for change in self.membership.advance(time.monotonic()):
            self._on_member_change(change)

    async def _probe(self, member: members_lib.Member) -> None:
        for _ in range(2):
            # The second attempt uses a new connection: the first one may have
            # used a stale connection, which says nothing about the member.
            if await self._probe_once(member.address):
                self.membership.record_probe_answer(member)
                return
            if member.status is members_lib.Status.ALIVE:
                self._on_probe_failure()
        if member.status is members_lib.Status.DEAD:
            return
        if await self._probe_indirectly(member):
            return
        change = self.membership.suspect(member.node_id, time.monotonic())
        if change is not None:
            self._on_member_change(change)

    async def _probe_once(self, address: str) -> bool:
        try:
            answer = await self.link.ask(
                address, PROBE, self._message(), self._probe_s()
            )
            with anti_entropy_lib.reading_answer(address):
                self._apply(answer, address)
        except errors.DispatchError:
            return False
        try:
            await self.anti_entropy.after_probe(address, answer)
        except errors.DispatchError:
            # The member is alive; a later probe leads to another sync.
            pass
        return True

    async def _probe_indirectly(self, member: members_lib.Member) -> bool:
        probers = self.membership.indirect_probers(
            member.node_id, _INDIRECT_PROBERS
        )
        probes = [
            self.link.ask(
                prober.address,
                PROBE_FOR,
                {"address": member.address},
                3 * self._probe_s(),
            )
            for prober in probers
        ]
        answers = await asyncio.gather(*probes, return_exceptions=True)
        return any(isinstance(a, dict) and a.get("ok") for a in answers)

    async def _push_round(self) -> None:
        now_s = time.monotonic()
        peers = self._push_targets()
        members = _MAX_PUSHED if self._push_budget.allows(now_s) else 0
        message = self._message(members, len(peers))
        if not (message["m"] or message["c"] or message["x"]):
            return
        before_bytes = self.link.sent_bytes
        await self._push(message, peers)
        if message["m"]:
            # This also counts other messages sent meanwhile, which only
            # delays the next push of members.
            used_bytes = self.link.sent_bytes - before_bytes
            self._push_budget.consume(used_bytes, time.monotonic())

    async def _push_crash(
        self, entry: tables.Entry, peers: list[members_lib.Member]
    ) -> None:
        message = self._message(piggybacked=0)
        message["x"].append(entry.to_json())
        await self._push(message, peers)

    def _push_targets(self) -> list[members_lib.Member]:
        """Returns the members to push to: near ones, and a few far ones."""
        fanout = self._settings.fanout
        near = self.membership.near_peers(fanout)
        if not near:
            return self.membership.far_peers(fanout)
        share = min(float(fanout), self.membership.far_fanout())
        return near + self.membership.far_peers(int(share + self._rng.random()))

    async def _push(
        self, message: dict[str, Any], peers: list[members_lib.Member]
    ) -> None:
        await asyncio.gather(
            *(self._push_to(peer.address, message) for peer in peers)
        )

    async def _push_routes(self, peer: members_lib.Member) -> bool:
        """Announces the active route table to a peer, without any members.

        Returns:
            Whether the peer answered.
        """
        return await self._push_to(peer.address, self._message(piggybacked=0))

    async def _push_to(self, address: str, message: dict[str, Any]) -> bool:
        """Pushes a message; returns whether it was answered."""
        try:
            await self.link.ask(address, PUSH, message, self._probe_s())
        except errors.DispatchError:
            # The digests reveal what this push failed to deliver.
            return False
        return True

    def _message(
        self, piggybacked: int = _MAX_PIGGYBACKED, peers: int = 1
    ) -> dict[str, Any]:
        """Returns a message with digests and recent changes.

        Args:
            piggybacked: Largest number of members, and of acquittals.
            peers: How many peers receive the message.
        """
        members = self.membership.table
        documents = self.configuration.table
        return {
            "md": members.digest(),
            "cd": documents.digest(),
            "xd": self.crash_gossip.tracker.table.digest(),
            "m": _entries(members, self._member_queue.take(piggybacked, peers)),
            "c": _entries(
                documents, self._policy_queue.take(_MAX_PIGGYBACKED, peers)
            ),
            "x": self.crash_gossip.piggyback(piggybacked, peers),
            "t": self._recorder.clock.tick(time.time()),
            **anti_entropy_lib.claim_to_json(self.routes()),
            "a": self.membership.local_member.address,
        }

    def _apply(self, message: dict[str, Any], sender: str = "") -> None:
        """Merges the entries of a message and reads its sender's route claim.

        Args:
            message: A message of a peer.
            sender: Address of the sender; empty if it is not known.
        """
        self._recorder.clock.observe(message.get("t", 0), time.time())
        if sender and "rv" in message:
            self._on_route_claim(
                sender, anti_entropy_lib.claim_from_json(message)
            )
        for data in message["c"]:
            self.merge_policy(tables.entry_from_json(data))
        # Nodes of the previous release send no crashes.
        for data in message.get("x", ()):
            self.crash_gossip.merge(tables.entry_from_json(data))
        for data in message["m"]:
            entry = tables.entry_from_json(data)
            change = self.membership.merge(entry, time.monotonic())
            if change is not None:
                self._on_member_change(change)

    def _on_member_change(self, change: membership_lib.Change) -> None:
        member = change.member
        self.anti_entropy.changed()
        is_local = member.node_id == self.membership.local_member.node_id
        self._member_queue.add(member.node_id, first=is_local)
        self._has_changes.set()
        self._on_members()
        self._recorder.record(
            time.time(),
            f"member.{member.status.value}",
            member=member.node_id,
            before=change.before.value if change.before else "",
            incarnation=member.incarnation,
            service=member.service,
            draining=member.draining,
        )

    def _probe_s(self) -> float:
        return max(_MIN_PROBE_S, self._settings.period_s * _PROBE_SHARE)


def _entries(table: tables.Table, keys: list[str]) -> list[list[Any]]:
    found = [table.get(key) for key in keys]
    return [entry.to_json() for entry in found if entry is not None]
