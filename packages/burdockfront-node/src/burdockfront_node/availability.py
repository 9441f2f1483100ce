"""Whether a guard takes new work, before any question of slots.

It does not without a backend server, while that one leaves or has stalled, and
before this node knows the configuration.
"""

import asyncio
import dataclasses
import math
import time

from burdockfront import outcomes
from burdockfront import stall_detection
from burdockfront_node import backend as backend_lib


@dataclasses.dataclass(frozen=True, slots=True)
class GuardRules:
    """What differs between the places in which a guard works.

    Attributes:
        drain_grace_s: After the announcement of a drain, calls of routers
            that have not heard of it yet are still served this long; the
            promise is "after a few seconds".
        stall_floor_s: See `stall_detection.StallDetector`.
        moves_tickets: Whether a ticket of a leaving backend server may move
            to another owner. Where entries keep their tickets to themselves,
            a plain refusal lets them go elsewhere with a new one.
        refusals_lower_slots: Whether a backend server that refuses has fewer
            slots than it says. Not where it is told by the place how many it
            has: one that refuses half of everything, whatever its load, would
            be left with a single slot, and get the others back one a second.
    """

    drain_grace_s: float = 2.0
    stall_floor_s: float = 0.5
    moves_tickets: bool = True
    refusals_lower_slots: bool = True


class Availability:
    """What a guard knows of its backend server's life.

    Args:
        ready: Whether this node knows the configuration; before, the deeper
            calls of its backend server would be refused.
        rules: What differs between places.

    Attributes:
        announcement: What the backend server said last; None without one.
        stalls: Finds out that it has stopped answering.
    """

    def __init__(self, ready: asyncio.Event, rules: GuardRules):
        self.announcement: backend_lib.Announcement | None = None
        self.stalls = stall_detection.StallDetector(rules.stall_floor_s)
        self._ready = ready
        self._rules = rules
        # Loop times from which new work is refused. That the server leaves says
        # nothing of the node, nor the other way round: what takes one back must
        # not take back both.
        self._server_leaves_s = math.inf
        self._node_drains_s = math.inf

    @property
    def draining(self) -> bool:
        """Whether it is leaving."""
        return min(self._server_leaves_s, self._node_drains_s) < math.inf

    @property
    def accepts_work(self) -> bool:
        """Whether routers should send anything here."""
        leaving = self.draining or self.stalls.stalled
        return self._ready.is_set() and not leaving

    def announce(self, announcement: backend_lib.Announcement) -> None:
        """Takes an announcement of the backend server."""
        before = self.announcement
        self.announcement = announcement
        self.stalls.on_announcement(time.monotonic())
        if announcement.draining:
            self.server_leaves()
        elif before is None or _takes_back(announcement, before):
            self._server_leaves_s = math.inf

    def clear_announcement(self) -> None:
        """Notes that the backend server has gone silent."""
        self.announcement = None

    def server_leaves(self) -> None:
        """Takes no new work for this start of the server, after a grace."""
        leaves_s = time.monotonic() + self._rules.drain_grace_s
        self._server_leaves_s = min(self._server_leaves_s, leaves_s)

    def drain(self, grace_s: float | None = None) -> None:
        """Takes no new work at this node from now on, after a short grace.

        Args:
            grace_s: The grace; by default that of the rules.
        """
        if grace_s is None:
            grace_s = self._rules.drain_grace_s
        drains_s = time.monotonic() + grace_s
        self._node_drains_s = min(self._node_drains_s, drains_s)

    def resume(self) -> None:
        """Takes work again after an operator's drain was taken back."""
        self._node_drains_s = math.inf

    def reason_to_refuse(self, service: str) -> outcomes.Reason | None:
        """Returns why a call is not taken, whatever slots are free.

        Args:
            service: What is called.
        """
        announced = self.announcement
        if announced is None or not self._ready.is_set():
            return outcomes.Reason.NO_BACKEND
        if announced.service != service:
            return outcomes.Reason.NO_SUCH_SERVICE
        refuses_s = min(self._server_leaves_s, self._node_drains_s)
        if time.monotonic() >= refuses_s:
            return outcomes.Reason.DRAINING
        if self.stalls.stalled:
            return outcomes.Reason.UNREACHABLE
        return None


def _takes_back(
    announcement: backend_lib.Announcement, before: backend_lib.Announcement
) -> bool:
    """Whether an announcement shows that the server no longer leaves."""
    began_anew = announcement.incarnation != before.incarnation
    began_anew = began_anew or announcement.state == "cold"
    return began_anew or before.draining
