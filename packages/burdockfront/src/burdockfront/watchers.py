"""Which nodes watch the store, so that not every node has to.

Each change that all nodes watch for wakes them all: a call of the store for
each node and change. A few suffice, since nodes tell each other of changes
within a fraction of a second. Who watches follows from what all know of the
members, without an agreement: the longest-running node of each data centre,
and the longest-running others until there are enough. Where views differ for a
while, one node more or less watches, which is harmless.

What must not happen is that nobody watches, and a change is in force nowhere:

* a watcher that dies, freezes or is cut off is suspected by the members after
  about two seconds, and the next one takes its place;
* a watcher that the store turns away says so in its entry (`store_away`), and
  the next one takes its place; a few at most try in a data centre, so that an
  outage of the store is not met by questions of all nodes;
* a node that hears of no peer watches for itself (see `route_watch`).
"""

from collections.abc import Iterable

from burdockfront import members as members_lib
from burdockfront import membership as membership_lib

# Half of all processes may be killed in one moment; five watchers are then all
# gone in one of thirty such moments, and two seconds later others watch.
_LEAST = 5
# Whoever the store turns away was drawn by chance, as a rule: a third turned
# away leaves one data centre in two hundred without a watcher of its own.
_CANDIDATES = 5


def watchers_of(
    membership: membership_lib.Membership,
) -> list[members_lib.Member]:
    """Returns the members that are to watch the store now."""
    data_centers = {m.data_center for m in membership.usable()}
    ranked = [membership.longest_running(name) for name in data_centers]
    chosen = [_first_of(members) for members in ranked if members]
    spare = [
        member
        for members in ranked
        for member in members[:_CANDIDATES]
        if not member.store_away and member not in chosen
    ]
    spare.sort(key=lambda member: (member.incarnation, member.node_id))
    return chosen + spare[: max(0, _LEAST - len(chosen))]


def watches(membership: membership_lib.Membership) -> bool:
    """Whether this node is to watch the store now."""
    mine = membership.local_member.node_id
    return any(member.node_id == mine for member in watchers_of(membership))


def _first_of(
    members: Iterable[members_lib.Member],
) -> members_lib.Member:
    """Returns the first member whom the store answers, or the very first."""
    candidates = list(members)[:_CANDIDATES]
    reached = [member for member in candidates if not member.store_away]
    return (reached or candidates)[0]
