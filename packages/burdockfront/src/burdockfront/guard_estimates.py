"""Latency, failure and size estimates for guards and request classes.

Backend servers of one service differ in speed by a factor of two or more, and
some fail a part of their requests while their health checks pass. A router
therefore estimates, for each server, its answer time relative to the typical
time of the request class and the share of its requests that fail. For each
class it also estimates how many bytes a call and its answer have.

From these estimates follows the probability of a useful answer: one that
arrives at all, and within its time limit. Answer times of one class are
modelled by a log-logistic distribution around the expected time, whose tail
beyond the limit is the share of late answers. A faster server therefore gains
little where answers are far from their limit: while they take a third of the
allowed time, a server twice as fast gains one answer in a hundred.
"""

import dataclasses

# Weights of a new sample in the moving averages.
_TYPICAL_WEIGHT = 0.02
_LATENCY_WEIGHT = 0.1
# Leaves an error of 0.06 in the estimate for a server that refuses half of its
# requests.
_FAILURE_WEIGHT = 0.03
# A server that is avoided for its failures gets no requests that could show its
# recovery. Its failure rate is therefore kept for the first period without a
# sample, and decays to zero over the second.
_FAILURE_KEPT_S = 2.0
_FAILURE_DECAY_S = 5.0
_BYTES_WEIGHT = 0.1
# Caps outliers: one answer in a thousand takes many times the typical time, and
# says little about the server.
_MAX_SAMPLE = 4.0
# Shape of the log-logistic distribution of answer times: the standard deviation
# of the logarithm is 0.45, between steady work (0.3) and highly variable work
# (0.8).
_SHAPE = 4.0
# For a class without samples: a short answer with its headers.
_DEFAULT_KB = 1.0


@dataclasses.dataclass(slots=True)
class _FailureRate:
    """Share of a server's requests that fail, and when it was last updated."""

    share: float = 0.0
    at_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _ClassEstimate:
    """Typical answer time and size of calls of one class to one service."""

    typical_s: float = 0.0
    kb: float = _DEFAULT_KB


class GuardEstimates:
    """A router's estimates for guards and request classes."""

    def __init__(self) -> None:
        self._classes: dict[tuple[str, str], _ClassEstimate] = {}
        self._relative_latencies: dict[str, float] = {}
        self._failure_rates: dict[str, _FailureRate] = {}

    def record_answer(
        self,
        service: str,
        node_id: str,
        class_name: str,
        elapsed_s: float,
        now_s: float,
        pace: float = 1.0,
    ) -> None:
        """Updates the estimates with a successful answer.

        The expected time to an answer is the learned time multiplied by the
        current pace, so a slowdown that the pace shows must not be learned as
        well. Only a part of the elapsed time grows with the pace, as nested
        calls run elsewhere. At the usual pace the answer would have taken
        between `elapsed_s / pace` and `elapsed_s`; the estimate moves only if
        it is outside of this range.

        Args:
            service: The service that was called.
            node_id: The guard.
            class_name: Class of the request.
            elapsed_s: Time to the answer.
            now_s: The current time.
            pace: Pace of the backend server that came with the answer.
        """
        if node_id in self._failure_rates:
            self._update_failure_rate(node_id, 0.0, now_s)
        estimate = self._class_of(service, class_name)
        typical_s = estimate.typical_s
        if typical_s <= 0.0:
            estimate.typical_s = elapsed_s
            return
        sample = elapsed_s / typical_s
        if sample > _MAX_SAMPLE:
            sample = _MAX_SAMPLE
        previous = self._relative_latencies.get(node_id)
        if pace > 1.0:
            elapsed_s = min(elapsed_s, max(elapsed_s / pace, typical_s))
            expected = 1.0 if previous is None else previous
            sample = min(sample, max(sample / pace, expected))
        estimate.typical_s += _TYPICAL_WEIGHT * (elapsed_s - typical_s)
        if previous is None:
            previous = sample
        self._relative_latencies[node_id] = previous + _LATENCY_WEIGHT * (
            sample - previous
        )

    def record_timeout(
        self, service: str, node_id: str, class_name: str, elapsed_s: float
    ) -> None:
        """Updates the latency of a guard whose answer timed out.

        Without these samples, a server that never answers in time would keep
        the latency of its last answer.

        Args:
            service: The service that was called.
            node_id: The guard.
            class_name: Class of the request.
            elapsed_s: How long the caller waited.
        """
        typical_s = self.typical_s(service, class_name)
        if typical_s <= 0.0:
            return
        sample = min(_MAX_SAMPLE, elapsed_s / typical_s)
        previous = self._relative_latencies.get(node_id, 1.0)
        if sample > previous:
            self._relative_latencies[node_id] = previous + _LATENCY_WEIGHT * (
                sample - previous
            )

    def record_size(self, service: str, class_name: str, kb: float) -> None:
        """Updates the size of a class with the kilobytes of one call."""
        estimate = self._class_of(service, class_name)
        estimate.kb += _BYTES_WEIGHT * (kb - estimate.kb)

    def record_failure(self, node_id: str, now_s: float) -> None:
        """Updates the failure rate after a refusal or a lost answer."""
        self._update_failure_rate(node_id, 1.0, now_s)

    def typical_s(self, service: str, class_name: str) -> float:
        """Returns the typical answer time of a class; 0 while unknown."""
        estimate = self._classes.get((service, class_name))
        return estimate.typical_s if estimate else 0.0

    def kb_of(self, service: str, class_name: str) -> float:
        """Returns the kilobytes of a call of a class and its answer."""
        estimate = self._classes.get((service, class_name))
        return estimate.kb if estimate else _DEFAULT_KB

    def relative_latency(self, node_id: str) -> float:
        """Returns a server's answer time relative to the typical time."""
        return self._relative_latencies.get(node_id, 1.0)

    def failure_rate(self, node_id: str, now_s: float) -> float:
        """Returns the estimated share of a server's requests that fail."""
        estimate = self._failure_rates.get(node_id)
        if estimate is None:
            return 0.0
        decaying_s = now_s - estimate.at_s - _FAILURE_KEPT_S
        if decaying_s <= 0.0:
            return estimate.share
        return estimate.share * max(0.0, 1.0 - decaying_s / _FAILURE_DECAY_S)

    def success_probability(
        self, node_id: str, expected_s: float, limit_s: float, now_s: float
    ) -> float:
        """Returns the probability that a server answers within a time limit.

        Args:
            node_id: The guard beside the server.
            expected_s: Expected time to the answer, including waiting.
            limit_s: Time after which the answer has little or no value.
            now_s: The current time.
        """
        late = 1.0
        if limit_s > 0.0:
            late = 1.0 / (1.0 + (limit_s / max(expected_s, 1e-6)) ** _SHAPE)
        return (1.0 - self.failure_rate(node_id, now_s)) * (1.0 - late)

    def forget(self, node_id: str) -> None:
        """Drops the estimates for a guard that has left."""
        self._relative_latencies.pop(node_id, None)
        self._failure_rates.pop(node_id, None)

    def _update_failure_rate(
        self, node_id: str, sample: float, now_s: float
    ) -> None:
        share = self.failure_rate(node_id, now_s)
        share += _FAILURE_WEIGHT * (sample - share)
        self._failure_rates[node_id] = _FailureRate(share, now_s)

    def _class_of(self, service: str, class_name: str) -> _ClassEstimate:
        estimate = self._classes.get((service, class_name))
        if estimate is None:
            estimate = self._classes[(service, class_name)] = _ClassEstimate()
        return estimate
