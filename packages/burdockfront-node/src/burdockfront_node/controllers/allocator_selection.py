"""Selects the quota allocator of a node, and counts the nodes."""

import time

from burdockfront import members as members_lib
from burdockfront import membership as membership_lib

# How long a node that did not answer is not selected again.
_AVOID_S = 3.0
# A node that has failed for longer was replaced under another name. Until then
# it may only be cut off, and still use its share.
_FAILED_COUNTS_S = 600.0


class AllocatorSelector:
    """Selects the quota allocator for one node.

    Args:
        membership: Members as this node knows them.
    """

    def __init__(self, membership: membership_lib.Membership):
        self._membership = membership
        self._avoided: dict[str, float] = {}
        self._failed_at_s: dict[str, float] = {}

    def choose(self) -> members_lib.Member:
        """Returns the longest-running node that is expected to answer.

        This node, if there is none.
        """
        now_s = time.monotonic()
        self._avoided = {
            node_id: until_s
            for node_id, until_s in self._avoided.items()
            if until_s > now_s
        }
        return min(
            filter(self._is_eligible, self._membership.usable()),
            key=lambda member: (member.incarnation, member.node_id),
            default=self._membership.local_member,
        )

    def avoid(self, node_id: str) -> None:
        """Excludes a node that did not answer for a while."""
        self._avoided[node_id] = time.monotonic() + _AVOID_S

    def nodes(self) -> int:
        """Returns how many nodes may admit requests, reachable or not."""
        now_s = time.monotonic()
        count = 0
        failed_at_s = {}
        for member in self._membership.members():
            if member.status is members_lib.Status.LEFT:
                continue
            if member.status is members_lib.Status.DEAD:
                at_s = self._failed_at_s.get(member.node_id, now_s)
                failed_at_s[member.node_id] = at_s
                if now_s - at_s > _FAILED_COUNTS_S:
                    continue
            count += 1
        self._failed_at_s = failed_at_s
        return count

    def _is_eligible(self, member: members_lib.Member) -> bool:
        return (
            member.node_id not in self._avoided
            and not member.draining
            and member.status is members_lib.Status.ALIVE
        )
