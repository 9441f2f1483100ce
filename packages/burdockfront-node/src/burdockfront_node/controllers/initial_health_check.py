"""One health check of the backend server when a node starts.

A node that restarts alone finds its backend server running, but learns of it
only from the next heartbeat, and rejects requests that the server could handle
for up to a heartbeat period. When all processes were killed at once, each layer
of services waits like this for the layers below it. A single health check at
the start shows which incarnation is in service now.

A server that is leaving answers that it is not healthy, so an incarnation whose
leaving an earlier process has acknowledged is not put back in service by this.
"""

import logging
import time

from burdockfront import incarnations as incarnations_lib
from burdockfront import routes as routes_lib
from burdockfront import self_reports
from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages
from burdockfront_client import pool as pool_lib
from burdockfront_node import adapters
from burdockfront_node import backend_load as backend_load_lib
from burdockfront_node import backend_self_reports
from burdockfront_node.controllers import heartbeats as heartbeats_lib
from burdockfront_node.controllers import route_watch as route_watch_lib

_LOG = logging.getLogger(__name__)
# On the same VM an answer takes milliseconds. From a server that is busy for
# longer than this, a heartbeat arrives at about the same time.
_TIMEOUT_S = 1.0
_ROUTES_TIMEOUT_S = 30.0
_LIMIT_BYTES = 65_536
# Below the sequence number of any heartbeat, so that each of them is newer.
_SEQUENCE = -1


class InitialHealthCheck:
    """Checks the backend server once and reports like a heartbeat.

    Args:
        service: Service of the backend server beside this node.
        data_center: Data centre of the backend server.
        address: Address at which the backend server accepts requests.
        dialect: Parses the answer to the health check.
        resolver: The active route table, which has the health check's path.
        route_watch: Signals when a route table is known.
        incarnations: Knows which incarnation is in service.
        heartbeats: Receives the result as a heartbeat.
        reports: Receives the self report in the answer.
        backend_load: Receives the load report in the answer; None to ignore
            it.
    """

    def __init__(
        self,
        service: str,
        data_center: str,
        address: str,
        dialect: adapters.Dialect,
        resolver: routes_lib.RouteResolver,
        route_watch: route_watch_lib.RouteWatch,
        incarnations: incarnations_lib.IncarnationTracker,
        heartbeats: heartbeats_lib.Heartbeats,
        reports: backend_self_reports.BackendSelfReports,
        backend_load: backend_load_lib.BackendLoad | None = None,
    ):
        self._backend_load = backend_load
        self._service = service
        self._data_center = data_center
        self._address = address
        self._dialect = dialect
        self._resolver = resolver
        self._route_watch = route_watch
        self._incarnations = incarnations
        self._heartbeats = heartbeats
        self._reports = reports

    async def run(self) -> None:
        """Checks once; if it fails, the next heartbeat reports the state."""
        await self._route_watch.wait_for_routes(_ROUTES_TIMEOUT_S)
        path = self._resolver.health_path(self._service)
        if not path or self._incarnations.current is not None:
            return
        asked_s = time.monotonic()
        answer = await self._request_health(path)
        # A heartbeat that arrived meanwhile takes precedence.
        if answer is None or self._incarnations.current is not None:
            return
        health = self._dialect.health_of(answer)
        if health is None:
            return
        self._heartbeats.on_heartbeat(
            incarnations_lib.Heartbeat(
                instance_id=health.instance_id,
                service=self._service,
                data_center=self._data_center,
                release="",
                slots=health.slots,
                leaving=False,
                warm_in_s=0.0,
                sequence=_SEQUENCE,
            )
        )
        incarnation = incarnations_lib.Incarnation(health.instance_id)
        load = self._dialect.load_of(answer)
        if self._backend_load is not None and load:
            self._backend_load.on_answer(load, incarnation, asked_s)
        if health.notice is not self_reports.NO_NOTICE:
            # An empty self report here does not show that the server has no
            # limit, so it is ignored.
            self._reports.on_answer(health.notice, incarnation, asked_s)

    async def _request_health(
        self, path: str
    ) -> http_messages.RawAnswer | None:
        request = http_messages.encode_request(
            "GET", path, self._address, (), b""
        )
        pool = pool_lib.Pool(self._address)
        try:
            return await pool.exchange(
                request, lambda _: True, _LIMIT_BYTES, True, _TIMEOUT_S
            )
        except (
            connection_lib.NotSentError,
            connection_lib.AnswerLostError,
        ) as error:
            _LOG.info(
                "no answer to the initial health check; waiting for the "
                "backend server's next heartbeat",
                extra={"why": repr(error)},
            )
            return None
        finally:
            pool.close_idle()
