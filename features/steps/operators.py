"""Steps of operators and of the platform's service."""

import pathlib
import signal

import orjson
import yaml
from behave import given
from behave import then
from behave import when

from burdockfront_bench import cluster as cluster_lib
from burdockfront_client import wire
from burdockfront_ctl import nodes as ctl_nodes
from burdockfront_ctl import render
from features import worlds

_NEW_KEY = "replaced-operator-key-0123456789"


@when("the operator commands {text}")
def operator_commands(context, text):
    view = context.world.command(text)
    if "change_id" in view.columns:
        context.change_id = view.rows[-1]["change_id"]


@when("another operator commands {text}")
def other_operator(context, text):
    try:
        context.world.command(text, "enrolment-2")
    except ctl_nodes.RefusedError as error:
        context.conflict = str(error)


@then("the other operator sees both versions and the remedy")
def sees_both(context):
    assert "if revision" in context.conflict
    assert "theirs: retry.allowance: 2 -> 1 (by tester" in context.conflict
    assert "yours:  retry.allowance: -> 3" in context.conflict


@then("the change is in force on all nodes")
def in_force(context):
    def verified():
        view = context.world.command(f"verify change {context.change_id}")
        return view.complete and len(view.rows) == 5

    worlds.eventually(verified, "the change is in force everywhere")


@then("the history of {service} names {who}, {before} and {after}")
def history_names(context, service, who, before, after):
    row = context.world.command(f"history {service}").rows[-1]
    found = (row["who"], str(row["before"]), str(row["after"]))
    assert found == (who, before, after), found


@then("the history of {service} has {count:d} line")
def history_length(context, service, count):
    rows = context.world.command(f"history {service}").rows
    assert len(rows) == count, rows


@given("the platform service loses the next answer to a write")
def lose_answer(context):
    cluster = context.world.cluster
    context.world.run(cluster.control_platform(lose_write_answers=1))


@given("watches of the platform service go silent")
def silent_watches(context):
    cluster = context.world.cluster
    context.world.run(cluster.control_platform(silent_watches=True))


@given("reads of the platform service stay as they are")
@when("reads of the platform service go back before that change")
def stale_reads(context):
    # Written before: the stand-in shows the state at this moment. To go
    # back before a change, it is told to show nothing newer than it has.
    cluster = context.world.cluster
    context.world.run(cluster.control_platform(stale_reads=True))


@when("reads of the platform service are fresh again")
def fresh_reads(context):
    cluster = context.world.cluster
    context.world.run(cluster.control_platform(stale_reads=False))


def _put(context, service, document, change_id, expected=0):
    async def put():
        async with context.world.cluster.session.put(
            f"http://{context.world.cluster.platform}"
            f"/kv/burdockfront/policy/{service}",
            data=orjson.dumps(
                {
                    "value": {"document": document, "change_id": change_id},
                    "expected": expected,
                }
            ),
        ) as response:
            assert response.status == 200, await response.text()

    context.world.run(put())


@when("a change is written to the platform service behind the nodes")
def write_behind(context):
    document = {"service": "fees", "retry": {"allowance": 5}}
    _put(context, "fees", document, "c-behind")
    context.change_id = "c-behind"


@when("a later change is written to the platform service behind the nodes")
def write_later_behind(context):
    revision = context.world.status("fees-1")["applied"]["fees"]["revision"]
    document = {"service": "fees", "retry": {"allowance": 5}}
    _put(context, "fees", document, "c-later", revision)
    context.change_id = "c-later"


@then("that change is in force on all nodes")
@then("that change is in force on all nodes that run")
def that_in_force(context):
    def everywhere():
        for machine in context.world.running():
            applied = context.world.status(machine.name)["applied"]
            if applied.get("fees", {}).get("change_id") != context.change_id:
                return False
        return True

    worlds.eventually(everywhere, "the change is in force everywhere")


@then("no node ever went back in its revisions")
def never_back(context):
    for machine in context.world.running():
        view = context.world.command(
            f"timeline node {machine.name} kind policy.in-force"
        )
        revisions = [
            int(word.removeprefix("revision="))
            for row in view.rows
            for word in row["detail"].split()
            if word.startswith("revision=")
        ]
        assert len(revisions) >= 2, view.rows
        assert revisions == sorted(revisions), (machine.name, revisions)


@when("the operator tries to command {text}")
def operator_tries(context, text):
    context.tried = text
    try:
        context.world.command(text)
    except ctl_nodes.RefusedError as error:
        context.refused = error


@then("the operator is told that nothing was changed and to try again")
def told_unchanged(context):
    message = str(context.refused)
    assert context.refused.kind == "PlatformUnavailableError", message
    assert "nothing was changed" in message, message
    assert "try again" in message, message


@when("the operator repeats the command until it is taken")
def operator_repeats(context):
    def taken():
        try:
            operator_commands(context, context.tried)
        except ctl_nodes.RefusedError:
            return False
        return True

    worlds.eventually(taken, "the command is taken")


@when("a document that no node can apply is written to the platform service")
def write_bad(context):
    context.world.command("set policy fees retry.allowance = 1")
    document = {"service": "enrolment", "retry": {"allowance": 1000}}
    _put(context, "enrolment", document, "c-bad")


@then("verify lists every node with the reason")
def verify_reason(context):
    def listed():
        statuses = [
            context.world.status(m.name)["rejected"]
            for m in context.world.cluster.machines
        ]
        return all("enrolment" in rejected for rejected in statuses)

    worlds.eventually(listed, "every node rejects the document")
    rejected = context.world.status("fees-1")["rejected"]["enrolment"]
    assert "retry.allowance" in rejected["why"], rejected


@then("the policy before is still in force")
def policy_before(context):
    applied = context.world.status("fees-1")["applied"]
    assert "enrolment" not in applied
    assert "fees" in applied


@then("asking why that request ended so explains it")
def ask_why(context):
    request_id = context.world.last.headers[wire.REQUEST_ID]
    view = context.world.command(f"why request {request_id}")
    assert "not-run" in view.remarks[0], view.remarks


@then(
    "the time line of that request names at least {count:d} nodes, causes first"
)
def time_line(context, count):
    request_id = context.world.last.headers[wire.REQUEST_ID]
    view = context.world.command(f"timeline request {request_id}")
    nodes = {row["node"] for row in view.rows}
    assert len(nodes) >= count, view.rows
    kinds = [row["kind"] for row in view.rows]
    assert kinds[0] == "entry.accepted"
    assert kinds[-1] == "entry.answered"
    assert kinds.index("deeper.accepted") < kinds.index("deeper.answered")


@then("{node} has an event {kind}")
def has_event(context, node, kind):
    view = context.world.command(f"timeline node {node} kind {kind}")
    assert view.rows


@when("the backend server of {node} claims {slots:d} slots")
def claims_slots(context, node, slots):
    world = context.world
    machine = world.machine(node)
    world.run(world.cluster.control_backend(machine, lied_slots=slots))

    def announced():
        gauges = world.status(node)["gauges"]
        return gauges["guard.slots_claimed"] == slots

    worlds.eventually(announced, f"{node} has heard the claim")


@then("every node counts {slots:d} slots at {node}")
def counts_slots(context, slots, node):
    world = context.world
    for machine in world.cluster.machines:
        assert world.members(machine.name)[node]["slots"] == slots


@then("asking why {node} is as it is tells both numbers")
def tells_slots(context, node):
    view = context.world.command(f"why node {node}")
    assert "claims 40 slots, 4 are believed" in view.remarks[-1], view.remarks


@when("the operator key of {node} is replaced")
def replace_key(context, node):
    world = context.world
    path = pathlib.Path(world.cluster.directory) / f"{node}.yaml"
    settings = yaml.safe_load(path.read_text())
    settings["operator_keys"] = [_NEW_KEY]
    path.write_text(yaml.safe_dump(settings))
    world.machine(node).node_process.send_signal(signal.SIGHUP)


@then("{node} takes the new operator key and no longer the old one")
def takes_new_key(context, node):
    world = context.world
    address = world.machine(node).internal

    def ask(key):
        return world.run(
            world.cluster.ask(address, "/operator/status", {}, key)
        )

    worlds.eventually(lambda: "node" in ask(_NEW_KEY), "the new key is taken")
    assert ask(cluster_lib.OPERATOR_KEY)["error"] == "AuthenticationError"


@then("the view can be shown as text, as JSON and as a picture")
def shown(context):
    view = context.world.view
    assert "entry.accepted" in render.to_text(view)
    assert orjson.loads(render.to_json(view))["rows"]
    path = pathlib.Path(context.directory.name) / "line.svg"
    render.draw(view, path)
    assert path.stat().st_size > 1000


@then("no request is refused, and the view tells how to release one")
def nothing_quarantined(context):
    view = context.world.view
    assert view.rows == []
    assert "release FINGERPRINT" in view.remarks[0]
