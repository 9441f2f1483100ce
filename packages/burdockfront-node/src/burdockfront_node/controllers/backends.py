"""Publishes the state of the backend server in this node's member entry."""

import asyncio
import time

from burdockfront import timeline
from burdockfront_node import backend as backend_lib
from burdockfront_node import guard as guard_lib
from burdockfront_node.controllers import exchange as exchange_lib

_CHECK_S = 0.25


class Backends:
    """Announces the backend server beside this node to the peers.

    Args:
        guard: The guard of the backend server.
        exchange: Gossips with the peers.
        recorder: Records events.
        timeout_s: Time without an announcement after which the backend server
            is considered gone.
        check_s: Interval between checks of the timeout.
    """

    def __init__(
        self,
        guard: guard_lib.Guard,
        exchange: exchange_lib.Exchange,
        recorder: timeline.Recorder,
        timeout_s: float = backend_lib.SILENT_AFTER_S,
        check_s: float = _CHECK_S,
    ):
        self._timeout_s = timeout_s
        self._check_s = check_s
        self._guard = guard
        self._exchange = exchange
        self._recorder = recorder
        self._announced_at_s = 0.0

    def announce(self, announcement: backend_lib.Announcement) -> None:
        """Processes an announcement of the backend server."""
        self._announced_at_s = time.monotonic()
        before = self._guard.announcement
        self._guard.announce(announcement)
        if before is None or before.state != announcement.state:
            self._recorder.record(
                time.time(),
                f"backend.{announcement.state}",
                service=announcement.service,
                slots=announcement.slots,
            )
        self.publish()

    def on_new_incarnation(self, planned: bool) -> None:
        """Prepares the guard for another incarnation of the backend server.

        Args:
            planned: Whether the previous incarnation had announced that it
                leaves.
        """
        self._guard.begin_anew(planned)

    def publish(self) -> None:
        """Updates this node's member entry if the backend's state changed."""
        announced = self._guard.announcement
        service = announced.service if announced else ""
        slots = self._guard.slots
        draining = not self._guard.takes_work
        local = self._exchange.membership.local_member
        if (local.service, local.slots, local.draining) != (
            service,
            slots,
            draining,
        ):
            self._exchange.update_local_member(
                service=service, slots=slots, draining=draining
            )
        if announced and slots != local.slots:
            self._recorder.record(
                time.time(),
                "backend.slots",
                service=service,
                claimed=announced.slots,
                believed=slots,
            )

    async def watch_forever(self) -> None:
        """Withdraws a backend server whose announcements have stopped."""
        while True:
            await asyncio.sleep(self._check_s)
            # This also publishes a stall that began or ended.
            self.publish()
            silent_s = time.monotonic() - self._announced_at_s
            announced = self._guard.announcement
            if announced and silent_s > self._timeout_s:
                self._recorder.record(
                    time.time(),
                    "backend.silent",
                    service=announced.service,
                    silent_s=round(silent_s, 2),
                )
                self._guard.withdraw()
                self.publish()
