"""Which node a node reports quotas to, and how many nodes there are."""

import time

from burdockfront import members as members_lib
from burdockfront import membership as membership_lib

# One that did not answer is not asked again for so long.
_AVOID_S = 3.0
# A node that is gone for longer was replaced under another name; until then it
# may be cut off, and spend its share.
_LOST_FOR_S = 600.0


class AllocatorSelector:
    """Chooses the keeper of one node.

    Args:
        membership: Members as this node knows them.
    """

    def __init__(self, membership: membership_lib.Membership):
        self._membership = membership
        self._avoided: dict[str, float] = {}
        self._lost_at_s: dict[str, float] = {}

    def choose(self) -> members_lib.Member:
        """Returns the node that has run longest of those that may answer."""
        now_s = time.monotonic()
        self._avoided = {
            node_id: until_s
            for node_id, until_s in self._avoided.items()
            if until_s > now_s
        }
        return min(
            filter(self._may_answer, self._membership.usable()),
            key=lambda member: (member.incarnation, member.node_id),
            default=self._membership.local_member,
        )

    def avoid(self, node_id: str) -> None:
        """Notes that a node did not answer."""
        self._avoided[node_id] = time.monotonic() + _AVOID_S

    def nodes(self) -> int:
        """Returns how many nodes may admit requests, reachable or not."""
        now_s = time.monotonic()
        count = 0
        lost_at_s = {}
        for member in self._membership.members():
            if member.status is members_lib.Status.LEFT:
                continue
            if member.status is members_lib.Status.DEAD:
                at_s = self._lost_at_s.get(member.node_id, now_s)
                lost_at_s[member.node_id] = at_s
                if now_s - at_s > _LOST_FOR_S:
                    continue
            count += 1
        self._lost_at_s = lost_at_s
        return count

    def _may_answer(self, member: members_lib.Member) -> bool:
        return (
            member.node_id not in self._avoided
            and not member.draining
            and member.status is members_lib.Status.ALIVE
        )
