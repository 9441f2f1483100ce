"""Exchange of state with peers: probes and pushes.

* Each period one member is probed. Probe and answer carry the digests of both
  tables and recent changes. Unequal digests lead to a repair (`repairs`).
* A change is pushed at once to a few peers, who push it on: to some of the own
  data centre, and now and then to one of another (`Membership.far_fanout`).
* Crashes of backend servers go with the messages as well (`crash_news`).
* Messages carry the version of the routes in force, and how long ago it was
  known to be the newest. Whoever hears of a newer one fetches the table from
  the sender, and tells others.

The cost per node does not depend on the number of nodes; what grows with it
is only the number of changes, and those of members are paced (see
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
from burdockfront_node.controllers import crash_news as crash_news_lib
from burdockfront_node.controllers import joins
from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import repairs as repairs_lib
from burdockfront_node.controllers import (
    route_announcements as route_announcements_lib,
)

PROBE = "/peer/probe"
PROBE_FOR = "/peer/probe-for"
PUSH = repairs_lib.PUSH
SYNC = repairs_lib.SYNC

_HELPERS = 2
_RIDERS = 6
_PUSHED_AT_ONCE = 48
# A member's news is told to the peers of one push, and twice more: by a second
# push if other news follows, or on probes. Repairs bring what is missed.
_ON_PROBES = 2
PUSH_DELAY_S = 0.01
# Members change in bunches when many are lost at once. A short wait puts a
# bunch into one message; six such hops are still within a second.
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
    """Carries both tables between nodes.

    Args:
        membership: Members as this node knows them.
        configuration: Documents that this node knows.
        settings: Pace and fan-out.
        link: The way to peers.
        recorder: Where events go.
        ready: Whether this node knows the configuration.
        on_members: Called when beliefs about members changed.
        rng: Source of randomness.
        routes: Returns what this node says of its table of routes.
        on_routes: Called with the address of a peer that was heard of, and
            what it says of its table.
        on_unanswered: Called when a member that was believed alive did not
            answer a probe.

    Attributes:
        crash_news: Crashes of backend servers, and who is told of them.
        routes: Returns what this node says of its table of routes.
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
        on_routes: Callable[[str, freshness.Claim], None] = _ignore,
        on_unanswered: Callable[[], None] = _do_nothing,
    ):
        self.link = link
        self.routes = routes
        self._on_routes = on_routes
        self._on_unanswered = on_unanswered
        self.membership = membership
        self.configuration = configuration
        self._settings = settings
        self._recorder = recorder
        self._on_members = on_members
        self._rng = rng
        self._member_rumors = tables.BroadcastQueue(
            settings.fanout + _ON_PROBES
        )
        # Few, and in force within seconds: told three times as often.
        self._policy_rumors = tables.BroadcastQueue(
            settings.fanout * settings.fanout
        )
        self._news = asyncio.Event()
        self.crash_news = crash_news_lib.CrashNews(
            membership,
            settings.fanout * settings.fanout,
            settings.fanout + _ON_PROBES,
            self._push_crash,
            self._news.set,
            recorder,
        )
        self._route_news = route_announcements_lib.RouteAnnouncer(
            membership, self._push_routes, settings.fanout, recorder, rng
        )
        rate = settings.members_bytes_per_s / 2
        self._push_budget = gossip_budget.ByteBudget(rate, _BURST_BYTES)
        self.repairs = repairs_lib.Repairs(
            self.link,
            membership,
            configuration,
            self.crash_news.book,
            ready,
            self._take,
            gossip_budget.ByteBudget(rate, _BURST_BYTES),
            routes,
        )
        self._joins = joins.Joins(
            self.repairs, membership.local_member.address, rng
        )

    # ---- local changes -------------------------------------------------

    def update_local_member(self, **changes: Any) -> None:
        """Changes this node's own entry and passes it on."""
        change = self.membership.update_local_member(
            time.monotonic(), **changes
        )
        self._note_member(change)

    def leave(self) -> None:
        """Tells the others that this node goes for good."""
        self._note_member(self.membership.leave(time.monotonic()))

    def merge_policy(self, entry: tables.Entry) -> bool:
        """Takes a document, from wherever it came, and passes news on."""
        if not self.configuration.merge(entry, time.time()):
            return False
        self._policy_rumors.add(entry.key)
        self._news.set()
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

    def tell_routes(self, first: bool) -> None:
        """Tells others at once which version of the routes is in force.

        Args:
            first: Nobody of the own data centre told this node.
        """
        self._route_news.announce(self.routes().version, first)

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
            await self._news.wait()
            urgent = bool(self._policy_rumors) or self.crash_news.urgent
            await asyncio.sleep(PUSH_DELAY_S if urgent else _MEMBERS_DELAY_S)
            self._news.clear()
            await self._push_round()

    async def join(
        self, addresses: list[str], enough: int, configured: bool = True
    ) -> int:
        """Exchanges everything with some nodes; see `joins.Joins.run`."""
        return await self._joins.run(addresses, enough, configured)

    async def close(self) -> None:
        """Tells some peers how this node left, and closes connections.

        Its own entry alone, and whatever the budget says: while much other
        news waits, the others would have to find out by failing probes.
        """
        peers = self._listeners()
        message = self._message(riders=0, peers=len(peers))
        message["m"] = [self.membership.local_member.to_entry().to_json()]
        await self._push(message, peers)
        await self.link.close()

    # ---- requests of peers ---------------------------------------------

    def on_probe(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a probe."""
        self._take(message, str(message.get("a", "")))
        return self._message()

    async def on_probe_for(self, message: dict[str, Any]) -> dict[str, Any]:
        """Probes a member on behalf of a peer who can't reach it."""
        try:
            await self.link.ask(
                message["address"], PROBE, self._message(), self._probe_s()
            )
        except errors.DispatchError:
            return {"ok": False}
        return {"ok": True}

    def on_push(self, message: dict[str, Any]) -> dict[str, Any]:
        """Takes pushed changes."""
        self._take(message, str(message.get("a", "")))
        return {}

    # ---- internals -----------------------------------------------------

    def _advance(self) -> None:
        for change in self.membership.advance(time.monotonic()):
            self._note_member(change)

    async def _probe(self, member: members_lib.Member) -> None:
        for _ in range(2):
            # The second try uses a new connection: the first may have met
            # one that went silent, which says nothing about the member.
            if await self._probe_once(member.address):
                self.membership.record_probe_answer(member)
                return
            if member.status is members_lib.Status.ALIVE:
                self._on_unanswered()
        if member.status is members_lib.Status.DEAD:
            return
        if await self._reached_by_others(member):
            return
        change = self.membership.suspect(member.node_id, time.monotonic())
        if change is not None:
            self._note_member(change)

    async def _probe_once(self, address: str) -> bool:
        try:
            answer = await self.link.ask(
                address, PROBE, self._message(), self._probe_s()
            )
            with repairs_lib.understood(address):
                self._take(answer, address)
        except errors.DispatchError:
            return False
        try:
            await self.repairs.after_probe(address, answer)
        except errors.DispatchError:
            # It is alive; a later probe repairs.
            pass
        return True

    async def _reached_by_others(self, member: members_lib.Member) -> bool:
        helpers = self.membership.indirect_probers(member.node_id, _HELPERS)
        asked = [
            self.link.ask(
                helper.address,
                PROBE_FOR,
                {"address": member.address},
                3 * self._probe_s(),
            )
            for helper in helpers
        ]
        answers = await asyncio.gather(*asked, return_exceptions=True)
        return any(isinstance(a, dict) and a.get("ok") for a in answers)

    async def _push_round(self) -> None:
        now_s = time.monotonic()
        peers = self._listeners()
        riders = _PUSHED_AT_ONCE if self._push_budget.allows(now_s) else 0
        message = self._message(riders, len(peers))
        if not (message["m"] or message["c"] or message["x"]):
            return
        before_bytes = self.link.sent_bytes
        await self._push(message, peers)
        if message["m"]:
            # Other messages may have passed meanwhile; to count them too only
            # makes the next push of members come later.
            spent_bytes = self.link.sent_bytes - before_bytes
            self._push_budget.consume(spent_bytes, time.monotonic())

    async def _push_crash(
        self, entry: tables.Entry, peers: list[members_lib.Member]
    ) -> None:
        message = self._message(riders=0)
        message["x"].append(entry.to_json())
        await self._push(message, peers)

    def _listeners(self) -> list[members_lib.Member]:
        """Returns who is told news now: near members, and few others."""
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
        """Tells a peer which version is in force, and little besides."""
        return await self._push_to(peer.address, self._message(riders=0))

    async def _push_to(self, address: str, message: dict[str, Any]) -> bool:
        """Pushes a message; returns whether it was answered."""
        try:
            await self.link.ask(address, PUSH, message, self._probe_s())
        except errors.DispatchError:
            # The digests repair what a push missed.
            return False
        return True

    def _message(self, riders: int = _RIDERS, peers: int = 1) -> dict[str, Any]:
        """Returns digests and recent changes."""
        members = self.membership.table
        documents = self.configuration.table
        return {
            "md": members.digest(),
            "cd": documents.digest(),
            "xd": self.crash_news.book.table.digest(),
            "m": _entries(members, self._member_rumors.take(riders, peers)),
            "c": _entries(documents, self._policy_rumors.take(_RIDERS, peers)),
            "x": self.crash_news.riders(riders, peers),
            "t": self._recorder.clock.tick(time.time()),
            **repairs_lib.claim_to_json(self.routes()),
            "a": self.membership.local_member.address,
        }

    def _take(self, message: dict[str, Any], sender: str = "") -> None:
        """Takes what a message says.

        Args:
            message: The message.
            sender: Address of the sender, if it is known.
        """
        self._recorder.clock.observe(message.get("t", 0), time.time())
        if sender and "rv" in message:
            self._on_routes(sender, repairs_lib.claim_from_json(message))
        for data in message["c"]:
            self.merge_policy(tables.entry_from_json(data))
        # Nodes of the release before know of no crashes.
        for data in message.get("x", ()):
            self.crash_news.take(tables.entry_from_json(data))
        for data in message["m"]:
            entry = tables.entry_from_json(data)
            change = self.membership.merge(entry, time.monotonic())
            if change is not None:
                self._note_member(change)

    def _note_member(self, change: membership_lib.Change) -> None:
        member = change.member
        self.repairs.changed()
        mine = member.node_id == self.membership.local_member.node_id
        self._member_rumors.add(member.node_id, first=mine)
        self._news.set()
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
