"""HTTP endpoint for metrics in the Prometheus text format.

Counters are plain integers where they are counted (see `metrics`) and are
converted to text on each request. Latency is kept in histograms.
"""

from collections.abc import Callable
from collections.abc import Iterator

import prometheus_client
from prometheus_client import core
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from burdockfront_node.controllers import latencies as latencies_lib
from burdockfront_node.controllers import metrics as metrics_lib
from burdockfront_node.internal import event_log

PATH = "/metrics"
_PREFIX = "burdockfront_"


class Exposition:
    """The application on the metrics port.

    Args:
        metrics: Counters and gauges.
        latencies: Latency histograms.
        log: Counts the log lines that it dropped.
        more: Yields further metrics.
    """

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        latencies: latencies_lib.Latencies,
        log: event_log.EventLog,
        more: Callable[[], Iterator[core.Metric]],
    ):
        self._more = more
        self._metrics = metrics
        self._log = log
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)
        for histogram in latencies.all():
            self._registry.register(histogram)
        self.app = applications.Starlette(
            routes=[routing.Route(PATH, self._serve)]
        )

    def collect(self) -> Iterator[core.Metric]:
        """Yields the current counters and gauges."""
        for name, value in self._metrics.counters().items():
            yield core.CounterMetricFamily(_name(name), name, value=value)
        for name, amount in self._metrics.gauges().items():
            yield core.GaugeMetricFamily(_name(name), name, value=amount)
        yield core.CounterMetricFamily(
            _name("log.dropped"), "log lines left out", value=self._log.dropped
        )
        yield from self._more()

    async def _serve(self, request: requests.Request) -> responses.Response:
        text = prometheus_client.generate_latest(self._registry)
        return responses.Response(
            text, media_type=prometheus_client.CONTENT_TYPE_PLAIN_0_0_4
        )


def _name(dotted: str) -> str:
    return _PREFIX + dotted.replace(".", "_").replace("-", "_")
