"""Anti-entropy sync: two nodes exchange the entries in which they differ.

Each sends a digest per bucket, and the entries of the buckets whose digests
differ. Documents and crashes are synchronised at once; members as often as
`burdockfront.gossip_budget` allows.
"""

import asyncio
import contextlib
import math
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

from burdockfront import configuration as configuration_lib
from burdockfront import crashes as crashes_lib
from burdockfront import errors
from burdockfront import freshness
from burdockfront import gossip_budget
from burdockfront import membership as membership_lib
from burdockfront_node.controllers import peer_link

PUSH = "/peer/push"
SYNC = "/peer/sync"

_TIMEOUT_S = 3.0
# Pushes and probes spread a change within about a second.
_QUIET_S = 1.0
_MAX_UNEQUAL_S = 30.0


class AntiEntropySync:
    """Synchronises this node's tables with those of peers.

    Args:
        link: Sends messages to peers.
        membership: Members known to this node.
        configuration: Documents known to this node.
        crashes: Crashes of backend servers known to this node.
        ready: Set once this node knows the configuration.
        apply: Merges a message into the tables; called with the message and
            the address of its sender.
        budget: Byte budget for synchronising members.
        routes: Returns the version and age of this node's route table.

    Attributes:
        count: Number of syncs that this node has begun.
    """

    def __init__(
        self,
        link: peer_link.PeerLink,
        membership: membership_lib.Membership,
        configuration: configuration_lib.Configuration,
        crashes: crashes_lib.CrashTracker,
        ready: asyncio.Event,
        apply: Callable[[dict[str, Any], str], None],
        budget: gossip_budget.ByteBudget,
        routes: Callable[[], freshness.Claim],
    ):
        self._routes = routes
        self.count = 0
        self._link = link
        self._membership = membership
        self._configuration = configuration
        self._crashes = crashes
        self._ready = ready
        self._apply = apply
        self._budget = budget
        self._pacer = gossip_budget.SyncPacer(
            _QUIET_S, _MAX_UNEQUAL_S, time.monotonic()
        )

    def changed(self) -> None:
        """Records that the local member table has changed."""
        self._pacer.record_change(time.monotonic())

    async def after_probe(self, address: str, answer: dict[str, Any]) -> None:
        """Synchronises with a peer if its answer to a probe shows a difference.

        Raises:
            DispatchError: The peer did not answer, or sent a message that this
                release can't read.
        """
        with reading_answer(address):
            members = self._members_due(answer["md"])
            documents = answer["cd"] != self._configuration.table.digest()
            local = self._crashes.table.digest()
            crashes = answer.get("xd", local) != local
        if members or documents or crashes:
            await self.run(address, members)

    async def run(self, address: str, members: bool) -> bool:
        """Exchanges differing documents and crashes, and optionally members.

        Args:
            address: Address of the peer.
            members: Whether to synchronise members too.

        Returns:
            Whether the peer knows the configuration.

        Raises:
            DispatchError: The peer did not answer, or sent a message that this
                release can't read.
        """
        self.count += 1
        before_bytes = self._link.transferred_bytes
        answer = await self._link.ask(
            address, SYNC, self._bucket_digests(members), _TIMEOUT_S
        )
        with reading_answer(address):
            self._apply(answer, address)
            ready = bool(answer["ready"])
            outgoing = self._differing(answer)
        if outgoing["m"] or outgoing["c"] or outgoing["x"]:
            await self._link.ask(address, PUSH, outgoing, _TIMEOUT_S)
        if members:
            # This also counts other messages sent meanwhile, which only
            # delays the next sync of members.
            used_bytes = self._link.transferred_bytes - before_bytes
            self._budget.consume(used_bytes, time.monotonic())
        return ready

    def on_sync(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a peer's digests with the entries that differ."""
        return {
            **self._bucket_digests("mb" in message),
            **self._differing(message),
            "ready": self._ready.is_set(),
            **claim_to_json(self._routes()),
        }

    def _members_due(self, peer_digest: str) -> bool:
        if peer_digest == self._membership.table.digest():
            self._pacer.record_equal()
            return False
        now_s = time.monotonic()
        return self._budget.allows(now_s) and self._pacer.sync_due(now_s)

    def _bucket_digests(self, members: bool) -> dict[str, Any]:
        """Returns the local digests by bucket."""
        digests = {
            "cb": self._configuration.table.bucket_digests(),
            "xb": self._crashes.table.bucket_digests(),
        }
        if members:
            digests["mb"] = self._membership.table.bucket_digests()
        return digests

    def _differing(self, peer_digests: dict[str, Any]) -> dict[str, Any]:
        """Returns the local entries of buckets that differ from a peer's."""
        documents = self._configuration.table.differing(peer_digests["cb"])
        found: dict[str, Any] = {
            "m": [],
            "c": [entry.to_json() for entry in documents],
            "x": [],
        }
        if "xb" in peer_digests:
            crashes = self._crashes.table.differing(peer_digests["xb"])
            found["x"] = [entry.to_json() for entry in crashes]
        if "mb" in peer_digests:
            members = self._membership.table.differing(peer_digests["mb"])
            found["m"] = [entry.to_json() for entry in members]
        return found


def claim_to_json(claim: freshness.Claim) -> dict[str, Any]:
    """Returns the message fields for a claim about a route table."""
    return {"rv": claim.version, "ra": claim.age_s}


def claim_from_json(message: dict[str, Any]) -> freshness.Claim:
    """Reads a message's claim about its sender's route table.

    Raises:
        ValueError: The version is not a number, or the age is not a finite
            number of seconds from zero up.
    """
    # Nodes of an earlier release send no age.
    age_s = message.get("ra")
    if age_s is not None:
        age_s = float(age_s)
        if not 0.0 <= age_s < math.inf:
            raise ValueError(f"expected an age in seconds, got {age_s!r}")
    return freshness.Claim(int(message["rv"]), age_s)


@contextlib.contextmanager
def reading_answer(address: str) -> Iterator[None]:
    """Treats an answer that this release can't read like a missing answer.

    Args:
        address: Address of the peer that answered.

    Raises:
        DispatchError: The body of the `with` statement raised an error of the
            kinds that a message in an unknown form leads to.
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
            f"{address} sent an answer that this release can't read "
            f"({error!r}); all nodes must run compatible releases."
        ) from None
