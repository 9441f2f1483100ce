"""TWICE, REFUSED: the second copy of a rejection passes for the answer to the
repeat.

Some upstreams reject part of the confirmations (503 with Not-Executed). Some
send a second copy of some of their answers, late: when the next request on the
connection has arrived. The node repeats a rejected confirmation under the id
that it has, often at the same upstream and on the same connection. Then the
second copy carries the id of the repeat, which this upstream has begun to run.
The node takes it for the answer, and runs the confirmation once more or tells
the client that it has not run.
"""

import asyncio
import collections
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import deployment  # noqa: E402
import http_standin  # noqa: E402

# `garble` with `extra late` in the file of the site: share, x and for_s.
GARBLE_SHARE = 0.6
GARBLE_PART = 0.03
GARBLE_S = 5.0
# `srv_grey` with `shed all`: at most x = 0.55 there.
SHED_PART = 0.2
FIRST_S = 2.0
EVERY_S = 6.0
TIMES = 14
LENGTH_S = 87.0
# 29.7 a second in the sheet of the site, in a burst of 1.8 times as many.
CONFIRMS_PER_S = 53.0

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


class Trouble:
    """What upstreams do wrong at the moment."""

    def __init__(self, record):
        self.record = record
        self.sheds = False
        self.sends_second_answers = set()

    def attach(self, upstream):
        name = upstream.machine.name
        run = upstream.handle

        async def handle(request):
            request_id = request.header("request-id")
            is_check = request.target == deployment.HEALTH
            if self.sheds and not is_check and random.random() < SHED_PART:
                self.record(what="rejected", upstream=name, id=request_id)
                return http_standin.Response(
                    503, [("Request-Id", request_id), ("Not-Executed", "1")]
                )
            return await run(request)

        def written(connection, request, response):
            garbles = name in self.sends_second_answers
            if garbles and random.random() < GARBLE_PART:
                connection["second answer"] = (request, response)

        def read(connection, request, writer):
            owed = connection.pop("second answer", None)
            if owed is None:
                return
            earlier, response = owed
            self.record(
                what="second answer", upstream=name, status=response.status,
                answers=earlier.header("request-id"),
                while_expected=request.header("request-id"),
            )
            writer.write(http_standin.encode_response(response))

        upstream.handle = handle
        upstream.on_response_written = written
        upstream.on_request_read = read


async def press(world, until_s, jobs):
    """Clients on all machines, each confirmation on a new connection."""
    machines = list(world.machines.values())
    while time.monotonic() < until_s:
        await asyncio.sleep(random.expovariate(CONFIRMS_PER_S))
        jobs.append(asyncio.ensure_future(world.call(
            random.choice(machines), "POST",
            f"/confirm/{random.randrange(10**6)}", b"x" * 4000,
        )))


async def case(record, trouble):
    async with deployment.Deployment(record, SPECS, ROUTES) as world:
        wrong = Trouble(record)
        servers = [m.upstream for m in world.machines.values()
                   if m.service == "transfers"]
        for upstream in servers:
            wrong.attach(upstream)
        await world.settle(["/read/x"])
        begin_s = time.monotonic()
        jobs = []
        load = asyncio.ensure_future(press(world, begin_s + LENGTH_S, jobs))
        for number in range(TIMES):
            at_s = begin_s + FIRST_S + number * EVERY_S
            await asyncio.sleep(max(0, at_s - time.monotonic()))
            if trouble:
                wrong.sheds = True
                count = round(GARBLE_SHARE * len(servers))
                wrong.sends_second_answers = {
                    one.machine.name for one in random.sample(servers, count)
                }
                record(what="trouble begins",
                       second_answers_of=sorted(wrong.sends_second_answers))
            await asyncio.sleep(GARBLE_S)
            wrong.sheds = False
            wrong.sends_second_answers = set()
            record(what="trouble ends")
        await load
        await asyncio.gather(*jobs)
    return judge(record)


def judge(record):
    """TWICE and REFUSED, as written in the rules."""
    rows = record.rows
    confirms = [r["id"] for r in rows
                if r["what"] == "sent" and r["method"] == "POST"]
    runs = collections.defaultdict(list)
    for row in rows:
        if row["what"] == "run":
            runs[row["id"]].append(row)
    status = {r["id"]: r["status"] for r in rows if r["what"] == "answered"}
    twice = [i for i in confirms if len(runs[i]) > 1]
    refused = [i for i in confirms
               if status.get(i) in (408, 421, 429, 503) and runs[i]]
    seconds = [r for r in rows if r["what"] == "second answer"]
    record(
        what="counts", confirms=len(confirms),
        answered_200=sum(status.get(i) == 200 for i in confirms),
        rejections=sum(r["what"] == "rejected" for r in rows),
        second_answers=len(seconds),
        second_rejections_to_the_repeat=sum(
            r["status"] == 503 and r["answers"] == r["while_expected"]
            for r in seconds),
        twice=len(twice), refused_and_run=len(refused),
    )
    for name, found in (("TWICE", twice), ("REFUSED", refused)):
        for one in found:
            record(what=name, id=one, status=status.get(one),
                   runs=[[r["upstream"], r["t"]] for r in runs[one]])
    return bool(twice or refused)


deployment.main(case)
