"""Remembers which requests the backend server beside a node has rejected.

Where answers name the request and not the attempt, a second copy of a rejection
looks like the answer to a repeat, which the server may be running. A request
that must not run twice is therefore not handed over again once its server has
rejected it. Routers choose another server by themselves; this check also holds
for nodes of earlier builds.

Nothing has to outlive the process: if it ends, the routers that wait for its
answers still know which servers they have asked.
"""

import hashlib
import heapq

# An attempt that was sent before the deadline may arrive after it.
_KEPT_PAST_DEADLINE_S = 10.0
_DIGEST_BYTES = 16


class RejectedRequests:
    """Requests that were rejected, until some time after their deadlines.

    Ids are kept as digests, since callers choose them and their length.
    """

    def __init__(self) -> None:
        self._digests: set[bytes] = set()
        self._expiries: list[tuple[float, bytes]] = []

    def __len__(self) -> int:
        return len(self._digests)

    def add(self, request_id: str, deadline_s: float) -> None:
        """Adds a request.

        Args:
            request_id: Its id.
            deadline_s: Monotonic time after which no caller waits for it.
        """
        digest = _digest_of(request_id)
        if digest in self._digests:
            return
        self._digests.add(digest)
        expires_s = deadline_s + _KEPT_PAST_DEADLINE_S
        heapq.heappush(self._expiries, (expires_s, digest))

    def contains(self, request_id: str, now_s: float) -> bool:
        """Whether a request was added and has not expired."""
        self._expire(now_s)
        # Most servers reject nothing for most of the time.
        return bool(self._digests) and _digest_of(request_id) in self._digests

    def _expire(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] < now_s:
            _, digest = heapq.heappop(self._expiries)
            self._digests.discard(digest)


def _digest_of(request_id: str) -> bytes:
    return hashlib.blake2b(
        request_id.encode(), digest_size=_DIGEST_BYTES
    ).digest()
