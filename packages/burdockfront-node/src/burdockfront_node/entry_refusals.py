"""Counts and samples of requests that an entry refused for overload.

Under overload most requests may be refused. Two events for each would cost more
than the refusal itself, and displace all other events from the log. So events
are sampled, and each states how many refusals it stands for.
"""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Iterator

from prometheus_client import core

from burdockfront import outcomes
from burdockfront import timeline

# Up to four events per second and class.
_INTERVAL_S = 0.25


@dataclasses.dataclass(slots=True)
class Refusal:
    """A refused request, as its event describes it.

    Attributes:
        request_id: Id of the request.
        class_name: Class of the request, the name of its route.
        service: Requested service.
        answer: The refusal.
        routes_version: Version of the route table that decided.
        arrived_s: Monotonic time at which the request arrived.
    """

    request_id: str
    class_name: str
    service: str
    answer: outcomes.Answer
    routes_version: int
    arrived_s: float


@dataclasses.dataclass(slots=True)
class _Pending:
    """Refusals of one class since its last event.

    Attributes:
        latest: The latest of them.
        count: Their number.
    """

    latest: Refusal
    count: int = 0


class EntryRefusals:
    """Refusals of one node.

    Args:
        recorder: Receives the sampled events.

    Attributes:
        counts: Refusals since the start, by class and reason. Classes are
            names of routes, so their number is bounded.
    """

    def __init__(self, recorder: timeline.Recorder):
        self.counts: collections.Counter[tuple[str, outcomes.Reason]]
        self.counts = collections.Counter()
        self._recorder = recorder
        # By class, for each class with an event in the last interval.
        self._pending: dict[str, _Pending] = {}

    def record(self, refusal: Refusal) -> None:
        """Records an event for a refusal, or leaves it to a later event."""
        pending = self._pending.get(refusal.class_name)
        if pending is None:
            self._pending[refusal.class_name] = _Pending(refusal)
            self._write(refusal, 1)
            self._schedule(refusal.class_name)
        else:
            pending.latest = refusal
            pending.count += 1

    def metrics(self) -> Iterator[core.Metric]:
        """Yields the refusals by class and reason."""
        family = core.CounterMetricFamily(
            "burdockfront_entry_refused",
            "requests of callers refused for overload",
            labels=["class", "reason"],
        )
        for (class_name, reason), count in sorted(self.counts.items()):
            family.add_metric([class_name, reason], count)
        yield family

    def _schedule(self, class_name: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_INTERVAL_S, self._end_interval, class_name)

    def _end_interval(self, class_name: str) -> None:
        """Records an event for the refusals without one, if there are any."""
        pending = self._pending.pop(class_name)
        if pending.count:
            self._pending[class_name] = _Pending(pending.latest)
            self._write(pending.latest, pending.count)
            self._schedule(class_name)

    def _write(self, refusal: Refusal, count: int) -> None:
        """Records the event that otherwise ends a single request."""
        answer = refusal.answer
        self._recorder.record(
            time.time(),
            "entry.answered",
            refusal.request_id,
            service=refusal.service,
            class_name=refusal.class_name,
            outcome=answer.outcome,
            reason=answer.reason or "",
            status=answer.status,
            trail=[],
            starved=False,
            routes=refusal.routes_version,
            retry_after_s=answer.retry_after_s,
            elapsed_s=round(time.monotonic() - refusal.arrived_s, 4),
            count=count,
        )
