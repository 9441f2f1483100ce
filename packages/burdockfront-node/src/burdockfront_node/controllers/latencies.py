"""Latency histograms, fed by the events of the time line.

Every request ends in an event with its duration and outcome, so no further
measurements are needed. Counts are plain numbers here, and are converted to the
metrics library's types when metrics are collected: the library's own histograms
take a lock for each observation, a tenth of the total cost of an event.
"""

import bisect
from collections.abc import Iterator

from prometheus_client import core

from burdockfront import timeline

# From the fastest call of a service to the longest wait of a caller.
_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
_NAMES = (*(str(bound_s) for bound_s in _BOUNDS_S), "+Inf")


class Latencies:
    """Latency histograms of one process.

    Attributes:
        entry_s: Time from a caller's request to its final answer.
        backend_s: Time from hand-over to the backend server's answer.
    """

    def __init__(self) -> None:
        self.entry_s = Histogram(
            "entry_seconds", "From a caller's request to its final answer."
        )
        self.backend_s = Histogram(
            "backend_seconds", "From hand-over to the backend server's answer."
        )

    def observe(self, event: timeline.Event) -> None:
        """Records the latency if the event ends a request."""
        detail = event.detail
        if event.kind == "entry.answered":
            outcome, elapsed_s = detail["outcome"], detail["elapsed_s"]
            if "count" in detail:
                # A sampled event stands for several requests.
                self.entry_s.observe(outcome, elapsed_s, detail["count"])
            else:
                self.entry_s.observe(outcome, elapsed_s)
        elif event.kind == "call.answered":
            self.backend_s.observe(detail["outcome"], detail["service_s"])

    def all(self) -> list["Histogram"]:
        """Returns all histograms."""
        return [self.entry_s, self.backend_s]


class Histogram:
    """Histogram of durations, by outcome.

    Args:
        name: Name of the metric, without the product's prefix.
        text: Help text of the metric.
    """

    def __init__(self, name: str, text: str):
        self._name = f"burdockfront_{name}"
        self._text = text
        self._counts: dict[str, list[int]] = {}
        self._sums_s: dict[str, float] = {}

    def observe(self, outcome: str, elapsed_s: float, count: int = 1) -> None:
        """Adds a duration that was observed a number of times."""
        counts = self._counts.get(outcome)
        if counts is None:
            counts = self._counts[outcome] = [0] * len(_NAMES)
            self._sums_s[outcome] = 0.0
        counts[bisect.bisect_left(_BOUNDS_S, elapsed_s)] += count
        self._sums_s[outcome] += count * elapsed_s

    def collect(self) -> Iterator[core.Metric]:
        """Yields the histogram as a type of the metrics library."""
        family = core.HistogramMetricFamily(
            self._name, self._text, labels=["outcome"]
        )
        for outcome, counts in self._counts.items():
            buckets = []
            total = 0
            for name, count in zip(_NAMES, counts, strict=True):
                total += count
                buckets.append((name, float(total)))
            family.add_metric([outcome], buckets, self._sums_s[outcome])
        yield family
