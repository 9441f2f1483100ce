"""Steps of callers."""

import asyncio

import orjson
from behave import given
from behave import then
from behave import when

from burdockfront_bench import cluster as cluster_lib
from burdockfront_client import wire
from features import worlds

_MARK = "mark-of-this-caller"


def _send(context, method, path, node, headers=None, body=b""):
    headers = {"x-mark": _MARK, **(headers or {})}
    world = context.world
    world.last = world.run(world.send(node, method, path, headers, body))


def _confirm(world, node, path="/enrolment/confirm", **headers):
    wanted = {wire.IDEMPOTENCY_KEY: world.ticket, **headers}
    world.last = world.run(world.send(node, "POST", path, wanted))
    return world.last


def _other_than_owner(world):
    owner = world.owner_of_ticket()
    return [m.name for m in world.cluster.machines if m.name != owner]


@when("a caller sends {method} {path} to {node} with {name}: {value}")
def send_with_header(context, method, path, node, name, value):
    _send(context, method, path, node, {name: value})


@when("a caller sends {method} {path} to {node} for host {host}")
def send_for_host(context, method, path, node, host):
    _send(context, method, path, node, {"Host": host})


@when("a caller sends a body of {size:d} bytes to {node}")
def send_body(context, size, node):
    _send(context, "POST", "/fees/charge", node, body=b"x" * size)


@when("a caller sends {method} {path} to {node}")
def send(context, method, path, node):
    _send(context, method, path, node)


@when("bytes that are not HTTP are sent to {node}")
def send_garbage(context, node):
    async def garbage():
        host, _, port = context.world.machine(node).caller.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"\x00\x01\x02 garbage\r\n\r\n")
        await writer.drain()
        writer.close()

    context.world.run(garbage())


@then("the answer is {outcome} with status {status:d} for {reason}")
def answer_with_reason(context, outcome, status, reason):
    seen = context.world.last
    found = (seen.outcome, seen.status, seen.headers.get(wire.REASON))
    assert found == (outcome, status, reason), (found, seen.body)
    problem = orjson.loads(seen.body)
    assert problem["outcome"] == outcome
    assert problem["type"].endswith(reason)


@then("the answer is {outcome} with status {status:d}")
def answer_with_status(context, outcome, status):
    seen = context.world.last
    assert (seen.outcome, seen.status) == (outcome, status), seen


@then("the answer is {outcome} with any status")
def answer_with_any_status(context, outcome):
    assert context.world.last.outcome == outcome, context.world.last


@then("it carries the caller's own mark")
def own_mark(context):
    assert orjson.loads(context.world.last.body)["mark"] == _MARK


@then("it brings a ticket")
def brings_ticket(context):
    assert worlds.owner_of(context.world.last.headers[wire.TICKET])


@given("a ticket for {service}")
def ticket(context, service):
    context.world.new_ticket("fees-1", service)


@when("the confirmation is sent to each node in turn")
def confirm_everywhere(context):
    world = context.world
    names = [m.name for m in world.cluster.machines]
    world.finished = [_confirm(world, name) for name in names]


@when("the confirmation is sent to another node with 1 s to live")
def confirm_briefly(context):
    node = _other_than_owner(context.world)[0]
    _confirm(context.world, node, **{wire.DEADLINE: "1.0"})


@when("the confirmation is sent to another node until it is done")
def confirm_until_done(context):
    node = _other_than_owner(context.world)[0]

    def done():
        return _confirm(context.world, node).outcome == "done"

    worlds.eventually(done, "the confirmation is done")


@when("the confirmation is sent to another node")
def confirm_elsewhere(context):
    _confirm(context.world, _other_than_owner(context.world)[0])


@when("the confirmation is sent to {node}")
def confirm(context, node):
    _confirm(context.world, node)


@given("the slow confirmation has been handed over")
def slow_confirmation(context):
    world = context.world
    headers = {wire.IDEMPOTENCY_KEY: world.ticket}
    world.start(
        _other_than_owner(world)[0], "POST", "/enrolment/slow-confirm", headers
    )
    worlds.eventually(
        lambda: bool(world.runs("enrolment")), "the confirmation has started"
    )


@when("the slow confirmation is repeated at every other node")
def repeat_elsewhere(context):
    world = context.world
    path = "/enrolment/slow-confirm"
    names = _other_than_owner(world)
    world.finished = [_confirm(world, name, path) for name in names]


@when("the slow confirmation is repeated at every node")
def repeat_everywhere(context):
    world = context.world
    path = "/enrolment/slow-confirm"
    names = [m.name for m in world.cluster.machines]
    world.finished = [_confirm(world, name, path) for name in names]


@then("every repeat is unknown")
def repeats_unknown(context):
    outcomes = {seen.outcome for seen in context.world.finished}
    assert outcomes == {"unknown"}, context.world.finished


@then("every answer is done and all are the same")
def all_same(context):
    finished = context.world.finished
    assert {seen.outcome for seen in finished} == {"done"}, finished
    assert len({seen.body for seen in finished}) == 1


@then("no confirmation ran twice")
def none_twice(context):
    for service in ("enrolment", "fees"):
        runs = context.world.runs(service)
        assert all(count == 1 for count in runs.values()), runs


@then("nothing that was told not-run ran")
def not_run_is_true(context):
    world = context.world
    if any(seen.outcome == "not-run" for seen in world.finished):
        assert not world.runs("enrolment")


@then("{service} ran {count:d} confirmation")
def ran(context, service, count):
    runs = context.world.runs(service)
    assert sum(runs.values()) == count, runs


@when("the caller looks the ticket up")
def look_up(context):
    headers = {wire.IDEMPOTENCY_KEY: context.world.ticket}
    _send(context, "GET", "/tickets/enrolment", "fees-2", headers)


@then("its state is {state}")
def ticket_state(context, state):
    found = orjson.loads(context.world.last.body)["state"]
    assert found == state, found


def _wait_until_in_force(world, change_id):
    """An entry without the change would give up a slow request early."""

    def in_force():
        return world.command(f"verify change {change_id}").complete

    worlds.eventually(in_force, f"{change_id} is in force everywhere")


@given("{count:d} slow requests are under way")
def slow_requests(context, count):
    world = context.world
    # Long enough that only the leaving itself could interrupt them.
    for field in ("deadline_s", "attempt_timeout_s"):
        view = world.command(f"set policy enrolment {field} = 20")
        _wait_until_in_force(world, view.rows[-1]["change_id"])
    for number in range(count):
        node = world.cluster.machines[number % 5].name
        if node == "enrolment-1":
            node = "fees-1"
        world.start(node, "GET", "/enrolment/slow")

    def started():
        ledgers = world.ledgers("enrolment")
        return sum(x["counts"]["started"] for x in ledgers) == count

    worlds.eventually(started, "all slow requests have started")


@then("all of them end done")
def all_done(context):
    finished = context.world.finish()
    assert {seen.outcome for seen in finished} == {"done"}, finished
    assert {seen.status for seen in finished} == {200}, finished


@when("their callers hang up")
def hang_up(context):
    async def cancel():
        for task in context.world.pending:
            task.cancel()
        await asyncio.gather(*context.world.pending, return_exceptions=True)
        context.world.pending.clear()

    context.world.run(cancel())


@then("the backend servers of enrolment see {count:d} cancels")
def cancels(context, count):
    def cancelled():
        ledgers = context.world.ledgers("enrolment")
        return sum(x["counts"]["cancelled"] for x in ledgers) == count

    worlds.eventually(cancelled, "the cancels arrived")


@given("{count:d} requests have been served")
def served(context, count):
    world = context.world
    for number in range(count):
        node = world.cluster.machines[number % 5].name
        seen = world.run(world.send(node, "GET", "/enrolment/overview"))
        assert seen.outcome == "done", seen


@then("requests are served again")
def served_again(context):
    world = context.world
    for machine in world.cluster.machines:

        def done(node=machine.name):
            seen = world.run(world.send(node, "GET", "/enrolment/overview"))
            return seen.outcome == "done" and seen.status == 200

        worlds.eventually(done, f"{machine.name} serves")


@when("{count:d} marked requests are sent at once")
def marked_requests(context, count):
    world = context.world
    context.marks = [f"mark-{number}" for number in range(count)]
    for number, mark in enumerate(context.marks):
        node = world.cluster.machines[number % 5].name
        headers = {"x-mark": mark}
        world.start(node, "GET", "/enrolment/overview", headers)


@then("each done answer carries its own mark")
def own_marks(context):
    finished = context.world.finish()
    done = 0
    for mark, seen in zip(context.marks, finished, strict=True):
        if seen.outcome == "done" and seen.status == 200:
            done += 1
            assert orjson.loads(seen.body)["mark"] == mark, (mark, seen)
    assert done > 0


@then("browsing works at {node}")
def browsing_works(context, node):
    world = context.world

    def done():
        seen = world.run(world.send(node, "GET", "/enrolment/overview"))
        return seen.outcome == "done" and seen.status == 200

    worlds.eventually(done, f"browsing works at {node}")


@when("somebody asks {node} for its status with a wrong key")
def wrong_key(context, node):
    async def ask():
        address = context.world.machine(node).internal
        async with context.world.cluster.session.post(
            f"http://{address}/operator/status",
            headers={"Authorization": f"Bearer {cluster_lib.PEER_KEY}"},
        ) as response:
            return response.status

    context.status = context.world.run(ask())


@then("it is refused with {status:d}")
def refused(context, status):
    assert context.status == status
