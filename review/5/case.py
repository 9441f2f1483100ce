"""Large uploads within the limits take a node beyond its memory."""

import asyncio
import dataclasses
import os
import pathlib
import sys
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import case  # noqa: E402
import nodes  # noqa: E402

LAYOUT = [("zone-a", "seats"), ("zone-b", "shop")]
CLIENTS_AT = 1
# As `fleetbench wire` prints it for the site.
MAX_BODY_BYTES = 67_108_864
MEMORY_BYTES = 300 * 1024 * 1024
KEPT_CONNECTIONS = 16
WORK_S = 0.5
UPLOADS = int(os.environ.get("UPLOADS", "10"))
UPLOAD_BYTES = int(os.environ.get("UPLOAD_BYTES", "12000000"))
# The largest body of the sheet; used with TROUBLE=0.
USUAL_BYTES = 24_000
RESTART_S = 0.5
ALLOWED = 3


@dataclasses.dataclass
class Sent:
    """A request on a kept connection and how it ended."""

    request_id: str
    number: int
    how: str = "no end"


def request_of(request_id: str, body: bytes) -> bytes:
    head = (
        "POST /seat/book HTTP/1.1\r\nHost: site.example\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: 6000\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_status(reader: asyncio.StreamReader) -> int:
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            await reader.readexactly(int(value))
    return int(head.split(b" ")[1])


async def confirm_forever(
    place: nodes.Place, sent: list[Sent], stop: asyncio.Event
) -> None:
    """Sends confirmations, one after the other, on connections it keeps."""
    host, _, port = place.address("outbound").rpartition(":")
    while not stop.is_set():
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.2)
            continue
        number = 0
        try:
            while not stop.is_set():
                number += 1
                found = Sent(uuid.uuid4().hex[:16], number)
                sent.append(found)
                writer.write(request_of(found.request_id, b"seat" * 50))
                async with asyncio.timeout(7.0):
                    found.how = str(await read_status(reader))
        except (asyncio.IncompleteReadError, OSError):
            found.how = "closed without an answer"
        finally:
            writer.transport.abort()


async def upload(place: nodes.Place, size: int) -> str:
    """Sends one confirmation with a large body; returns how it ended."""
    host, _, port = place.address("outbound").rpartition(":")
    try:
        async with asyncio.timeout(10.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request_of(uuid.uuid4().hex[:16], bytes(size)))
                return str(await read_status(reader))
            finally:
                writer.transport.abort()
    except (asyncio.IncompleteReadError, OSError, TimeoutError) as error:
        return type(error).__name__


def memory_of(node: nodes.Node) -> int:
    """Returns the resident memory of a node, in bytes."""
    assert node.process is not None
    try:
        text = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, deployment: case.Deployment):
        self._deployment = deployment
        self.most = [0] * len(deployment.nodes)
        self.kills = 0

    async def watch(self, number: int) -> None:
        node = self._deployment.nodes[number]
        while True:
            await asyncio.sleep(0.005)
            used = memory_of(node)
            self.most[number] = max(self.most[number], used)
            if used > MEMORY_BYTES:
                self._deployment.record.write(
                    f"{node.place.name} uses {used / 1e6:.0f} MB and is killed"
                )
                node.kill()
                self.kills += 1
                await asyncio.sleep(RESTART_S)
                node.start()


async def body(deployment: case.Deployment) -> bool:
    record = deployment.record
    route = nodes.route("seat", "seats", "non_idempotent", timeout_s=8)
    config = nodes.configuration([route], ["seats", "shop"])
    config["limits"]["max_body_bytes"] = MAX_BODY_BYTES
    await deployment.open(LAYOUT, config, nodes.BOUNDS, work_s=WORK_S)
    platform = Platform(deployment)
    watching = [
        asyncio.create_task(platform.watch(number))
        for number in range(len(LAYOUT))
    ]
    place = deployment.nodes[CLIENTS_AT].place
    sent: list[Sent] = []
    stop = asyncio.Event()
    clients = [
        asyncio.create_task(confirm_forever(place, sent, stop))
        for _ in range(KEPT_CONNECTIONS)
    ]
    await asyncio.sleep(nodes.BOUNDS["stable_window_s"] + 1.0)
    size = UPLOAD_BYTES if deployment.trouble else USUAL_BYTES
    record.write(f"{UPLOADS} uploads of {size} bytes begin")
    began_s = time.monotonic()
    ends = await asyncio.gather(*(upload(place, size) for _ in range(UPLOADS)))
    record.write(
        f"the uploads have ended after {time.monotonic() - began_s:.2f} s: "
        f"{', '.join(ends)}"
    )
    await asyncio.sleep(5.0)
    stop.set()
    await asyncio.gather(*clients)
    for task in watching:
        task.cancel()
    return judge(deployment, platform, sent)


def judge(
    deployment: case.Deployment, platform: Platform, sent: list[Sent]
) -> bool:
    record = deployment.record
    ran = {
        arrival.request_id
        for upstream in deployment.upstreams
        for arrival in upstream.arrivals
    }
    lost = [
        found
        for found in sent
        if found.request_id in ran and found.how == "closed without an answer"
    ]
    for found in lost:
        record.write(
            f"{found.request_id}, request {found.number} of its connection, "
            f"reached its upstream: {found.how}"
        )
    most = ", ".join(f"{used / 1e6:.0f} MB" for used in platform.most)
    record.write(f"most memory: {most}; processes killed: {platform.kills}")
    record.write(
        f"{len(sent)} confirmations on kept connections, {len(lost)} passed on "
        f"and closed without an answer, allowed {ALLOWED}"
    )
    return len(lost) > ALLOWED


case.run(FOLDER, body)
