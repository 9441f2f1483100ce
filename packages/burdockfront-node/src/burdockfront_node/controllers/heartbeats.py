"""Takes the heartbeats of the backend server beside this node."""

import math
import time

from burdockfront import incarnations as incarnations_lib
from burdockfront import routes as routes_lib
from burdockfront import timeline
from burdockfront_node import backend as backend_lib
from burdockfront_node.controllers import backends as backends_lib

# Heartbeats come about every 1.5 s and may be seconds late. A server that has
# crashed is found out sooner, because it refuses connections.
SILENT_AFTER_S = 7.0
CHECK_S = 1.0
# Some backend servers slow down for all their requests when nearly full; the
# last few slots then cost more than they bring.
_USABLE_SLOTS = 0.95
# How much they slow down then, about. A server that leaves one of its three
# slots idle does two thirds of what it could; slowed down, it does three
# quarters.
_FULL_USE_SLOWDOWN = 1.3


class Heartbeats:
    """Turns heartbeats into announcements.

    What is acknowledged here binds this node at once, whatever the store and
    the peers know: the guard asks the same incarnations before each request
    that it hands over.

    Args:
        address: Where the backend server takes requests.
        incarnations: Which incarnation is in service.
        backends: Tells the guard and the peers.
        recorder: Where events go.
        service: Service that the settings name for this VM.
        book: The table in force, which names all others.
    """

    def __init__(
        self,
        address: str,
        incarnations: incarnations_lib.IncarnationTracker,
        backends: backends_lib.Backends,
        recorder: timeline.Recorder,
        service: str,
        book: routes_lib.RouteResolver,
    ):
        self._address = address
        self._incarnations = incarnations
        self._backends = backends
        self._recorder = recorder
        self._book = book
        self._service = service
        self._told: incarnations_lib.Heartbeat | None = None

    def on_heartbeat(self, beat: incarnations_lib.Heartbeat) -> None:
        """Takes a heartbeat; one of a service nobody knows is left out."""
        if not self._knows(beat.service):
            self._record(
                "backend.unknown-service", beat.instance_id, beat.sequence
            )
        elif self._incarnations.observe(beat):
            self._announce()
        else:
            self._record("backend.ignored", beat.instance_id, beat.sequence)

    def leave(self, instance_id: str) -> None:
        """Takes the end of an incarnation."""
        if self._incarnations.leave(instance_id):
            self._announce()
        else:
            self._record("backend.left", instance_id, -1)

    def said_leaving(self, incarnation: incarnations_lib.Incarnation) -> None:
        """Takes that a start said on an answer that it leaves."""
        if self._incarnations.leave_incarnation(incarnation):
            self._announce()

    def _knows(self, service: str) -> bool:
        """Whether a service is this VM's own, or one that operators named."""
        return service == self._service or self._book.knows_service(service)

    def _announce(self) -> None:
        current = self._incarnations.current
        assert current is not None
        told = self._told
        anew = (
            told is None
            or told.instance_id != current.instance_id
            or told.born_ms not in (None, current.born_ms)
        )
        self._told = current
        if anew:
            self._backends.begin_anew(told is None or told.leaving)
        if anew or told is None or told.leaving != current.leaving:
            kind = (
                "backend.leaving" if current.leaving else "backend.in-service"
            )
            self._record(kind, current.instance_id, current.sequence)
        self._backends.announce(
            backend_lib.Announcement(
                service=current.service,
                address=self._address,
                slots=usable_slots(current.slots),
                state="draining" if current.leaving else "ready",
                load=0.0,
                embedded=False,
                incarnation=incarnations_lib.incarnation_of(current),
            )
        )

    def _record(self, kind: str, instance_id: str, sequence: int) -> None:
        self._recorder.record(
            time.time(), kind, instance=instance_id, sequence=sequence
        )


def usable_slots(slots: int) -> int:
    """Returns how many of a backend server's slots are to be used at once."""
    usable = math.floor(slots * _USABLE_SLOTS)
    return slots if usable < slots / _FULL_USE_SLOWDOWN else usable
