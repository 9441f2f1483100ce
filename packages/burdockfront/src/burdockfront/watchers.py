"""Selection of the nodes that watch the store on behalf of all nodes.

If all nodes watched the store, each change would cost one store call per node.
A few watchers suffice, since nodes gossip changes to each other within a
fraction of a second. Each node derives the watchers from its membership view,
without a consensus protocol: the longest-running node of each data centre, and
further longest-running nodes up to a minimum number. While views differ, one
node more or less watches, which is harmless.

If no node watched, a change would not take effect anywhere. This is prevented
as follows:

* A watcher that fails, freezes or is partitioned is suspected by the other
  members after about two seconds, and the next node replaces it.
* A watcher that the store rejects reports this in its entry (`store_away`), and
  the next node replaces it. Only a few nodes per data centre try, so an outage
  of the store does not cause requests from all nodes.
* A node that learns of no peer watches for itself (see `route_watch`).
"""

from collections.abc import Iterable

from burdockfront import members as members_lib
from burdockfront import membership as membership_lib

# Half of all processes may be killed at the same time. All of five watchers are
# then killed in one of thirty such cases, and replaced two seconds later.
_MIN_WATCHERS = 5
# The nodes that the store rejects are random, as a rule. If it rejects a third
# of them, one data centre in two hundred has no watcher of its own.
_MAX_CANDIDATES = 5


def watchers_of(
    membership: membership_lib.Membership,
) -> list[members_lib.Member]:
    """Returns the members that should watch the store now."""
    data_centers = {m.data_center for m in membership.usable()}
    ranked = [membership.longest_running(name) for name in data_centers]
    chosen = [_first_of(members) for members in ranked if members]
    spare = [
        member
        for members in ranked
        for member in members[:_MAX_CANDIDATES]
        if not member.store_away and member not in chosen
    ]
    spare.sort(key=lambda member: (member.incarnation, member.node_id))
    return chosen + spare[: max(0, _MIN_WATCHERS - len(chosen))]


def watches(membership: membership_lib.Membership) -> bool:
    """Whether this node should watch the store now."""
    local_id = membership.local_member.node_id
    return any(member.node_id == local_id for member in watchers_of(membership))


def _first_of(
    members: Iterable[members_lib.Member],
) -> members_lib.Member:
    """Returns the first candidate that reaches the store, or the first one."""
    candidates = list(members)[:_MAX_CANDIDATES]
    connected = [member for member in candidates if not member.store_away]
    return (connected or candidates)[0]
