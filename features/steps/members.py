"""Steps that see what members believe of each other."""

from behave import then

from features import worlds


@then("no node routes to {name} any more")
def nobody_routes(context, name):
    worlds.until_nobody_routes_to(context.world, name)


@then("every node routes to {name} again")
def everybody_routes(context, name):
    world = context.world
    for other in world.others(""):
        worlds.eventually(
            lambda other=other: world.routes_to(other, name),
            f"{other} routes to {name}",
        )


@then("every node knows that {name} is dead")
def known_dead(context, name):
    _known(context.world, name, "dead")


@then("every other node knows that {name} is suspect")
def known_suspect(context, name):
    world = context.world
    worlds.eventually(
        lambda: all(
            world.members(other)[name]["status"] in ("suspect", "dead")
            for other in world.others(name)
        ),
        f"{name} is suspected",
    )


def _known(world, name, status):
    for other in world.others(name):
        worlds.eventually(
            lambda other=other: world.members(other)[name]["status"] == status,
            f"{other} knows {name} {status}",
        )


@then("the nodes of each data centre know the others dead")
def others_dead(context):
    world = context.world
    for machine in world.cluster.machines:
        for other in world.cluster.machines:
            if machine.data_center != other.data_center:
                worlds.eventually(
                    lambda a=other.name, b=machine.name: (
                        world.members(a)[b]["status"] == "dead"
                    ),
                    f"{other.name} knows {machine.name} dead",
                )


@then("every node knows every node alive")
def all_alive(context):
    world = context.world
    for machine in world.cluster.machines:
        worlds.eventually(
            lambda name=machine.name: _knows_all_alive(world, name),
            f"{machine.name} knows all alive",
        )


def _knows_all_alive(world, name):
    members = world.members(name)
    return len(members) == len(world.cluster.machines) and all(
        member["status"] == "alive" for member in members.values()
    )
