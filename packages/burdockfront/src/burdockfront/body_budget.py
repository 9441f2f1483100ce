"""Shares out the memory that the request bodies of a port may take.

A limit on each body does not bound their sum: a few uploads at once, each well
within the limit, would fill the memory of a VM. The process would be killed,
and all that it serves would be lost. So each large body has a reservation, and
one for which there is no room waits, in order of arrival.

States of a reservation:

    READING --ask--> WAITING --room--> READING --complete--> COMPLETE --release
                        `--- given up: refused before anything was passed on

A body of known size reserves all of it before it is read, so that uploads are
read one after the other instead of all of them in part. Bodies of unknown size
grow in steps. If all room is taken by bodies that wait to grow, none of them
could go on; the newest is given up. So is a body that has stalled while others
wait.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable

DEFAULT_CAPACITY_BYTES = 64_000_000
# Limit on a single body, where the memory of the VM is not known.
DEFAULT_LARGEST_BYTES = 100_000_000
# Bodies up to this size have no reservation, so usual requests cost nothing.
UNRESERVED_BYTES = 65_536
# A body that receives nothing for this long has stalled. A lost packet is sent
# again sooner.
STALL_S = 0.5
# Limit on all bodies, as a multiple of the capacity, for those that were read
# before they could wait.
_MAX_OVERDRAFT = 2
# Bodies of unknown size for which there is room at once.
_UNSIZED_AT_ONCE = 4
_RATE_WINDOW_S = 5.0
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 5.0


class State(enum.Enum):
    """State of a reservation."""

    READING = "reading"
    WAITING = "waiting"
    COMPLETE = "complete"
    RELEASED = "released"


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """The room of one body.

    Attributes:
        on_room: Called when the reservation need not wait any longer.
        on_given_up: Called when it is given up to make room.
        state: Its state.
        held_bytes: Bytes that are reserved.
        wanted_bytes: Bytes to reserve in all, while it waits.
        progressed_s: Time at which bytes last arrived, or could.
        users: Number of users of the body; the last one frees the room.
    """

    on_room: Callable[[], None]
    on_given_up: Callable[[], None]
    state: State = State.READING
    held_bytes: int = 0
    wanted_bytes: int = 0
    progressed_s: float = 0.0
    users: int = 1


class BodyBudget:
    """The room for the bodies of one port.

    Args:
        capacity_bytes: Limit on all bodies together. A larger body is read
            while there is no other.
        largest_bytes: Limit on a single body.

    Attributes:
        largest_bytes: The argument of this name.
        first_bytes: Room that a body of unknown size asks for first. With less,
            many would be read in part, and most of them given up.
        used_bytes: Bytes that are reserved now.
        waited: Number of bodies so far that had to wait.
        given_up: Number of bodies so far that were given up.
    """

    def __init__(
        self,
        capacity_bytes: int = DEFAULT_CAPACITY_BYTES,
        largest_bytes: int = DEFAULT_LARGEST_BYTES,
    ):
        self.largest_bytes = largest_bytes
        self.first_bytes = capacity_bytes // _UNSIZED_AT_ONCE
        self.used_bytes = 0
        self.waited = 0
        self.given_up = 0
        self._capacity_bytes = capacity_bytes
        # In order of arrival.
        self._open: dict[Reservation, None] = {}
        self._waiting: dict[Reservation, None] = {}
        # Time and size of bodies that were released lately.
        self._released: collections.deque[tuple[float, int]]
        self._released = collections.deque()

    @property
    def waiting(self) -> int:
        """Number of bodies that wait for room."""
        return len(self._waiting)

    def open(
        self,
        on_room: Callable[[], None],
        on_given_up: Callable[[], None],
        now_s: float,
    ) -> Reservation:
        """Returns a new reservation without room."""
        reservation = Reservation(on_room, on_given_up, progressed_s=now_s)
        self._open[reservation] = None
        return reservation

    def ask(
        self, reservation: Reservation, total_bytes: int, now_s: float
    ) -> bool:
        """Asks for room for the whole body, or for a larger part of it.

        Returns:
            Whether there is room at once. Otherwise `on_room` or `on_given_up`
            is called, possibly before this method returns, unless the
            reservation is released first.
        """
        reservation.wanted_bytes = total_bytes
        if reservation.state is State.WAITING:
            # More of the body was received with the bytes that were read last.
            return False
        assert reservation.state is State.READING
        if self._may_go_first(reservation) and self._fits(reservation):
            self._grant(reservation, now_s)
            return True
        self.waited += 1
        reservation.state = State.WAITING
        self._waiting[reservation] = None
        self._admit(now_s)
        return False

    def complete(self, reservation: Reservation, size_bytes: int) -> bool:
        """Records that a body has been read, and its size.

        A body may end within the bytes with which it began to wait. As it has
        been read, it gets room beyond the capacity, within a limit.

        Returns:
            Whether the body may be kept; otherwise its request is refused.
        """
        used_bytes = self.used_bytes + size_bytes - reservation.held_bytes
        if reservation.state is State.WAITING:
            if used_bytes > _MAX_OVERDRAFT * self._capacity_bytes:
                return False
            del self._waiting[reservation]
        reservation.state = State.COMPLETE
        reservation.held_bytes = size_bytes
        self.used_bytes = used_bytes
        return True

    def retain(self, reservation: Reservation) -> None:
        """Adds a user of a body."""
        assert reservation.state is not State.RELEASED
        reservation.users += 1

    def release(self, reservation: Reservation, now_s: float) -> None:
        """Removes a user of a body; without users its room is free."""
        reservation.users -= 1
        if reservation.users or reservation.state is State.RELEASED:
            return
        if reservation.held_bytes:
            self._released.append((now_s, reservation.held_bytes))
        self._remove(reservation)
        self._admit(now_s)

    def give_up_stalled(self, now_s: float) -> None:
        """Gives up the bodies that have stalled, if others wait."""
        if not self._waiting:
            return
        stalled = [
            reservation
            for reservation in self._open
            if reservation.state is State.READING
            and reservation.held_bytes
            and now_s - reservation.progressed_s >= STALL_S
        ]
        for reservation in stalled:
            self._give_up(reservation)
        self._admit(now_s)

    def retry_after_s(self, size_bytes: int, now_s: float) -> float:
        """Returns when there may be room for a body, as room drains now."""
        while self._released and now_s - self._released[0][0] > _RATE_WINDOW_S:
            self._released.popleft()
        drained_bytes = sum(size for _, size in self._released)
        ahead_bytes = self.used_bytes + size_bytes - self._capacity_bytes
        ahead_bytes += sum(
            other.wanted_bytes - other.held_bytes for other in self._waiting
        )
        if ahead_bytes <= 0:
            return _MIN_RETRY_AFTER_S
        if not drained_bytes:
            return _MAX_RETRY_AFTER_S
        wait_s = ahead_bytes / drained_bytes * _RATE_WINDOW_S
        return min(max(wait_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)

    def _may_go_first(self, reservation: Reservation) -> bool:
        """Whether no reservation that waits goes before this one.

        A body that has been read in part goes before those that have not: room
        for it frees what it holds already.
        """
        if reservation.held_bytes:
            return not any(other.held_bytes for other in self._waiting)
        return not self._waiting

    def _fits(self, reservation: Reservation) -> bool:
        others_bytes = self.used_bytes - reservation.held_bytes
        if not others_bytes:
            return True
        total_bytes = others_bytes + reservation.wanted_bytes
        return total_bytes <= self._capacity_bytes

    def _grant(self, reservation: Reservation, now_s: float) -> None:
        self.used_bytes += reservation.wanted_bytes - reservation.held_bytes
        reservation.held_bytes = reservation.wanted_bytes
        reservation.progressed_s = now_s
        reservation.state = State.READING

    def _admit(self, now_s: float) -> None:
        """Grants room to those that wait.

        Of the bodies that have been read in part, each one that fits goes on,
        as its end frees what it holds; only then do others begin, in order.
        """
        self._resolve_standstill()
        in_part = [other for other in self._waiting if other.held_bytes]
        for reservation in in_part:
            self._admit_one(reservation, now_s)
        if any(other.held_bytes for other in self._waiting):
            return
        for reservation in list(self._waiting):
            if not self._admit_one(reservation, now_s):
                return

    def _admit_one(self, reservation: Reservation, now_s: float) -> bool:
        """Grants room to one that waits; returns whether it no longer waits."""
        if reservation not in self._waiting:
            # Admitted or released by a callback of one before it.
            return True
        if not self._fits(reservation):
            return False
        del self._waiting[reservation]
        self._grant(reservation, now_s)
        reservation.on_room()
        return True

    def _resolve_standstill(self) -> None:
        """Gives up the newest bodies while all that hold room wait for more."""
        while True:
            holders = [other for other in self._open if other.held_bytes]
            stuck = all(other.state is State.WAITING for other in holders)
            if not holders or not stuck:
                return
            if any(self._fits(other) for other in holders):
                return
            self._give_up(holders[-1])

    def _give_up(self, reservation: Reservation) -> None:
        self.given_up += 1
        self._remove(reservation)
        reservation.on_given_up()

    def _remove(self, reservation: Reservation) -> None:
        self.used_bytes -= reservation.held_bytes
        reservation.held_bytes = 0
        reservation.state = State.RELEASED
        self._open.pop(reservation, None)
        self._waiting.pop(reservation, None)
