"""Which requests fail because a service below them has no room.

A backend server that knows nothing of this system makes calls of its own, and
nothing on such a call says which request it is made for. But an overload can
only be met at the entry of whole requests: refused deep, a call takes down a
request that has cost work in every layer above, and one such call in eight is
enough to fail it.

Two things are learned from what a node sees anyway:

* `CallOriginTracker`, at a guard: whether requests of a class are new work or calls of
  other backend servers. Callers are everywhere, so their requests enter beside
  every service; a backend server's calls enter beside its own service only.
* `StarvationTracker`, at a node: which classes fail while calls that its backend
  server makes are refused for want of room. A class that fails so more often
  than by chance depends on what the calls asked for, and new requests of it are
  then subject to the level of that service.
"""

import collections
import dataclasses

# Fewer requests say nothing about where they come from.
_LEAST_HEARD = 20
# New work enters beside this share of the services at least.
_NEW_WORK_SHARE = 0.6
# Two in a hundred requests may fail for reasons of their own while somebody
# else's calls are refused. With this weight such chances stay below the share
# by four times their spread, and a class of which a third starves is found out
# within some fifteen requests.
_SHARE_WEIGHT = 0.02
_CAUSE_SHARE = 0.08
_REMEMBERED = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Child:
    """Calls of a class to a service."""

    service: str
    class_name: str


class CallOriginTracker:
    """Beside which services requests of a class enter."""

    def __init__(self) -> None:
        self._heard: dict[str, collections.Counter[str]] = {}

    def record(self, class_name: str, origin_service: str) -> None:
        """Counts a request."""
        counter = self._heard.get(class_name)
        if counter is None:
            counter = self._heard[class_name] = collections.Counter()
        counter[origin_service] += 1

    def is_new_work(self, class_name: str, services: int) -> bool:
        """Whether requests of a class come from callers.

        Unknown ones count as paid for: refusing those by level would fail
        requests that other layers have worked on.

        Args:
            class_name: The class.
            services: How many services there are.
        """
        counter = self._heard.get(class_name)
        if counter is None or counter.total() < _LEAST_HEARD:
            return False
        return len(counter) >= max(2.0, _NEW_WORK_SHARE * services)


class StarvationTracker:
    """Which classes at this node's backend server depend on which calls."""

    def __init__(self) -> None:
        # When calls were last refused for want of room, oldest first.
        self._refused: collections.deque[tuple[float, Child]] = (
            collections.deque(maxlen=_REMEMBERED)
        )
        self._shares: dict[str, dict[Child, float]] = {}

    def record_refusal(self, child: Child, now_s: float) -> None:
        """Notes that a call of the backend server found no room."""
        self._refused.append((now_s, child))

    def record_end(
        self, class_name: str, started_s: float, failed: bool
    ) -> bool:
        """Learns from the end of a request at the backend server.

        Returns:
            Whether it failed, and calls found no room while it ran.
        """
        suspects: set[Child] = set()
        if failed:
            suspects = {c for at_s, c in self._refused if at_s >= started_s}
        shares = self._shares.setdefault(class_name, {})
        for child in suspects - shares.keys():
            shares[child] = 0.0
        for child, share in shares.items():
            sample = 1.0 if child in suspects else 0.0
            shares[child] = share + _SHARE_WEIGHT * (sample - share)
        return bool(suspects)

    def causes(self, class_name: str) -> list[Child]:
        """Returns the calls on which a class depends, as far as is known."""
        shares = self._shares.get(class_name, {})
        return [
            child for child, share in shares.items() if share > _CAUSE_SHARE
        ]
