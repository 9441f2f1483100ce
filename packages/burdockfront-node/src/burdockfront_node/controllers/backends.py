"""The backend server's place in membership follows its announcements."""

import asyncio
import time

from burdockfront import timeline
from burdockfront_node import backend as backend_lib
from burdockfront_node import guard as guard_lib
from burdockfront_node.controllers import exchange as exchange_lib

_CHECK_S = 0.25


class Backends:
    """Tells peers of the backend server beside this node.

    Args:
        guard: The guard of the backend server.
        exchange: Tells peers.
        recorder: Where events go.
        silent_after_s: Without an announcement for so long it is gone.
        check_s: How often that is checked.
    """

    def __init__(
        self,
        guard: guard_lib.Guard,
        exchange: exchange_lib.Exchange,
        recorder: timeline.Recorder,
        silent_after_s: float = backend_lib.ANNOUNCEMENT_TIMEOUT_S,
        check_s: float = _CHECK_S,
    ):
        self._silent_after_s = silent_after_s
        self._check_s = check_s
        self._guard = guard
        self._exchange = exchange
        self._recorder = recorder
        self._heard_at_s = 0.0

    def announce(self, announcement: backend_lib.Announcement) -> None:
        """Takes an announcement."""
        self._heard_at_s = time.monotonic()
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

    def begin_anew(self, planned: bool) -> None:
        """Notes that what announces itself now is another incarnation.

        Args:
            planned: The one before had said that it leaves.
        """
        self._guard.on_restart(planned)

    def publish(self) -> None:
        """Updates this node's entry if it says anything else."""
        announced = self._guard.announcement
        service = announced.service if announced else ""
        slots = self._guard.slots
        draining = not self._guard.accepts_work
        me = self._exchange.membership.local_member
        if (me.service, me.slots, me.draining) != (service, slots, draining):
            self._exchange.update_local_member(
                service=service, slots=slots, draining=draining
            )
        if announced and slots != me.slots:
            self._recorder.record(
                time.time(),
                "backend.slots",
                service=service,
                claimed=announced.slots,
                believed=slots,
            )

    async def watch_forever(self) -> None:
        """Withdraws a backend server that no longer announces itself."""
        while True:
            await asyncio.sleep(self._check_s)
            # Also tells of a stall that began or ended.
            self.publish()
            silent_s = time.monotonic() - self._heard_at_s
            announced = self._guard.announcement
            if announced and silent_s > self._silent_after_s:
                self._recorder.record(
                    time.time(),
                    "backend.silent",
                    service=announced.service,
                    silent_s=round(silent_s, 2),
                )
                self._guard.clear_announcement()
                self.publish()
