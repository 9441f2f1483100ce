"""Exchange of state with peers: probes, pushes and repair.

* Each period one member is probed. Probe and answer carry the digests of both
  tables and recent changes. Unequal digests lead to a repair.
* A change is pushed at once to a few peers, who push it on.
* A repair exchanges the entries of differing buckets in both directions.

The cost per node does not depend on the number of nodes; what grows with it
is only the number of changes, and those of members are paced (see
`burdockfront.exchange_pace`). Documents are repaired at once.
"""

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import orjson

from burdockfront import configuration as configuration_lib
from burdockfront import errors
from burdockfront import exchange_pace
from burdockfront import membership as membership_lib
from burdockfront import tables
from burdockfront import timeline
from burdockfront_node import settings as settings_lib
from burdockfront_node.controllers import peer_link

_LOG = logging.getLogger(__name__)

PROBE = "/peer/probe"
PROBE_FOR = "/peer/probe-for"
PUSH = "/peer/push"
SYNC = "/peer/sync"

_HELPERS = 2
_RIDERS = 6
_PUSHED_AT_ONCE = 24
# A member's news is told to the peers of one push, and three more times: by a
# second push if other news follows, or on probes.
_ON_PROBES = 3
_PUSH_DELAY_S = 0.01
# Members change in bunches when many are lost at once. A short wait puts a
# bunch into one message; six such hops are still within a second.
_MEMBERS_DELAY_S = 0.1
_PROBE_SHARE = 0.4
_MIN_PROBE_S = 0.25
_SYNC_TIMEOUT_S = 3.0
# Pushes and probes bring news of a change within about a second.
_QUIET_S = 1.0
_LONGEST_UNEQUAL_S = 30.0
_BURST_BYTES = 16_384


class Exchange:
    """Carries both tables between nodes.

    Args:
        membership: Members as this node knows them.
        configuration: Documents that this node knows.
        settings: Pace and fan-out.
        headers: Headers that authenticate this node to others.
        recorder: Where events go.
        ready: Whether this node knows the configuration.
        on_members: Called when beliefs about members changed.
        rng: Source of randomness.
        source_ip: Own IP number that connections come from, if it matters.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        configuration: configuration_lib.Configuration,
        settings: settings_lib.GossipSettings,
        headers: dict[str, str],
        recorder: timeline.Recorder,
        ready: asyncio.Event,
        on_members: Callable[[], None],
        rng: random.Random,
        source_ip: str | None = None,
    ):
        self.membership = membership
        self.configuration = configuration
        self._settings = settings
        self._recorder = recorder
        self._ready = ready
        self._on_members = on_members
        self._rng = rng
        self._link = peer_link.PeerLink(headers, source_ip)
        self._member_rumors = tables.Rumors(settings.fanout + _ON_PROBES)
        # Few, and in force within seconds: told three times as often.
        self._policy_rumors = tables.Rumors(settings.fanout * settings.fanout)
        self._news = asyncio.Event()
        rate = settings.members_bytes_per_s / 2
        self._push_budget = exchange_pace.ByteBudget(rate, _BURST_BYTES)
        self._repair_budget = exchange_pace.ByteBudget(rate, _BURST_BYTES)
        self._repair_pace = exchange_pace.RepairPace(
            _QUIET_S, _LONGEST_UNEQUAL_S, time.monotonic()
        )
        self.repairs = 0

    @property
    def link(self) -> peer_link.PeerLink:
        """The way to peers, with what it has cost so far."""
        return self._link

    # ---- local changes -------------------------------------------------

    def update_me(self, **changes: Any) -> None:
        """Changes this node's own entry and passes it on."""
        change = self.membership.update_me(time.monotonic(), **changes)
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
            why=rejected.why if rejected else "",
        )
        return True

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
            urgent = bool(self._policy_rumors)
            await asyncio.sleep(_PUSH_DELAY_S if urgent else _MEMBERS_DELAY_S)
            self._news.clear()
            await self._push_round()

    async def join(self, addresses: list[str], enough: int) -> int:
        """Exchanges everything with some nodes, drawn from `addresses`.

        In any order: a data centre that starts at once would fetch whole
        tables from the one seed that everybody's list begins with. And not
        with all of them: what a few don't know, the first probes repair.

        Args:
            addresses: Whom to ask.
            enough: Ends after so many that know the configuration.

        Returns:
            How many of those asked know the configuration.
        """
        ready = 0
        for address in self._rng.sample(addresses, len(addresses)):
            if address == self.membership.me.address:
                continue
            try:
                ready += await self._repair(address, members=True)
            except errors.DispatchError as error:
                _LOG.info("seed not reached", extra={"why": str(error)})
            if ready >= enough:
                break
        return ready

    async def close(self) -> None:
        """Sends what is still to be told, and closes connections."""
        if self._member_rumors or self._policy_rumors:
            await self._push_round()
        await self._link.close()

    # ---- requests of peers ---------------------------------------------

    def on_probe(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a probe."""
        self._take(message)
        return self._message()

    async def on_probe_for(self, message: dict[str, Any]) -> dict[str, Any]:
        """Probes a member on behalf of a peer who can't reach it."""
        try:
            await self._link.ask(
                message["address"], PROBE, self._message(), self._probe_s()
            )
        except errors.DispatchError:
            return {"ok": False}
        return {"ok": True}

    def on_push(self, message: dict[str, Any]) -> dict[str, Any]:
        """Takes pushed changes."""
        self._take(message)
        return {}

    def on_sync(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers with what the peer's buckets differ in."""
        members = self.membership.table
        documents = self.configuration.table
        answer = {
            "m": [],
            "c": [e.to_json() for e in documents.differing(message["cb"])],
            "cb": documents.bucket_digests(),
            "ready": self._ready.is_set(),
        }
        if "mb" in message:
            differing = members.differing(message["mb"])
            answer["m"] = [e.to_json() for e in differing]
            answer["mb"] = members.bucket_digests()
        return answer

    # ---- internals -----------------------------------------------------

    def _advance(self) -> None:
        for change in self.membership.advance(time.monotonic()):
            self._note_member(change)

    async def _probe(self, member: membership_lib.Member) -> None:
        for _ in range(2):
            # The second try uses a new connection: the first may have met
            # one that went silent, which says nothing about the member.
            if await self._probe_once(member.address):
                return
        if member.status is membership_lib.Status.DEAD:
            return
        if await self._reached_by_others(member):
            return
        change = self.membership.suspect(member.node_id, time.monotonic())
        if change is not None:
            self._note_member(change)

    async def _probe_once(self, address: str) -> bool:
        try:
            answer = await self._link.ask(
                address, PROBE, self._message(), self._probe_s()
            )
            with _understood(address):
                self._take(answer)
                members_due = self._members_due(answer["md"])
                ours = self.configuration.table.digest()
                documents_differ = answer["cd"] != ours
        except errors.DispatchError:
            return False
        if members_due or documents_differ:
            try:
                await self._repair(address, members_due)
            except errors.DispatchError:
                pass
        return True

    def _members_due(self, their_digest: str) -> bool:
        """Whether members are to be repaired with a peer now."""
        if their_digest == self.membership.table.digest():
            self._repair_pace.equal()
            return False
        now_s = time.monotonic()
        return self._repair_budget.open(now_s) and self._repair_pace.due(now_s)

    async def _reached_by_others(self, member: membership_lib.Member) -> bool:
        helpers = self.membership.helpers(member.node_id, _HELPERS)
        asked = [
            self._link.ask(
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
        peers = self.membership.peers(self._settings.fanout)
        riders = _PUSHED_AT_ONCE if self._push_budget.open(now_s) else 0
        message = self._message(riders, len(peers))
        if not message["m"] and not message["c"]:
            return
        if message["m"]:
            size_bytes = len(orjson.dumps(message)) * len(peers)
            self._push_budget.spend(size_bytes, now_s)
        await asyncio.gather(
            *(self._push_to(peer.address, message) for peer in peers)
        )

    async def _push_to(self, address: str, message: dict[str, Any]) -> None:
        try:
            await self._link.ask(address, PUSH, message, self._probe_s())
        except errors.DispatchError:
            # The digests repair what a push missed.
            pass

    async def _repair(self, address: str, members: bool) -> int:
        """Exchanges differing documents, and members if wanted."""
        self.repairs += 1
        before_bytes = self._link.moved_bytes
        table = self.membership.table
        documents = self.configuration.table
        question = {"cb": documents.bucket_digests()}
        if members:
            question["mb"] = table.bucket_digests()
        answer = await self._link.ask(address, SYNC, question, _SYNC_TIMEOUT_S)
        lacking: dict[str, Any] = {"m": [], "c": []}
        with _understood(address):
            self._take(answer)
            ready = bool(answer["ready"])
            differing = documents.differing(answer["cb"])
            lacking["c"] = [e.to_json() for e in differing]
            if members:
                differing = table.differing(answer["mb"])
                lacking["m"] = [e.to_json() for e in differing]
        if lacking["m"] or lacking["c"]:
            await self._link.ask(address, PUSH, lacking, _SYNC_TIMEOUT_S)
        if members:
            # Other messages may have passed meanwhile; to count them too
            # only makes the next repair come later.
            spent_bytes = self._link.moved_bytes - before_bytes
            self._repair_budget.spend(spent_bytes, time.monotonic())
        return 1 if ready else 0

    def _message(self, riders: int = _RIDERS, peers: int = 1) -> dict[str, Any]:
        """Returns digests and recent changes."""
        members = self.membership.table
        documents = self.configuration.table
        return {
            "md": members.digest(),
            "cd": documents.digest(),
            "m": _entries(members, self._member_rumors.take(riders, peers)),
            "c": _entries(documents, self._policy_rumors.take(_RIDERS, peers)),
            "t": self._recorder.clock.tick(time.time()),
        }

    def _take(self, message: dict[str, Any]) -> None:
        self._recorder.clock.observe(message.get("t", 0), time.time())
        for data in message["c"]:
            self.merge_policy(tables.entry_from_json(data))
        for data in message["m"]:
            entry = tables.entry_from_json(data)
            change = self.membership.merge(entry, time.monotonic())
            if change is not None:
                self._note_member(change)

    def _note_member(self, change: membership_lib.Change) -> None:
        member = change.member
        self._repair_pace.changed(time.monotonic())
        self._member_rumors.add(member.node_id)
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


@contextlib.contextmanager
def _understood(address: str) -> Iterator[None]:
    """Treats an answer that this release can't read as no answer.

    Raises:
        DispatchError: Instead of whatever reading it raised.
    """
    try:
        yield
    except (
        errors.InvalidInputError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.DispatchError(
            f"{address} answered what this release does not understand "
            f"({error!r}); all nodes must run compatible releases."
        ) from None


def _entries(table: tables.Table, keys: list[str]) -> list[list[Any]]:
    found = [table.get(key) for key in keys]
    return [entry.to_json() for entry in found if entry is not None]
