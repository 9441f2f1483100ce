"""Bytes between data centres that requests cause in the layers below a node.

Transfer between data centres is expensive. Where a deep service is missing or
overloaded in one data centre, every call to it leaves that data centre: eight
calls for one browse request that stayed. If the request is sent to another data
centre at the top, only one call crosses. Each node therefore estimates how many
kilobytes the requests at its backend server cause below, and reports the
estimate on its answers. Routers take the reports into account.

A call does not name the request that it is made for. Known is only which
requests were at the backend server when it made the call. Each call is divided
among them in proportion to the call rate of their class, which is estimated
from the same shares (expectation maximisation for a sum of Poisson streams).
Classes that make no calls lose their shares within seconds, because their
number of requests in flight varies independently of the calls.
"""

import dataclasses
import math

# Time constant of the exponential decay of all sums. Long enough to see each
# class on a node with tens of requests a second; short enough to follow the
# loss and return of a server.
_DECAY_S = 3.0
# Exponent of the call rates when a call is divided. The plain estimate (1.0)
# still assigned two calls to a class without any after 20 s of 70 requests a
# second; above 2.0 the estimate does not converge. With 1.5 the error is below
# a tenth of a call after 8 s, in four random streams of requests.
_OVER_RELAXATION = 1.5
# Reports are considered fresh for this time. Afterwards a guard that is avoided
# for its transfer costs gets requests again; otherwise no router would learn
# that the service below it has recovered.
_REPORT_FRESH_S = 5.0
# Prior for a class with few samples: one call in a tenth of a second.
_PRIOR_CALLS = 1.0
_PRIOR_BUSY_S = 0.1


@dataclasses.dataclass(slots=True)
class _ClassCosts:
    """Decaying sums for one class, and its number of requests in flight."""

    in_flight: int = 0
    busy_s: float = 0.0
    requests: float = 0.0
    calls: float = 0.0
    far_kb: float = 0.0

    def calls_per_s(self) -> float:
        """Returns the call rate of one request of this class in flight."""
        calls = self.calls + _PRIOR_CALLS
        return calls / (self.busy_s + _PRIOR_BUSY_S)


class TransferCostTracker:
    """Estimates the transfer costs of requests at one node's backend server.

    Args:
        now_s: The current time.
    """

    def __init__(self, now_s: float):
        self._classes: dict[str, _ClassCosts] = {}
        self._at_s = now_s

    def record_start(self, class_name: str, now_s: float) -> None:
        """Records that a request is handed to the backend server."""
        self._decay(now_s)
        costs = self._classes.get(class_name)
        if costs is None:
            costs = self._classes[class_name] = _ClassCosts()
        costs.in_flight += 1
        costs.requests += 1.0

    def record_end(self, class_name: str, now_s: float) -> None:
        """Records that the backend server has finished a request."""
        self._decay(now_s)
        costs = self._classes[class_name]
        assert costs.in_flight > 0, "a request ends once"
        costs.in_flight -= 1

    def record_call(self, far_kb: float, now_s: float) -> None:
        """Divides a call of the backend server among the requests in flight.

        Args:
            far_kb: Kilobytes between data centres, of the call and below it.
            now_s: The current time.
        """
        self._decay(now_s)
        in_flight = [
            costs for costs in self._classes.values() if costs.in_flight
        ]
        weights = [
            costs.in_flight * costs.calls_per_s() ** _OVER_RELAXATION
            for costs in in_flight
        ]
        total = sum(weights)
        for costs, weight in zip(in_flight, weights, strict=True):
            share = weight / total
            costs.calls += share
            costs.far_kb += share * far_kb

    def record_call_of(
        self, class_name: str, far_kb: float, now_s: float
    ) -> None:
        """Records a call that is known to be made for a request of a class."""
        self._decay(now_s)
        costs = self._classes.setdefault(class_name, _ClassCosts())
        costs.calls += 1.0
        costs.far_kb += far_kb

    def kb_per_request(self, class_name: str) -> float:
        """Returns the kilobytes that a request of a class causes below."""
        costs = self._classes.get(class_name)
        if costs is None:
            return 0.0
        requests = costs.requests if costs.requests > 1.0 else 1.0
        return costs.far_kb / requests

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._at_s
        if elapsed_s <= 0.0:
            return
        self._at_s = now_s
        kept = math.exp(-elapsed_s / _DECAY_S)
        for costs in self._classes.values():
            costs.busy_s = costs.busy_s * kept + costs.in_flight * elapsed_s
            costs.requests *= kept
            costs.calls *= kept
            costs.far_kb *= kept


@dataclasses.dataclass(slots=True)
class _Report:
    far_kb: float
    at_s: float


class ReportedTransferCosts:
    """Latest transfer costs that guards reported, kept by a router."""

    def __init__(self) -> None:
        self._reports: dict[tuple[str, str], _Report] = {}

    def record_report(
        self, node_id: str, class_name: str, far_kb: float, now_s: float
    ) -> None:
        """Records the kilobytes that a guard reported on an answer."""
        self._reports[(node_id, class_name)] = _Report(far_kb, now_s)

    def kb_of(self, node_id: str, class_name: str, now_s: float) -> float:
        """Returns the reported kilobytes; 0.0 without a fresh report."""
        report = self._reports.get((node_id, class_name))
        if report is None or now_s - report.at_s > _REPORT_FRESH_S:
            return 0.0
        return report.far_kb

    def forget(self, node_id: str) -> None:
        """Drops the reports of a guard that has left."""
        for key in [key for key in self._reports if key[0] == node_id]:
            del self._reports[key]
