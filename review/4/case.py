"""A node that stops cuts answers that its clients are still reading."""

import asyncio
import dataclasses
import pathlib
import signal
import socket
import sys
import time
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import case  # noqa: E402
import nodes  # noqa: E402

LAYOUT = [("zone-a", "packs"), ("zone-b", "shop")]
# The machine whose clients read slowly, and which is stopped.
STOPPED = 1
CLIENTS = 6
ANSWER_BYTES = 600_000
WORK_S = 2.4
# At 300 KB/s a client has the whole answer after two seconds.
READ_BYTES = 15_000
READ_EVERY_S = 0.05
DEADLINE_S = 8.0
TIMEOUT_S = 10.0
SIGTERM_AFTER_S = 0.2
GRACE_S = nodes.BOUNDS["grace_s"]
# The segment size of an Ethernet link. On loopback it is 64 KB, and the kernel
# would buffer megabytes of an answer.
SEGMENT_BYTES = 1460
RECEIVE_BUFFER_BYTES = 32_768


@dataclasses.dataclass
class Download:
    """A request and what came back."""

    request_id: str
    sent_s: float = 0.0
    first_byte_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    expected_bytes: int = -1
    got_bytes: int = 0
    how: str = ""

    @property
    def is_whole(self) -> bool:
        return self.got_bytes == self.expected_bytes


async def download(place: nodes.Place, found: Download) -> None:
    """Sends one request and reads its answer slowly."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    host, _, port = place.address("outbound").rpartition(":")
    await loop.sock_connect(client, (host, int(port)))
    found.sent_s = time.monotonic()
    await loop.sock_sendall(
        client,
        f"GET /pack/{found.request_id} HTTP/1.1\r\nHost: site.example\r\n"
        f"Request-Id: {found.request_id}\r\n"
        f"Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n\r\n".encode(),
    )
    head = b""
    try:
        while b"\r\n\r\n" not in head:
            head += await loop.sock_recv(client, READ_BYTES)
        found.first_byte_s = time.monotonic()
        text, _, rest = head.partition(b"\r\n\r\n")
        found.status = int(text.split(b" ")[1])
        for line in text.decode("latin-1").split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                found.expected_bytes = int(value)
        found.got_bytes = len(rest)
        while found.got_bytes < found.expected_bytes:
            await asyncio.sleep(READ_EVERY_S)
            piece = await loop.sock_recv(client, READ_BYTES)
            if not piece:
                found.how = "closed early"
                break
            found.got_bytes += len(piece)
    except OSError as error:
        found.how = repr(error)
    finally:
        found.ended_s = time.monotonic()
        client.close()


async def body(deployment: case.Deployment) -> bool:
    record = deployment.record
    route = nodes.route("pack", "packs", "download", timeout_s=TIMEOUT_S)
    config = nodes.configuration([route], ["packs", "shop"])
    await deployment.open(
        LAYOUT,
        config,
        nodes.BOUNDS,
        work_s=WORK_S,
        answer_bytes=ANSWER_BYTES,
    )
    await asyncio.sleep(nodes.BOUNDS["stable_window_s"] + 1.0)
    node = deployment.nodes[STOPPED]
    downloads = [Download(uuid.uuid4().hex[:16]) for _ in range(CLIENTS)]
    tasks = [
        asyncio.create_task(download(node.place, found)) for found in downloads
    ]
    while not all(found.sent_s for found in downloads):
        await asyncio.sleep(0.01)
    await asyncio.sleep(SIGTERM_AFTER_S)
    term_s = time.monotonic()
    if deployment.trouble:
        record.write(f"SIGTERM to {node.place.name}", term_s)
        node.send(signal.SIGTERM)
        if await node.ended(GRACE_S):
            took_s = time.monotonic() - term_s
            record.write(f"it ended by itself {took_s:.2f} s later")
        else:
            record.write(f"SIGKILL, grace_s = {GRACE_S} s are over")
            node.kill()
    await asyncio.gather(*tasks)
    return judge(deployment, downloads, term_s)


def judge(
    deployment: case.Deployment, downloads: list[Download], term_s: float
) -> bool:
    record = deployment.record
    ran = {
        arrival.request_id
        for upstream in deployment.upstreams
        for arrival in upstream.arrivals
    }
    lost = 0
    for found in downloads:
        took_s = found.ended_s - found.sent_s
        counts = (
            found.request_id in ran
            and not found.is_whole
            and took_s < min(DEADLINE_S, TIMEOUT_S)
            and found.ended_s <= term_s + GRACE_S + 1.0
        )
        lost += counts
        record.write(
            f"{found.request_id}: "
            f"{'ran' if found.request_id in ran else 'did not run'}, answered "
            f"{found.status}, {found.got_bytes} of {found.expected_bytes} "
            f"bytes, {found.how or 'whole'} {took_s:.2f} s after it was sent, "
            f"{found.ended_s - term_s:.2f} s after the SIGTERM"
            f"{' LOST' if counts else ''}"
        )
    record.write(f"{lost} of {len(downloads)} answers were cut")
    return lost > 0


case.run(FOLDER, body)
