"""Spreads crashes of backend servers, and acquittals of requests, by gossip.

A crash is pushed at once to all nodes of the service, because repeats of the
request that caused it go there, and gossiped to all other nodes. An acquittal
is gossiped at the rate of membership updates: a crash leads to as many of them
as requests were at the server, and no guard waits for one, since a guard that
has answered a request knows that itself.
"""

import asyncio
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from burdockfront import crashes as crashes_lib
from burdockfront import members as members_lib
from burdockfront import membership as membership_lib
from burdockfront import tables
from burdockfront import timeline

# Nodes of its service to which a crash is pushed directly. The remaining nodes
# of a larger service receive it by gossip, a few hops later.
_MAX_DIRECT_PUSHES = 64
_MAX_CRASHES_PER_MESSAGE = 6

Push = Callable[[tables.Entry, list[members_lib.Member]], Awaitable[None]]


def _ignore(fingerprint: str) -> None:
    pass


class CrashGossip:
    """Crashes known to this node, and those still to be gossiped.

    Args:
        membership: Current view of the members.
        crash_sends: To how many peers each node sends a crash.
        acquittal_sends: To how many peers each node sends an acquittal.
        push: Pushes an entry to members.
        on_change: Called when there is an entry to gossip.
        recorder: Records events.

    Attributes:
        tracker: Crashes known to this node.
        on_quarantined: Called with the fingerprint of each request that
            becomes quarantined.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        crash_sends: int,
        acquittal_sends: int,
        push: Push,
        on_change: Callable[[], None],
        recorder: timeline.Recorder,
    ):
        self.tracker = crashes_lib.CrashTracker()
        self.on_quarantined: Callable[[str], None] = _ignore
        self._membership = membership
        self._push = push
        self._on_change = on_change
        self._recorder = recorder
        self._crash_queue = tables.BroadcastQueue(crash_sends)
        self._acquittal_queue = tables.BroadcastQueue(acquittal_sends)
        self._pushes: set[asyncio.Task[None]] = set()

    @property
    def urgent(self) -> bool:
        """Whether a crash is still to be gossiped."""
        return bool(self._crash_queue)

    def announce(self, entry: tables.Entry) -> None:
        """Adds a crash or an acquittal that was observed at this node.

        A crash is pushed directly to the nodes of the service, because the
        caller of the request that caused it retries within milliseconds.
        """
        if self.merge(entry) and not crashes_lib.is_acquittal(entry):
            push = asyncio.create_task(self._push_to_service(entry))
            self._pushes.add(push)
            push.add_done_callback(self._pushes.discard)

    def merge(self, entry: tables.Entry) -> bool:
        """Merges a crash or an acquittal, and gossips it if it is new.

        Returns:
            Whether it was new to this node.

        Raises:
            InvalidInputError: The entry is neither a crash nor an acquittal.
        """
        before = set(self.tracker.quarantined)
        if not self.tracker.merge(entry, time.monotonic(), time.time()):
            return False
        acquits = crashes_lib.is_acquittal(entry)
        queue = self._acquittal_queue if acquits else self._crash_queue
        queue.add(entry.key)
        self._on_change()
        for fingerprint in set(self.tracker.quarantined) - before:
            self._recorder.record(
                time.time(),
                "request.quarantined",
                fingerprint=fingerprint,
                last=entry.key,
            )
            self.on_quarantined(fingerprint)
        return True

    def piggyback(self, acquittals: int, peers: int) -> list[list[Any]]:
        """Returns the entries to piggyback on a message.

        Args:
            acquittals: Largest number of acquittals.
            peers: How many peers receive the message.
        """
        keys = [
            *self._crash_queue.take(_MAX_CRASHES_PER_MESSAGE, peers),
            *self._acquittal_queue.take(acquittals, peers),
        ]
        found = [self.tracker.table.get(key) for key in keys]
        return [entry.to_json() for entry in found if entry is not None]

    async def _push_to_service(self, entry: tables.Entry) -> None:
        local = self._membership.local_member
        same_service = [
            member
            for member in self._membership.usable()
            if member.service == local.service
            and member.node_id != local.node_id
        ]
        await self._push(entry, same_service[:_MAX_DIRECT_PUSHES])
