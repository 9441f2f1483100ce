"""A request with an `Upgrade` header runs with an empty body."""

import asyncio
import pathlib
import sys
import uuid

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

import case  # noqa: E402
import http1  # noqa: E402
import nodes  # noqa: E402

LAYOUT = [("zone-a", "seats"), ("zone-b", "shop")]
# Clients are at the second machine, so that requests pass two nodes, and at
# the first, where they pass one.
CLIENTS_AT = (1, 0)
REQUESTS = 20
# What HTTP/1.1 clients send that offer HTTP/2 over plain text (RFC 7540, 3.2).
# These headers concern only the one connection; a server that doesn't switch
# answers as if they weren't there (RFC 9110, 7.8).
UPGRADE = (
    "Connection: Upgrade, HTTP2-Settings\r\n"
    "Upgrade: h2c\r\n"
    "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
)


def request_of(request_id: str, body: bytes, chunked: bool, more: str) -> bytes:
    """Returns an encoded confirmation."""
    head = (
        "POST /seat/book HTTP/1.1\r\nHost: site.example\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Ms: 3000\r\n{more}"
    )
    if not chunked:
        head += f"Content-Length: {len(body)}\r\n\r\n"
        return head.encode() + body
    framed = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + framed


async def send(address: str, request: bytes) -> int:
    """Sends a request on a new connection; returns the status."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(5.0):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head.split(b" ")[1])
        finally:
            writer.transport.abort()


async def body(deployment: case.Deployment) -> bool:
    record = deployment.record
    config = nodes.configuration(
        [nodes.route("seat", "seats", "non_idempotent")], ["seats", "shop"]
    )
    await deployment.open(LAYOUT, config, nodes.BOUNDS)
    received: dict[str, bytes] = {}
    for upstream in deployment.upstreams:
        upstream.on_run = lambda request: received.update(
            {request.headers["request-id"]: request.body}
        )
    sent: dict[str, bytes] = {}
    statuses: dict[str, int] = {}
    for number in range(REQUESTS):
        request_id = uuid.uuid4().hex[:16]
        sent[request_id] = f'{{"seat": {number}, "fee": 1200}}'.encode()
        request = request_of(
            request_id,
            sent[request_id],
            chunked=number % 4 >= 2,
            more=UPGRADE if deployment.trouble else "",
        )
        place = deployment.nodes[CLIENTS_AT[number % 2]].place
        statuses[request_id] = await send(place.address("outbound"), request)
    changed = 0
    for request_id, expected in sent.items():
        ran = received.get(request_id)
        differs = ran is not None and ran != expected
        changed += differs
        record.write(
            f"{request_id}: sent with body {expected!r}, ran with {ran!r}, "
            f"answered {statuses[request_id]}{' CHANGED' if differs else ''}"
        )
    missing = len(sent) - len(received)
    record.write(f"{len(sent)} sent, {missing} not run, {changed} changed")
    if missing:
        raise RuntimeError("some requests didn't run; nothing is proved")
    return changed > 0


case.run(FOLDER, body)
