"""Memory for the large body that a connection is reading.

`burdockfront.body_budget` decides which body gets room; here a body waits for
it, within a time limit. Its request is refused before anything was passed on if
there is none in time.
"""

import asyncio
from collections.abc import Callable

from burdockfront import body_budget
from burdockfront_node.internal import messages

# Factor by which the room of a body of unknown size grows.
_GROWTH = 2
# Interval at which a body that waits looks for others that have stalled.
_CHECK_S = 0.1


class LargeBody:
    """The room of one body, and its limit.

    Args:
        budget: The room of the port.
        head: The request without its body.
        limit_bytes: Limit on the body.
        max_wait_s: How long the body may wait for room, in all.
        on_room: Called when reading may go on.
        on_refused: Called with the refusal if it must not.
    """

    def __init__(
        self,
        budget: body_budget.BodyBudget,
        head: messages.Request,
        limit_bytes: int,
        max_wait_s: float,
        on_room: Callable[[], None],
        on_refused: Callable[[messages.NoRoomError], None],
    ):
        self._budget = budget
        self._loop = asyncio.get_running_loop()
        self._announced_bytes = int(head.header("content-length") or 0)
        self._limit_bytes = min(limit_bytes, budget.largest_bytes)
        self._left_s = max_wait_s
        self._on_room = on_room
        self._on_refused = on_refused
        self._waits_since_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._wanted_bytes = 0
        self._waited_s = 0.0
        self._reservation = budget.open(
            self._on_granted, self._refuse, self._loop.time()
        )

    @property
    def waits(self) -> bool:
        """Whether nothing more may be read for now."""
        return self._reservation.state is body_budget.State.WAITING

    def ask(self, received_bytes: int) -> int:
        """Asks for room for the whole body, or for a larger part of it.

        Args:
            received_bytes: Size of the body so far.

        Returns:
            The size at which to ask again.

        Raises:
            BodyTooLargeError: The body is larger than allowed.
        """
        if max(received_bytes, self._announced_bytes) > self._limit_bytes:
            raise messages.BodyTooLargeError(self._limit_bytes)
        wanted_bytes = self._announced_bytes
        if not wanted_bytes:
            wanted_bytes = max(
                _GROWTH * received_bytes, self._budget.first_bytes
            )
            wanted_bytes = min(wanted_bytes, self._limit_bytes)
        now_s = self._loop.time()
        waited = self.waits
        self._wanted_bytes = wanted_bytes
        self._budget.ask(self._reservation, wanted_bytes, now_s)
        if self.waits and not waited:
            self._waits_since_s = now_s
            self._schedule_check()
        return wanted_bytes

    def on_progress(self) -> None:
        """Records that bytes of the body have arrived."""
        self._reservation.progressed_s = self._loop.time()

    def hand_over_to(self, request: messages.Request) -> None:
        """Makes the whole request hold the room of its body.

        Raises:
            NoRoomError: There is no room for it.
        """
        if not self._budget.complete(self._reservation, len(request.body)):
            raise self._no_room()
        self._stop_timer()
        request.hold = BodyHold(self._budget, self._reservation)
        # The caller has waited for its whole request to be read.
        request.arrived_s -= self._waited_s

    def release(self) -> None:
        """Frees the room of a body that is not read further."""
        self._stop_timer()
        self._budget.release(self._reservation, self._loop.time())

    def _on_granted(self) -> None:
        self._end_wait()
        self._on_room()

    def _refuse(self) -> None:
        self._stop_timer()
        self._on_refused(self._no_room())

    def _no_room(self) -> messages.NoRoomError:
        now_s = self._loop.time()
        return messages.NoRoomError(
            self._budget.retry_after_s(self._wanted_bytes, now_s)
        )

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_later(
            min(self._left_s, _CHECK_S), self._check
        )

    def _check(self) -> None:
        """Refuses a body that has waited for too long."""
        self._end_wait()
        now_s = self._waits_since_s = self._loop.time()
        self._budget.give_up_stalled(now_s)
        if not self.waits:
            return
        if self._left_s <= 0.0:
            self._refuse()
        else:
            self._schedule_check()

    def _end_wait(self) -> None:
        self._stop_timer()
        waited_s = self._loop.time() - self._waits_since_s
        self._waited_s += waited_s
        self._left_s -= waited_s

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class BodyHold:
    """Keeps the room of a whole body until its last user has released it.

    Args:
        budget: The room of the port.
        reservation: The body's part of it.
    """

    def __init__(
        self,
        budget: body_budget.BodyBudget,
        reservation: body_budget.Reservation,
    ):
        self._budget = budget
        self._reservation = reservation

    def retain(self) -> None:
        """Adds a user of the body."""
        self._budget.retain(self._reservation)

    def release(self) -> None:
        """Removes a user of the body."""
        now_s = asyncio.get_running_loop().time()
        self._budget.release(self._reservation, now_s)
