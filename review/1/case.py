"""TWICE: bytes after a complete response pass for the next one's rejection.

Some upstreams send additional bytes after a complete response. They look like
the rejection that `fleetbench wire` prints under "a server sheds": a 503 with
Not-Executed, without a Request-Id. They arrive late, at the point where the
next response on the connection is expected. The node takes them for the answer
to the confirmation that this upstream has begun to run, and sends it to another
upstream.
"""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import deployment  # noqa: E402

# The dose of `garble` with `extra late` in the file of the site.
SHARE = 0.6
PART_OF_ANSWERS = 0.03
FOR_S = 5.0
TIMES_S = (3.0, 12.0, 21.0)
LENGTH_S = 30.0
# Requests a second, as in the sheet of the site.
READS_PER_S = 59.5
CONFIRMS_PER_S = 29.7

EXTRA = (
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)

SPECS = [
    dict(name="transfers-a", service="transfers", zone="lima-a",
         work_s=lambda: random.uniform(0.08, 0.24)),
    dict(name="transfers-b", service="transfers", zone="lima-b",
         work_s=lambda: random.uniform(0.08, 0.24)),
    dict(name="transfers-c", service="transfers", zone="lima-c",
         work_s=lambda: random.uniform(0.08, 0.24)),
    dict(name="market-a", service="market", zone="lima-a"),
]
ROUTES = [
    deployment.route("r-read", "/read/", "idempotent", "transfers"),
    deployment.route("r-confirm", "/confirm/", "non_idempotent", "transfers"),
]


class Garble:
    """Which upstreams send additional bytes, and after which responses."""

    def __init__(self, record):
        self.record = record
        self.on = set()

    def attach(self, upstream):
        name = upstream.machine.name

        def written(connection, request, response):
            if name in self.on and random.random() < PART_OF_ANSWERS:
                connection["owes"] = request.header("request-id")

        def read(connection, request, writer):
            after = connection.pop("owes", None)
            if after is None:
                return
            self.record(what="additional bytes", upstream=name,
                        after_answer_to=after,
                        next_request=request.header("request-id"))
            writer.write(EXTRA)

        upstream.on_response_written = written
        upstream.on_request_read = read


async def press(world, per_s, method, path, until_s, jobs):
    """Clients on all machines, each request on a new connection."""
    machines = list(world.machines.values())
    while time.monotonic() < until_s:
        await asyncio.sleep(random.expovariate(per_s))
        number = random.randrange(10**6)
        jobs.append(asyncio.ensure_future(world.call(
            random.choice(machines), method, f"{path}{number}",
            b"x" * 4000 if method == "POST" else b"",
        )))


async def case(record, trouble):
    async with deployment.Deployment(record, SPECS, ROUTES) as world:
        garble = Garble(record)
        servers = [m.upstream for m in world.machines.values()
                   if m.service == "transfers"]
        for upstream in servers:
            garble.attach(upstream)
        await world.settle(["/read/x"])
        begin_s = time.monotonic()
        until_s = begin_s + LENGTH_S
        jobs = []
        load = [
            asyncio.ensure_future(press(
                world, READS_PER_S, "GET", "/read/", until_s, jobs)),
            asyncio.ensure_future(press(
                world, CONFIRMS_PER_S, "POST", "/confirm/", until_s, jobs)),
        ]
        for at_s in TIMES_S:
            await asyncio.sleep(max(0, begin_s + at_s - time.monotonic()))
            if trouble:
                count = round(SHARE * len(servers))
                garble.on = {
                    one.machine.name for one in random.sample(servers, count)
                }
                record(what="garble begins", upstreams=sorted(garble.on))
            await asyncio.sleep(FOR_S)
            garble.on = set()
            record(what="garble ends")
        await asyncio.gather(*load)
        await asyncio.gather(*jobs)
    return judge(record)


def judge(record):
    """TWICE and REFUSED, as written in the rules."""
    sent = {r["id"]: r for r in record.rows if r["what"] == "sent"}
    runs = collections.defaultdict(list)
    for row in record.rows:
        if row["what"] == "run":
            runs[row["id"]].append(row)
    status = {r["id"]: r["status"] for r in record.rows
              if r["what"] == "answered"}
    confirms = [i for i, r in sent.items() if r["method"] == "POST"]
    twice = [i for i in confirms if len(runs[i]) > 1]
    refused = [i for i in confirms
               if status.get(i) in (408, 421, 429, 503) and runs[i]]
    record(
        what="counts", confirms=len(confirms),
        answered_200=sum(status.get(i) == 200 for i in confirms),
        additional_bytes=sum(
            r["what"] == "additional bytes" for r in record.rows),
        twice=len(twice), refused_and_run=len(refused),
    )
    for name, found in (("TWICE", twice), ("REFUSED", refused)):
        for one in found[:20]:
            record(what=name, id=one, status=status.get(one),
                   runs=[[r["upstream"], r["t"]] for r in runs[one]])
    return bool(twice or refused)


deployment.main(case)
