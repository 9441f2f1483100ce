"""Repairs: two nodes whose tables differ exchange what differs.

Both send a digest per bucket and the entries of buckets that differ. Documents
and crashes are repaired at once; members in the pace of
`burdockfront.exchange_pace`.
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
from burdockfront import exchange_pace
from burdockfront import freshness
from burdockfront import membership as membership_lib
from burdockfront_node.controllers import peer_link

PUSH = "/peer/push"
SYNC = "/peer/sync"

_TIMEOUT_S = 3.0
# Pushes and probes bring news of a change within about a second.
_QUIET_S = 1.0
_LONGEST_UNEQUAL_S = 30.0


class AntiEntropySync:
    """Repairs this node's tables with peers.

    Args:
        link: The way to peers.
        membership: Members as this node knows them.
        configuration: Documents that this node knows.
        crashes: Crashes of backend servers that this node knows of.
        ready: Whether this node knows the configuration.
        take: Takes the entries of a message into both tables, and the address
            of its sender.
        budget: What repairs of members may cost.
        routes: Returns what this node says of its table of routes.
    """

    def __init__(
        self,
        link: peer_link.PeerLink,
        membership: membership_lib.Membership,
        configuration: configuration_lib.Configuration,
        crashes: crashes_lib.CrashBook,
        ready: asyncio.Event,
        take: Callable[[dict[str, Any], str], None],
        budget: exchange_pace.ByteBudget,
        routes: Callable[[], freshness.Claim],
    ):
        self._routes = routes
        self.count = 0
        self._link = link
        self._membership = membership
        self._configuration = configuration
        self._crashes = crashes
        self._ready = ready
        self._take = take
        self._budget = budget
        self._pace = exchange_pace.RepairPace(
            _QUIET_S, _LONGEST_UNEQUAL_S, time.monotonic()
        )

    def changed(self) -> None:
        """Notes that our members changed."""
        self._pace.changed(time.monotonic())

    async def after_probe(self, address: str, answer: dict[str, Any]) -> None:
        """Repairs with a peer whose answer to a probe shows other digests.

        Raises:
            DispatchError: It did not answer, or not in a way we understand.
        """
        with understood(address):
            members = self._members_due(answer["md"])
            documents = answer["cd"] != self._configuration.table.digest()
            ours = self._crashes.table.digest()
            crashes = answer.get("xd", ours) != ours
        if members or documents or crashes:
            await self.run(address, members)

    async def run(self, address: str, members: bool) -> bool:
        """Exchanges differing documents, and members if wanted.

        Returns:
            Whether the peer knows the configuration.

        Raises:
            DispatchError: It did not answer, or not in a way we understand.
        """
        self.count += 1
        before_bytes = self._link.transferred_bytes
        answer = await self._link.ask(
            address, SYNC, self._question(members), _TIMEOUT_S
        )
        with understood(address):
            self._take(answer, address)
            ready = bool(answer["ready"])
            lacking = self._differing(answer)
        if lacking["m"] or lacking["c"] or lacking["x"]:
            await self._link.ask(address, PUSH, lacking, _TIMEOUT_S)
        if members:
            # Other messages may have passed meanwhile; to count them too
            # only makes the next repair come later.
            spent_bytes = self._link.transferred_bytes - before_bytes
            self._budget.spend(spent_bytes, time.monotonic())
        return ready

    def on_sync(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers with what the peer's buckets differ in."""
        return {
            **self._question("mb" in message),
            **self._differing(message),
            "ready": self._ready.is_set(),
            **claim_to_json(self._routes()),
        }

    def _members_due(self, their_digest: str) -> bool:
        if their_digest == self._membership.table.digest():
            self._pace.equal()
            return False
        now_s = time.monotonic()
        return self._budget.open(now_s) and self._pace.due(now_s)

    def _question(self, members: bool) -> dict[str, Any]:
        """Returns our digests by bucket."""
        question = {
            "cb": self._configuration.table.bucket_digests(),
            "xb": self._crashes.table.bucket_digests(),
        }
        if members:
            question["mb"] = self._membership.table.bucket_digests()
        return question

    def _differing(self, theirs: dict[str, Any]) -> dict[str, Any]:
        """Returns our entries of the buckets that a peer has otherwise."""
        documents = self._configuration.table.differing(theirs["cb"])
        found: dict[str, Any] = {
            "m": [],
            "c": [entry.to_json() for entry in documents],
            "x": [],
        }
        if "xb" in theirs:
            crashes = self._crashes.table.differing(theirs["xb"])
            found["x"] = [entry.to_json() for entry in crashes]
        if "mb" in theirs:
            members = self._membership.table.differing(theirs["mb"])
            found["m"] = [entry.to_json() for entry in members]
        return found


def claim_to_json(claim: freshness.Claim) -> dict[str, Any]:
    """Returns the fields of a message that say something of a table."""
    return {"rv": claim.version, "ra": claim.age_s}


def claim_from_json(message: dict[str, Any]) -> freshness.Claim:
    """Reads what a message says of its sender's table.

    Raises:
        ValueError: It is no number.
    """
    # Nodes of an earlier release say no age.
    age_s = message.get("ra")
    if age_s is not None:
        age_s = float(age_s)
        if not 0.0 <= age_s < math.inf:
            raise ValueError(f"expected an age in seconds, got {age_s!r}")
    return freshness.Claim(int(message["rv"]), age_s)


@contextlib.contextmanager
def understood(address: str) -> Iterator[None]:
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
