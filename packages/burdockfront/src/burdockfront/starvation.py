"""Infers which request classes fail because a downstream service is overloaded.

A backend server that is not aware of this system makes calls of its own, and
such a call does not identify the request that it is made for. Overload has to
be handled where whole requests enter the system: a call that is refused by a
deep service fails a request that has already cost work in every layer above,
and one such call in eight is enough to fail it.

Two properties are inferred from traffic that a node handles anyway:

* `CallOriginTracker`, at a guard: whether requests of a class are new work from
  callers or calls of other backend servers. Requests of callers enter at the
  nodes of every service, while the calls of a backend server enter at the
  nodes of its own service only.
* `StarvationTracker`, at a node: which classes fail while calls of the node's
  backend server are refused because of overload. A class that fails at such
  times more often than by chance depends on those calls, and new requests of
  the class are then subject to the level of the called service.
"""

import collections
import dataclasses

# With fewer requests the origin of a class is considered unknown.
_MIN_REQUESTS = 20
# New work enters at the nodes of at least this share of the services.
_NEW_WORK_SHARE = 0.6
# Two in a hundred requests may fail for unrelated reasons while calls of other
# requests are refused. With this weight such coincidences stay below
# `_CAUSE_SHARE` by four standard deviations, and a class of which a third of
# the requests starve is detected within about fifteen requests.
_SHARE_WEIGHT = 0.02
_CAUSE_SHARE = 0.08
_MAX_REFUSALS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Child:
    """Downstream calls of one class to one service."""

    service: str
    class_name: str


class CallOriginTracker:
    """Counts at the nodes of which services the requests of a class enter."""

    def __init__(self) -> None:
        self._entries: dict[str, collections.Counter[str]] = {}
        self._totals: dict[str, int] = {}

    def record(self, class_name: str, origin_service: str) -> None:
        """Counts a request that entered at a node of `origin_service`."""
        counter = self._entries.get(class_name)
        if counter is None:
            counter = self._entries[class_name] = collections.Counter()
            self._totals[class_name] = 0
        counter[origin_service] += 1
        self._totals[class_name] += 1

    def is_new_work(self, class_name: str, services: int) -> bool:
        """Whether requests of a class come from callers.

        A class of unknown origin counts as calls of backend servers: refusing
        those by level would fail requests that other layers have worked on.

        Args:
            class_name: The class.
            services: Number of services in the system.
        """
        counter = self._entries.get(class_name)
        if counter is None or self._totals[class_name] < _MIN_REQUESTS:
            return False
        origins = len(counter)
        return origins >= 2 and origins >= _NEW_WORK_SHARE * services


class StarvationTracker:
    """Tracks which downstream calls each class of the backend server needs."""

    def __init__(self) -> None:
        # Times of the latest calls refused because of overload, oldest first.
        self._refusals: collections.deque[tuple[float, Child]] = (
            collections.deque(maxlen=_MAX_REFUSALS)
        )
        self._shares: dict[str, dict[Child, float]] = {}

    def record_refusal(self, child: Child, now_s: float) -> None:
        """Records that a call of the backend server was refused by overload."""
        self._refusals.append((now_s, child))

    def record_end(
        self, class_name: str, started_s: float, failed: bool
    ) -> bool:
        """Records the end of a request at the backend server.

        Returns:
            Whether the request failed and calls were refused because of
            overload while it ran.
        """
        suspects: set[Child] = set()
        if failed:
            suspects = {c for at_s, c in self._refusals if at_s >= started_s}
        shares = self._shares.setdefault(class_name, {})
        for child in suspects - shares.keys():
            shares[child] = 0.0
        for child, share in shares.items():
            sample = 1.0 if child in suspects else 0.0
            shares[child] = share + _SHARE_WEIGHT * (sample - share)
        return bool(suspects)

    def causes(self, class_name: str) -> list[Child]:
        """Returns the calls that a class is known to depend on."""
        shares = self._shares.get(class_name, {})
        return [
            child for child, share in shares.items() if share > _CAUSE_SHARE
        ]
