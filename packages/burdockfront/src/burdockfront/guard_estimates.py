"""How likely a guard's answer comes in time, and what the way there moves.

Backend servers of one service differ in speed by a factor of two or more, and
some fail a part of their requests while they look healthy. So a router keeps,
for each server, how long its answers take beside what is typical for the class
of request and which part of its requests fail, and for each class how many
bytes a call and its answer have.

From these follows the chance that an answer is of full value: that it comes at
all, and before its time limit. Times of one class are spread; the part that
takes longer than a limit is that of a log-logistic distribution around the
expected time. Speed that is not needed is worth nothing: while answers take a
third of what they may, a server twice as quick gains one answer in a hundred.
"""

import dataclasses

_TYPICAL_WEIGHT = 0.02
_SPEED_WEIGHT = 0.1
# The share that is found is off by 0.06 where a server refuses half.
_FAILING_WEIGHT = 0.03
# A server that is avoided for its failures is not heard of; what was believed
# of it fades, or nobody would find out that it is well again.
_FAILING_BELIEVED_S = 2.0
_FAILING_FADES_S = 5.0
_BYTES_WEIGHT = 0.1
# One answer in a thousand takes many times the usual; it says little.
_MOST_SAMPLE = 4.0
# Shape of the distribution of times: the logarithm deviates by 0.45, between
# steady work (0.3) and work that varies a lot (0.8).
_SHAPE = 4.0
# Before a class has been seen: a short answer with its headers.
_USUAL_KB = 1.0


@dataclasses.dataclass(slots=True)
class _Failing:
    """The part of a server's requests that fail, when it was last learned."""

    share: float = 0.0
    at_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Class:
    """What calls of one class to one service are like."""

    typical_s: float = 0.0
    kb: float = _USUAL_KB


class GuardEstimates:
    """What one router learned of guards and classes."""

    def __init__(self) -> None:
        self._classes: dict[tuple[str, str], _Class] = {}
        self._relative: dict[str, float] = {}
        self._failing: dict[str, _Failing] = {}

    def record_answer(
        self,
        service: str,
        node_id: str,
        class_name: str,
        elapsed_s: float,
        now_s: float,
    ) -> None:
        """Learns from a good answer."""
        if node_id in self._failing:
            self._learn_failing(node_id, 0.0, now_s)
        known = self._class_of(service, class_name)
        typical_s = known.typical_s
        if typical_s <= 0.0:
            known.typical_s = elapsed_s
            return
        sample = min(_MOST_SAMPLE, elapsed_s / typical_s)
        known.typical_s += _TYPICAL_WEIGHT * (elapsed_s - typical_s)
        before = self._relative.get(node_id, sample)
        self._relative[node_id] = before + _SPEED_WEIGHT * (sample - before)

    def record_timeout(
        self, service: str, node_id: str, class_name: str, elapsed_s: float
    ) -> None:
        """Learns that an answer was given up after so long.

        Without this a server that never answers in time would look no slower
        than it was when it last did.
        """
        typical_s = self.typical_s(service, class_name)
        if typical_s <= 0.0:
            return
        sample = min(_MOST_SAMPLE, elapsed_s / typical_s)
        before = self._relative.get(node_id, 1.0)
        if sample > before:
            self._relative[node_id] = before + _SPEED_WEIGHT * (sample - before)

    def record_size(self, service: str, class_name: str, kb: float) -> None:
        """Learns how many kilobytes a call and its answer had."""
        known = self._class_of(service, class_name)
        known.kb += _BYTES_WEIGHT * (kb - known.kb)

    def record_failure(self, node_id: str, now_s: float) -> None:
        """Learns that a server refused, or that its answer was lost."""
        self._learn_failing(node_id, 1.0, now_s)

    def typical_s(self, service: str, class_name: str) -> float:
        """Returns how long answers of a class take; 0 while unknown."""
        known = self._classes.get((service, class_name))
        return known.typical_s if known else 0.0

    def kb_of(self, service: str, class_name: str) -> float:
        """Returns how many kilobytes a call of a class and its answer have."""
        known = self._classes.get((service, class_name))
        return known.kb if known else _USUAL_KB

    def relative_latency(self, node_id: str) -> float:
        """Returns the time of a server's answers beside what is typical."""
        return self._relative.get(node_id, 1.0)

    def failure_rate(self, node_id: str, now_s: float) -> float:
        """Returns the part of a server's requests that fail, about."""
        known = self._failing.get(node_id)
        if known is None:
            return 0.0
        faded_s = now_s - known.at_s - _FAILING_BELIEVED_S
        if faded_s <= 0.0:
            return known.share
        return known.share * max(0.0, 1.0 - faded_s / _FAILING_FADES_S)

    def success_probability(
        self, node_id: str, expected_s: float, limit_s: float, now_s: float
    ) -> float:
        """Returns how likely an answer of a server comes, and in time.

        Args:
            node_id: The guard beside the server.
            expected_s: How long an answer will take, waiting and all.
            limit_s: After this it is of little value, or of none.
            now_s: The current time.
        """
        late = 1.0
        if limit_s > 0.0:
            late = 1.0 / (1.0 + (limit_s / max(expected_s, 1e-6)) ** _SHAPE)
        return (1.0 - self.failure_rate(node_id, now_s)) * (1.0 - late)

    def forget(self, node_id: str) -> None:
        """Drops what is known of a server that is gone."""
        self._relative.pop(node_id, None)
        self._failing.pop(node_id, None)

    def _learn_failing(self, node_id: str, sample: float, now_s: float) -> None:
        share = self.failure_rate(node_id, now_s)
        share += _FAILING_WEIGHT * (sample - share)
        self._failing[node_id] = _Failing(share, now_s)

    def _class_of(self, service: str, class_name: str) -> _Class:
        known = self._classes.get((service, class_name))
        if known is None:
            known = self._classes[(service, class_name)] = _Class()
        return known
