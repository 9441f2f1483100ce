"""Crashes of backend servers on their way through the exchange.

A crash is told to all nodes of the service at once, which is where repeats of
what crashed it go, and to the others like a change. An acquittal is told in the
pace of members: there are as many as requests were at the server, and nobody
waits for them, since a guard that has answered a request knows by itself.
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

# Of a larger service the others hear by pushes, a few hops later.
_MOST_OF_SERVICE = 64
_CRASHES_A_MESSAGE = 6

Push = Callable[[tables.Entry, list[members_lib.Member]], Awaitable[None]]


def _keep_nothing(fingerprint: str) -> None:
    pass


class CrashGossip:
    """What this node knows of crashes, and is still to pass on.

    Args:
        membership: Members as this node knows them.
        crash_sends: How many peers are told of a crash by each node.
        acquittal_sends: The same for an acquittal.
        push: Tells an entry to members.
        on_news: Called when there is something to pass on.
        recorder: Where events go.

    Attributes:
        tracker: Crashes that this node knows of.
        on_quarantined: Called with the fingerprint of each request that is
            quarantined from now on.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        crash_sends: int,
        acquittal_sends: int,
        push: Push,
        on_news: Callable[[], None],
        recorder: timeline.Recorder,
    ):
        self.tracker = crashes_lib.CrashBook()
        self.on_quarantined: Callable[[str], None] = _keep_nothing
        self._membership = membership
        self._push = push
        self._on_news = on_news
        self._recorder = recorder
        self._crash_rumors = tables.Rumors(crash_sends)
        self._acquittal_rumors = tables.Rumors(acquittal_sends)
        self._telling: set[asyncio.Task[None]] = set()

    @property
    def urgent(self) -> bool:
        """Whether a crash is still to be passed on."""
        return bool(self._crash_rumors)

    def announce(self, entry: tables.Entry) -> None:
        """Takes a crash or an acquittal from beside this node.

        The nodes of the service hear of a crash directly: the caller of what
        crashed the server asks again within milliseconds.
        """
        if self.merge(entry) and not crashes_lib.is_acquittal(entry):
            telling = asyncio.create_task(self._tell_service(entry))
            self._telling.add(telling)
            telling.add_done_callback(self._telling.discard)

    def merge(self, entry: tables.Entry) -> bool:
        """Takes a crash or an acquittal, and passes news on.

        Returns:
            Whether it was news.

        Raises:
            InvalidInputError: It is neither.
        """
        before = set(self.tracker.quarantined)
        if not self.tracker.merge(entry, time.monotonic(), time.time()):
            return False
        acquits = crashes_lib.is_acquittal(entry)
        rumors = self._acquittal_rumors if acquits else self._crash_rumors
        rumors.add(entry.key)
        self._on_news()
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
        """Returns what goes with a message.

        Args:
            acquittals: The most of them.
            peers: How many peers get the message.
        """
        keys = [
            *self._crash_rumors.take(_CRASHES_A_MESSAGE, peers),
            *self._acquittal_rumors.take(acquittals, peers),
        ]
        found = [self.tracker.table.get(key) for key in keys]
        return [entry.to_json() for entry in found if entry is not None]

    async def _tell_service(self, entry: tables.Entry) -> None:
        mine = self._membership.me
        same = [
            member
            for member in self._membership.usable()
            if member.service == mine.service and member.node_id != mine.node_id
        ]
        await self._push(entry, same[:_MOST_OF_SERVICE])
