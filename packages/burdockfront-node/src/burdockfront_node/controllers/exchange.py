"""Exchange of state with peers: probes, pushes and repair.

* Each period one member is probed. Probe and answer carry the digests of both
  tables and recent changes. Unequal digests lead to a repair.
* A change is pushed at once to a few peers, who push it on.
* A repair exchanges the entries of differing buckets in both directions.

The cost per node does not depend on the number of nodes; what grows with it
is only the number of changes.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Any

import orjson

from burdockfront import configuration as configuration_lib
from burdockfront import errors
from burdockfront import membership as membership_lib
from burdockfront import tables
from burdockfront import timeline
from burdockfront_client import peers as peers_lib
from burdockfront_node import settings as settings_lib

_LOG = logging.getLogger(__name__)

PROBE = "/peer/probe"
PROBE_FOR = "/peer/probe-for"
PUSH = "/peer/push"
SYNC = "/peer/sync"

_HELPERS = 2
_RIDERS = 6
_PUSH_DELAY_S = 0.01
_PROBE_SHARE = 0.4
_MIN_PROBE_S = 0.25
_SYNC_TIMEOUT_S = 3.0
_LIMIT_BYTES = 4_000_000


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
        self._headers = headers
        self._recorder = recorder
        self._ready = ready
        self._on_members = on_members
        self._rng = rng
        self._peers = peers_lib.Peers(source_ip)
        self._member_rumors = tables.Rumors(settings.fanout)
        self._policy_rumors = tables.Rumors(settings.fanout)
        self._news = asyncio.Event()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.messages = 0
        self.repairs = 0

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
            # Changes come in bunches; a moment's wait sends them together.
            await asyncio.sleep(_PUSH_DELAY_S)
            self._news.clear()
            await self._push_round()

    async def join(self, addresses: list[str]) -> int:
        """Exchanges everything with some nodes.

        Returns:
            How many of them know the configuration.
        """
        ready = 0
        for address in addresses:
            if address == self.membership.me.address:
                continue
            try:
                ready += await self._repair(address)
            except errors.DispatchError as error:
                _LOG.info("seed not reached", extra={"why": str(error)})
        return ready

    async def close(self) -> None:
        """Sends what is still to be told, and closes connections."""
        if self._member_rumors or self._policy_rumors:
            await self._push_round()
        await self._peers.close()

    # ---- requests of peers ---------------------------------------------

    def on_probe(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a probe."""
        self._take(message)
        return self._message()

    async def on_probe_for(self, message: dict[str, Any]) -> dict[str, Any]:
        """Probes a member on behalf of a peer who can't reach it."""
        try:
            await self._ask(
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
            "m": [e.to_json() for e in members.differing(message["mb"])],
            "c": [e.to_json() for e in documents.differing(message["cb"])],
            "mb": members.bucket_digests(),
            "cb": documents.bucket_digests(),
            "ready": self._ready.is_set(),
        }
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
            answer = await self._ask(
                address, PROBE, self._message(), self._probe_s()
            )
        except errors.DispatchError:
            return False
        self._take(answer)
        if self._differs(answer):
            try:
                await self._repair(address)
            except errors.DispatchError:
                pass
        return True

    async def _reached_by_others(self, member: membership_lib.Member) -> bool:
        helpers = self.membership.helpers(member.node_id, _HELPERS)
        asked = [
            self._ask(
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
        message = self._message()
        if not message["m"] and not message["c"]:
            return
        peers = self.membership.peers(self._settings.fanout)
        await asyncio.gather(
            *(self._push_to(peer.address, message) for peer in peers)
        )

    async def _push_to(self, address: str, message: dict[str, Any]) -> None:
        try:
            await self._ask(address, PUSH, message, self._probe_s())
        except errors.DispatchError:
            # The digests repair what a push missed.
            pass

    async def _repair(self, address: str) -> int:
        self.repairs += 1
        members = self.membership.table
        documents = self.configuration.table
        question = {
            "mb": members.bucket_digests(),
            "cb": documents.bucket_digests(),
        }
        answer = await self._ask(address, SYNC, question, _SYNC_TIMEOUT_S)
        self._take(answer)
        lacking = {
            "m": [e.to_json() for e in members.differing(answer["mb"])],
            "c": [e.to_json() for e in documents.differing(answer["cb"])],
        }
        if lacking["m"] or lacking["c"]:
            await self._ask(address, PUSH, lacking, _SYNC_TIMEOUT_S)
        return 1 if answer["ready"] else 0

    def _message(self) -> dict[str, Any]:
        """Returns digests and recent changes."""
        members = self.membership.table
        documents = self.configuration.table
        return {
            "md": members.digest(),
            "cd": documents.digest(),
            "m": _entries(members, self._member_rumors.take(_RIDERS)),
            "c": _entries(documents, self._policy_rumors.take(_RIDERS)),
            "t": self._recorder.clock.tick(time.time()),
        }

    def _differs(self, message: dict[str, Any]) -> bool:
        return (
            message["md"] != self.membership.table.digest()
            or message["cd"] != self.configuration.table.digest()
        )

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

    async def _ask(
        self,
        address: str,
        path: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        body = orjson.dumps(message)
        self.messages += 1
        self.sent_bytes += len(body)
        reply = await self._peers.request(
            address, "POST", path, self._headers, body, timeout_s, _LIMIT_BYTES
        )
        self.received_bytes += len(reply.body)
        if reply.status != 200:
            raise errors.DispatchError(
                f"{address} answered {reply.status} to {path}; check that "
                f"both nodes share the same peer_keys."
            )
        data: dict[str, Any] = orjson.loads(reply.body)
        return data


def _entries(table: tables.Table, keys: list[str]) -> list[list[Any]]:
    found = [table.get(key) for key in keys]
    return [entry.to_json() for entry in found if entry is not None]
