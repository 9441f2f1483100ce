"""Decides whether a guard accepts new work, regardless of free slots.

A guard accepts none if there is no backend server, while the server or the node
is leaving, while the server is stalled, and before the node has the
configuration.
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
    """Settings of a guard that depend on the environment.

    Attributes:
        drain_grace_s: Time for which calls are still served after a drain has
            been announced, because routers may not know of it yet. Drains are
            guaranteed to take effect "after a few seconds".
        stall_floor_s: See `stall_detection.StallDetector`.
        moves_tickets: Whether a ticket of a leaving backend server may move
            to another owner. Where entries do not hand out their tickets, a
            plain refusal lets them go elsewhere with a new one.
        refusals_lower_slots: Whether a refusal by the backend server shows that
            it has fewer slots than it announces. It does not where the
            environment sets the number of slots: a server that refuses half of
            all requests, whatever its load, would be left with a single slot,
            and would regain one slot a second.
    """

    drain_grace_s: float = 2.0
    stall_floor_s: float = 0.5
    moves_tickets: bool = True
    refusals_lower_slots: bool = True


class Availability:
    """Whether the backend server of a guard is available.

    Args:
        ready: Set once this node has the configuration; before that, the
            downstream calls of its backend server would be refused.
        rules: Settings that depend on the environment.

    Attributes:
        announcement: The backend server's latest announcement; None without a
            server.
        stalls: Detects that the server has stopped answering.
    """

    def __init__(self, ready: asyncio.Event, rules: GuardRules):
        self.announcement: backend_lib.Announcement | None = None
        self.stalls = stall_detection.StallDetector(rules.stall_floor_s)
        self._ready = ready
        self._rules = rules
        # Monotonic times from which new work is refused. The server and the
        # node leave independently: revoking one leave must not revoke the
        # other.
        self._server_leaves_s = math.inf
        self._node_drains_s = math.inf

    @property
    def draining(self) -> bool:
        """Whether the node or its backend server is leaving."""
        leaving = self._server_leaves_s < math.inf
        return leaving or self._node_drains_s < math.inf

    @property
    def accepts_work(self) -> bool:
        """Whether routers should send requests here."""
        if self.draining or self.stalls.stalled:
            return False
        return self._ready.is_set()

    def announce(self, announcement: backend_lib.Announcement) -> None:
        """Processes an announcement of the backend server."""
        before = self.announcement
        self.announcement = announcement
        self.stalls.on_announcement(time.monotonic())
        if announcement.draining:
            self.on_server_leaving()
        elif before is None or _revokes_leave(announcement, before):
            self._server_leaves_s = math.inf

    def clear_announcement(self) -> None:
        """Records that the backend server has stopped announcing itself."""
        self.announcement = None

    def on_server_leaving(self) -> None:
        """Stops new work for this incarnation after the grace period."""
        leaves_s = time.monotonic() + self._rules.drain_grace_s
        self._server_leaves_s = min(self._server_leaves_s, leaves_s)

    def drain(self, grace_s: float | None = None) -> None:
        """Stops accepting new work at this node after a grace period.

        Args:
            grace_s: The grace period; by default that of the rules.
        """
        if grace_s is None:
            grace_s = self._rules.drain_grace_s
        drains_s = time.monotonic() + grace_s
        self._node_drains_s = min(self._node_drains_s, drains_s)

    def resume(self) -> None:
        """Accepts work again after an operator has revoked a drain."""
        self._node_drains_s = math.inf

    def reason_to_refuse(self, service: str) -> outcomes.Reason | None:
        """Returns why a call is refused regardless of free slots, or None.

        Args:
            service: The called service.
        """
        announced = self.announcement
        if announced is None or not self._ready.is_set():
            return outcomes.Reason.NO_BACKEND
        if announced.service != service:
            return outcomes.Reason.NO_SUCH_SERVICE
        if self.draining:
            refuses_s = min(self._server_leaves_s, self._node_drains_s)
            if time.monotonic() >= refuses_s:
                return outcomes.Reason.DRAINING
        if self.stalls.stalled:
            return outcomes.Reason.UNREACHABLE
        return None


def _revokes_leave(
    announcement: backend_lib.Announcement, before: backend_lib.Announcement
) -> bool:
    """Whether an announcement shows that the server is not leaving any more."""
    restarted = announcement.incarnation != before.incarnation
    restarted = restarted or announcement.state == "cold"
    return restarted or before.draining
