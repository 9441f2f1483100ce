"""Steps that make parts fail, and steps that see what members believe."""

import time

from behave import given
from behave import then
from behave import when

from features import worlds

_DRAIN_GRACE_S = 2.5


@when("the node that owns the ticket is killed")
def kill_owner(context):
    context.world.kill(context.world.owner_of_ticket())


@when("the node that owns the ticket is killed and started again")
def replace_owner(context):
    world = context.world
    name = world.owner_of_ticket()
    world.kill(name)
    machine = world.machine(name)
    world.run(machine.node_process.wait())
    world.run(world.cluster.start_node(machine))
    for other in world.others(""):
        worlds.eventually(
            lambda other=other: world.routes_to(other, name),
            f"{other} routes to the new {name}",
        )


@given("the node that owns the ticket is frozen")
def freeze_owner(context):
    context.world.freeze(context.world.owner_of_ticket())


@when("the node that owns the ticket wakes")
def wake_owner(context):
    world = context.world
    name = world.owner_of_ticket()
    world.wake(name)
    for other in world.others(name):
        worlds.eventually(
            lambda other=other: world.routes_to(other, name),
            f"{other} routes to {name}",
        )


def _owner_rules(world):
    return world.cluster.proxies[world.owner_of_ticket()]


@when("answers of the ticket's owner are cut after {size:d} bytes")
def cut_answers(context, size):
    proxy = _owner_rules(context.world)
    proxy.rules.cut_after_bytes = size
    proxy.cut_open_connections()


@when("answers of the ticket's owner pass again")
def pass_answers(context):
    proxy = _owner_rules(context.world)
    proxy.rules.cut_after_bytes = None
    world = context.world
    name = world.owner_of_ticket()
    for other in world.others(name):
        worlds.eventually(
            lambda other=other: world.routes_to(other, name),
            f"{other} routes to {name}",
        )


@when("nobody reaches the ticket's owner")
def partition_owner(context):
    proxy = _owner_rules(context.world)
    proxy.rules.refuse = True
    proxy.cut_open_connections()


@when("the partition heals")
def heal_owner(context):
    _owner_rules(context.world).rules.refuse = False


@given("the platform service is down")
@when("the platform service is down")
def platform_down(context):
    context.world.run(context.world.cluster.control_platform(down=True))


@when("the platform service is up again")
def platform_up(context):
    context.world.run(context.world.cluster.control_platform(down=False))


@when("the backend server of {name} is stopped as planned")
def stop_backend(context, name):
    context.world.stop(name, "backend")


@when("the node {name} is stopped as planned")
def stop_node(context, name):
    context.world.stop(name, "node")


@then("new requests start nothing at {name}")
def nothing_new(context, name):
    world = context.world
    before = world.status(name)["counters"]["guard.handed_over"]
    for number in range(20):
        node = world.others(name)[number % 4]
        seen = world.run(world.send(node, "GET", "/enrolment/overview"))
        assert seen.outcome == "done", seen
    after = world.status(name)["counters"]["guard.handed_over"]
    assert after == before, (before, after)


@when("the operator drains the owner of the ticket and its grace is over")
def drain_owner(context):
    world = context.world
    world.command(f"drain {world.owner_of_ticket()}")
    time.sleep(_DRAIN_GRACE_S)


@when("the machine {name} is killed")
def kill_machine(context, name):
    world = context.world
    machine = world.machine(name)
    for what in ("node", "backend"):
        world.kill(name, what)
    world.run(machine.node_process.wait())
    world.run(machine.backend_process.wait())


@when("the machine {name} is started again")
def start_machine(context, name):
    world = context.world
    machine = world.machine(name)
    world.run(world.cluster.start_node(machine))
    world.run(world.cluster.start_backend(machine))
    for other in world.others(""):
        worlds.eventually(
            lambda other=other: (
                _answers(world, other) and world.routes_to(other, name)
            ),
            f"{other} routes to {name}",
        )


def _answers(world, name):
    try:
        return world.status(name)["ready"]
    except OSError:
        return False


@when("all machines are killed and started again")
def restart_all(context):
    world = context.world
    for machine in world.cluster.machines:
        kill_machine(context, machine.name)
    for machine in world.cluster.machines:
        world.run(world.cluster.start_node(machine))
        world.run(world.cluster.start_backend(machine))

    def all_answer():
        return all(_responds(world, m.name) for m in world.cluster.machines)

    worlds.eventually(all_answer, "all nodes answer")


@given("all machines are killed and {name} is started again alone")
def start_alone(context, name):
    world = context.world
    for machine in world.cluster.machines:
        kill_machine(context, machine.name)
    machine = world.machine(name)
    world.run(world.cluster.start_node(machine))
    world.run(world.cluster.start_backend(machine))
    context.alone = name


@given("{name} is ready")
def one_ready(context, name):
    world = context.world
    worlds.eventually(lambda: world.status(name)["ready"], f"{name} is ready")


@when("the other machines are started again")
def start_others(context):
    world = context.world
    for name in world.others(context.alone):
        machine = world.machine(name)
        world.run(world.cluster.start_node(machine))
        world.run(world.cluster.start_backend(machine))


def _responds(world, name):
    try:
        return "ready" in world.status(name)
    except OSError:
        return False


@then("no node is ready")
def none_ready(context):
    world = context.world
    for machine in world.cluster.machines:
        assert not world.status(machine.name)["ready"]
        seen = world.run(world.send(machine.name, "GET", "/enrolment/overview"))
        assert seen.outcome == "not-run", seen


@then("every node is ready")
def all_ready(context):
    world = context.world
    for machine in world.cluster.machines:
        worlds.eventually(
            lambda name=machine.name: world.status(name)["ready"],
            f"{machine.name} is ready",
        )


@given("the node {name} is frozen")
def freeze_node(context, name):
    context.world.freeze(name)


@when("the node {name} wakes")
def wake_node(context, name):
    context.world.wake(name)


@given("the backend server of {name} is frozen")
def freeze_backend(context, name):
    context.world.freeze(name, "backend")


@when("the backend server of {name} wakes")
def wake_backend(context, name):
    context.world.wake(name, "backend")


@when("the open connections to every node go silent")
def silence(context):
    for proxy in context.world.cluster.proxies.values():
        proxy.silence_open_connections()


@then("the routers retired connections")
def retired(context):
    world = context.world
    total = sum(
        world.status(m.name)["counters"]["peers.retired"]
        for m in world.cluster.machines
    )
    assert total > 0


@when("answers are delayed by up to {delay_s:f} s")
def delay(context, delay_s):
    for proxy in context.world.cluster.proxies.values():
        proxy.rules.delay_s = delay_s


@when("the data centres lose each other")
def lose_each_other(context):
    source_ips = {"dc1": "127.0.0.2", "dc2": "127.0.0.3"}
    for machine in context.world.cluster.machines:
        others = frozenset(
            ip for dc, ip in source_ips.items() if dc != machine.data_center
        )
        proxy = context.world.cluster.proxies[machine.name]
        proxy.rules.refuse_from = others
        proxy.cut_open_connections()


@when("the data centres reach each other again")
def reach_again(context):
    for proxy in context.world.cluster.proxies.values():
        proxy.rules.refuse_from = frozenset()


@given("one watcher is frozen and the other one is killed")
def watchers_fail(context):
    world = context.world
    watchers = [
        machine.name
        for machine in world.cluster.machines
        if world.status(machine.name)["watching"]
    ]
    assert len(watchers) == 2, watchers
    # While it knew nobody yet, each node watched for itself. Those watches
    # would still tell of a change that has no watcher left.
    worlds.eventually(
        lambda: world.run(world.cluster.waiting_watches()) == 2,
        "only the two watchers wait at the platform service",
    )
    context.asleep, killed = watchers
    world.freeze(context.asleep)
    world.kill(killed)
    world.away.update(watchers)


@when("the node {name} sleeps")
def sleeps(context, name):
    context.asleep = name
    context.world.freeze(name)
    context.world.away.add(name)


@when("the frozen watcher wakes")
@when("the sleeping node wakes")
def sleeper_wakes(context):
    context.world.wake(context.asleep)
    context.world.away.discard(context.asleep)


@given("the backend servers of {service} are gone")
def backends_gone(context, service):
    world = context.world
    for machine in world.cluster.of_service(service):
        world.kill(machine.name, "backend")
    for machine in world.cluster.of_service(service):
        worlds.until_nobody_routes_to(world, machine.name)
