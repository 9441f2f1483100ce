"""A stand-in for an upstream, after PROTOCOL.md."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable

import http1

HEALTH_PATH = "/health"
_BEAT_S = 1.5
_ACK_S = 1.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that this upstream began to run."""

    at_s: float
    request_id: str
    instance_id: str
    caller: str
    tenant: str


class Upstream:
    """A sound upstream with slots and a queue.

    Args:
        service: Its service.
        address: Where it serves.
        control: Where it sends its heartbeats.
        zone: Its zone.
        instance_id: Id of this incarnation.
        slots: Requests that it runs at once; as many wait.
        work_s: How long a request runs.
        answer_bytes: Least size of the body of an answer.

    Attributes:
        on_run: Called with each request that begins to run.
    """

    def __init__(
        self,
        service: str,
        address: str,
        control: str,
        zone: str,
        instance_id: str,
        slots: int = 48,
        work_s: float = 0.02,
        answer_bytes: int = 0,
    ):
        self.on_run: Callable[[http1.Request], None] = _ignore
        self._answer_bytes = answer_bytes
        self.service = service
        self.address = address
        self.control = control
        self.instance_id = instance_id
        self.leaving = False
        self.arrivals: list[Arrival] = []
        self.beats: list[tuple[float, int, int | None]] = []
        self.work_s = work_s
        self._zone = zone
        self._slots = slots
        self._running = 0
        self._waiting = 0
        self._slot = asyncio.Semaphore(slots)
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = http1.Server(self._serve, address)
        self._beating: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Starts to serve and to send heartbeats."""
        await self._server.open()
        self._beating = asyncio.create_task(self._beat_forever())

    def close(self) -> None:
        """Exits: the port closes and all connections are reset."""
        self.stop_beats()
        self._server.close()

    def stop_beats(self) -> None:
        """Sends no further heartbeats."""
        if self._beating is not None:
            self._beating.cancel()
            self._beating = None

    def next_beat(self) -> bytes:
        """Returns the body of the next heartbeat."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "capacity": self._slots,
                "state": "draining" if self.leaving else "ready",
                "warmup_left_s": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
        ).encode()

    async def send_beat(self, body: bytes, control: str = "") -> int | None:
        """Sends a heartbeat; returns the status, None without an answer."""
        path = f"/instances/{self.instance_id}"
        headers = {"Content-Type": "application/json"}
        sequence = json.loads(body)["sequence"]
        status = None
        try:
            answer = await http1.ask(
                control or self.control, "PUT", path, headers, body, _ACK_S
            )
            status = answer.status
        except (OSError, TimeoutError):
            pass
        self.beats.append((time.monotonic(), sequence, status))
        return status

    async def send_delete(self) -> int | None:
        """Says that it leaves; returns the status, None without an answer."""
        path = f"/instances/{self.instance_id}"
        try:
            answer = await http1.ask(
                self.control, "DELETE", path, {}, b"", _ACK_S
            )
        except (OSError, TimeoutError):
            return None
        return answer.status

    async def _beat_forever(self) -> None:
        while True:
            await self.send_beat(self.next_beat())
            await asyncio.sleep(_BEAT_S)

    def _load(self) -> dict[str, str]:
        figures = f"{self._running},{self._waiting},{self._slots}"
        return {"Server-Load": figures, "Instance-Id": self.instance_id}

    async def _serve(self, request: http1.Request) -> http1.Response:
        if request.target == HEALTH_PATH:
            return http1.Response(503 if self.leaving else 200, self._load())
        request_id = request.headers.get("request-id", "")
        echo = {"Request-Id": request_id, **self._load()}
        if not request_id:
            return http1.Response(400, {"Not-Executed": "1", **echo})
        target = request.headers.get("target-instance", self.instance_id)
        if target != self.instance_id:
            return http1.Response(421, {"Not-Executed": "1", **echo})
        if self._running >= self._slots and self._waiting >= self._slots:
            return http1.Response(503, {"Not-Executed": "1", **echo})
        self._waiting += 1
        try:
            await self._slot.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            self.arrivals.append(
                Arrival(
                    time.monotonic(),
                    request_id,
                    self.instance_id,
                    request.headers.get("caller-service", ""),
                    request.headers.get("tenant", ""),
                )
            )
            self.on_run(request)
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
            self._slot.release()
        signed = {"Response-Signature": f"sig.{self.instance_id}", **echo}
        body = f"ran {request_id}".encode().ljust(self._answer_bytes, b".")
        return http1.Response(200, signed, body)


def _ignore(request: http1.Request) -> None:
    """Default of `on_run`."""
