"""Latency histograms, fed by the events of the time line.

Every request ends in an event that says how long it took and what became of it,
so nothing else has to be measured on the way.
"""

import prometheus_client

from burdockfront import timeline

# From the fastest call of a service to the longest that a caller waits.
_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Latencies:
    """Histograms of one process.

    Attributes:
        entry_s: From a caller's request to its final answer.
        backend_s: From a hand-over to the backend server's answer.
    """

    def __init__(self) -> None:
        self.entry_s = _histogram(
            "entry_seconds", "From a caller's request to its final answer."
        )
        self.backend_s = _histogram(
            "backend_seconds", "From hand-over to the backend server's answer."
        )
        self._entry_by = _ByOutcome(self.entry_s)
        self._backend_by = _ByOutcome(self.backend_s)

    def observe(self, event: timeline.Event) -> None:
        """Takes an event, if it ends a request."""
        detail = event.detail
        if event.kind == "entry.answered":
            self._entry_by.of(detail["outcome"]).observe(detail["elapsed_s"])
        elif event.kind == "call.answered":
            self._backend_by.of(detail["outcome"]).observe(detail["service_s"])

    def all(self) -> list[prometheus_client.Histogram]:
        """Returns all histograms."""
        return [self.entry_s, self.backend_s]


class _ByOutcome:
    """The histograms of one name, found without the library's lock."""

    def __init__(self, histogram: prometheus_client.Histogram):
        self._histogram = histogram
        self._known: dict[str, prometheus_client.Histogram] = {}

    def of(self, outcome: str) -> prometheus_client.Histogram:
        """Returns the histogram of an outcome."""
        found = self._known.get(outcome)
        if found is None:
            found = self._known[outcome] = self._histogram.labels(outcome)
        return found


def _histogram(name: str, text: str) -> prometheus_client.Histogram:
    """Returns a histogram that belongs to no registry yet."""
    return prometheus_client.Histogram(
        f"burdockfront_{name}",
        text,
        ["outcome"],
        buckets=_BOUNDS_S,
        registry=None,
    )
