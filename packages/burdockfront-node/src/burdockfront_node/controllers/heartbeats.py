"""Processes the heartbeats of the backend server beside this node."""

import math
import time

from burdockfront import incarnations as incarnations_lib
from burdockfront import routes as routes_lib
from burdockfront import timeline
from burdockfront_node import backend as backend_lib
from burdockfront_node.controllers import backends as backends_lib

# Heartbeats arrive about every 1.5 s and may be seconds late. A crashed server
# is detected sooner, because it refuses connections.
TIMEOUT_S = 7.0
CHECK_S = 1.0
# Some backend servers slow down for all their requests when nearly full, and
# using the last few slots then lowers the throughput.
_USABLE_SLOTS = 0.95
# The factor by which these servers slow down, approximately. A server that
# leaves one of its three slots idle reaches two thirds of its throughput; with
# all slots in use and slowed down, it reaches three quarters.
_FULL_USE_SLOWDOWN = 1.3


class Heartbeats:
    """Turns heartbeats into announcements.

    A heartbeat that is acknowledged here takes effect on this node at once,
    independently of the store and the peers: the guard checks the same
    incarnations before it hands over each request.

    Args:
        address: Address at which the backend server accepts requests.
        incarnations: Knows which incarnation is in service.
        backends: Announces the backend server to the guard and the peers.
        recorder: Records events.
        service: Service that the settings name for this VM.
        resolver: The active route table, which names all other services.
    """

    def __init__(
        self,
        address: str,
        incarnations: incarnations_lib.IncarnationTracker,
        backends: backends_lib.Backends,
        recorder: timeline.Recorder,
        service: str,
        resolver: routes_lib.RouteResolver,
    ):
        self._address = address
        self._incarnations = incarnations
        self._backends = backends
        self._recorder = recorder
        self._resolver = resolver
        self._service = service
        self._announced: incarnations_lib.Heartbeat | None = None

    def on_heartbeat(self, heartbeat: incarnations_lib.Heartbeat) -> None:
        """Processes a heartbeat; one of an unknown service is ignored."""
        if not self._knows(heartbeat.service):
            self._record(
                "backend.unknown-service",
                heartbeat.instance_id,
                heartbeat.sequence,
            )
        elif self._incarnations.observe(heartbeat):
            self._announce()
        else:
            self._record(
                "backend.ignored", heartbeat.instance_id, heartbeat.sequence
            )

    def leave(self, instance_id: str) -> None:
        """Processes the announcement that an incarnation leaves."""
        if self._incarnations.leave(instance_id):
            self._announce()
        else:
            self._record("backend.left", instance_id, -1)

    def on_leave_notice(
        self, incarnation: incarnations_lib.Incarnation
    ) -> None:
        """Processes a notice of leaving that came with an answer."""
        if self._incarnations.leave_incarnation(incarnation):
            self._announce()

    def _knows(self, service: str) -> bool:
        """Whether a service is this VM's own, or in the route table."""
        return service == self._service or self._resolver.knows_service(service)

    def _announce(self) -> None:
        current = self._incarnations.current
        assert current is not None
        previous = self._announced
        is_new = (
            previous is None
            or previous.instance_id != current.instance_id
            or previous.born_ms not in (None, current.born_ms)
        )
        self._announced = current
        if is_new:
            self._backends.on_new_incarnation(
                previous is None or previous.leaving
            )
        if is_new or previous is None or previous.leaving != current.leaving:
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
                warm_in_s=current.warm_in_s,
            )
        )

    def _record(self, kind: str, instance_id: str, sequence: int) -> None:
        self._recorder.record(
            time.time(), kind, instance=instance_id, sequence=sequence
        )


def usable_slots(slots: int) -> int:
    """Returns how many slots of a backend server to use at once.

    Leaves a few slots idle, unless that costs more throughput than the
    slow-down of a server whose slots are all in use.
    """
    usable = math.floor(slots * _USABLE_SLOTS)
    return slots if usable < slots / _FULL_USE_SLOWDOWN else usable
