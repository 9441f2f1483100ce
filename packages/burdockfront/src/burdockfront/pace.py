"""How fast the backend servers of a service are, and who is in a hurry.

Backend servers of one service differ in speed by a factor of two or more. It
matters only where time runs out: callers of a data centre whose servers are the
slow ones may miss their time limit on every deep request while all is well
elsewhere. So a router keeps, for each server, how long its answers take beside
what is typical for the class of request, and for each service how many answers
come too late. While few do, work stays near; the more do, the more speed
counts.

Answers are also late where a service has no room, here or below, and then they
are late everywhere: a quick server far away is no quicker, and hurrying there
only costs ways. So the more answers come from under pressure, the less hurry
counts.

A server that was not tried yet is taken for a quick one in proportion to the
hurry, or nobody would ever find out.
"""

import dataclasses

_TYPICAL_WEIGHT = 0.02
_SPEED_WEIGHT = 0.1
# One answer in a thousand takes many times the usual; it says little.
_MOST_SAMPLE = 4.0
_LATE_WEIGHT = 0.02
# From this share of late answers on speed counts fully.
_FULL_HURRY = 0.03
# From this share of answers from under pressure on it doesn't count at all. One
# in ten is far above what a short burst leaves in the mean, and far below
# overload, where nearly all are.
_FULL_PRESSURE = 0.1
_UNTRIED_IN_HURRY = 0.5


@dataclasses.dataclass(slots=True)
class _Service:
    late_share: float = 0.0
    pressed_share: float = 0.0
    typical_s: dict[str, float] = dataclasses.field(default_factory=dict)


class PaceBook:
    """What one router learned of speeds."""

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._relative: dict[str, float] = {}

    def answered(
        self, service: str, node_id: str, class_name: str, elapsed_s: float
    ) -> None:
        """Learns from a good answer."""
        known = self._services.setdefault(service, _Service())
        typical_s = known.typical_s.get(class_name)
        if typical_s is None or typical_s <= 0.0:
            known.typical_s[class_name] = elapsed_s
            return
        sample = min(_MOST_SAMPLE, elapsed_s / typical_s)
        known.typical_s[class_name] += _TYPICAL_WEIGHT * (elapsed_s - typical_s)
        before = self._relative.get(node_id, sample)
        self._relative[node_id] = before + _SPEED_WEIGHT * (sample - before)

    def failed(self, node_id: str) -> None:
        """Learns that a server refused, or that its answer was lost.

        It counts as the slowest answer there is: a server that fails a part
        of its requests while it looks healthy is avoided like a slow one, in
        proportion to the part.
        """
        before = self._relative.get(node_id, 1.0)
        self._relative[node_id] = before + _SPEED_WEIGHT * (
            _MOST_SAMPLE - before
        )

    def in_time(self, service: str, late: bool) -> None:
        """Learns whether an answer, of whatever kind, was in time."""
        known = self._services.setdefault(service, _Service())
        sample = 1.0 if late else 0.0
        known.late_share += _LATE_WEIGHT * (sample - known.late_share)

    def pressure(self, service: str, pressed: bool) -> None:
        """Learns whether an answer came from under pressure."""
        known = self._services.setdefault(service, _Service())
        sample = 1.0 if pressed else 0.0
        known.pressed_share += _LATE_WEIGHT * (sample - known.pressed_share)

    def hurry(self, service: str) -> float:
        """Returns how much speed counts, from 0 to 1."""
        known = self._services.get(service)
        if known is None:
            return 0.0
        calm = max(0.0, 1.0 - known.pressed_share / _FULL_PRESSURE)
        return calm * min(1.0, known.late_share / _FULL_HURRY)

    def typical_s(self, service: str, class_name: str) -> float:
        """Returns how long answers of a class take; 0 while unknown."""
        known = self._services.get(service)
        return known.typical_s.get(class_name, 0.0) if known else 0.0

    def relative(self, service: str, node_id: str) -> float:
        """Returns the time of a server's answers beside what is typical."""
        known = self._relative.get(node_id)
        if known is not None:
            return known
        return 1.0 - (1.0 - _UNTRIED_IN_HURRY) * self.hurry(service)

    def forget(self, node_id: str) -> None:
        """Drops what is known of a server that is gone."""
        self._relative.pop(node_id, None)
