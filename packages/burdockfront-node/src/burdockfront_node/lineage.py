"""Relates the calls of backend servers that are unaware of this system.

Where backend servers do not propagate request contexts, each node infers from
its traffic which requests are new work, and which classes of requests fail
because a downstream service is overloaded (see `burdockfront.starvation`). The
overloaded service is added to the path of such a class, so new requests of the
class are refused according to that service's level before any work is done for
them.
"""

import dataclasses
import time
from collections.abc import Callable

from burdockfront import call_correlation
from burdockfront import context as context_lib
from burdockfront import levels
from burdockfront import outcomes
from burdockfront import starvation
from burdockfront import transfer_costs
from burdockfront_client import calls

_SERVER_ERROR = 500
_OVERLOAD_REASONS = frozenset(
    [
        outcomes.Reason.OVERLOAD,
        outcomes.Reason.LIMITED,
        outcomes.Reason.SHED,
        outcomes.Reason.OVERLOAD_DEEPER,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.REJECTED,
    ]
)


class Lineage:
    """Infers origins, costs and downstream dependencies at one node.

    Args:
        level_tracker: Levels of other services and the paths that lead to them.
        services: Returns the number of services in the system.
    """

    def __init__(
        self, level_tracker: levels.LevelTracker, services: Callable[[], int]
    ):
        self._level_tracker = level_tracker
        self._services = services
        self._origins = starvation.CallOriginTracker()
        self._starvation = starvation.StarvationTracker()
        self._transfer_costs = transfer_costs.TransferCostTracker(
            time.monotonic()
        )
        self._new_work: set[str] = set()
        self._correlator = call_correlation.CallCorrelator()
        # Waiting times of the calls of each attempt at the backend server.
        self._waited_s: dict[str, float] = {}

    def is_new_work(self, class_name: str) -> bool:
        """Whether guards reported that requests of a class are new work."""
        return class_name in self._new_work

    def classify(self, attempt: calls.Attempt) -> calls.Attempt:
        """Marks an attempt that arrives at the guard as new work or a call."""
        class_name = attempt.context.class_name
        if attempt.context.parent:
            # A node knows the request that it is made for, so it is a call.
            return attempt
        self._origins.record(class_name, attempt.call.origin_service)
        new = self._origins.is_new_work(class_name, self._services())
        depth = 0 if new else 1
        if attempt.context.depth == depth:
            return attempt
        context = dataclasses.replace(attempt.context, depth=depth)
        return dataclasses.replace(attempt, context=context)

    def parent_of(self, request_id: str) -> context_lib.RequestContext | None:
        """Returns the request that a call is made for, or None if unknown."""
        return self._correlator.parent_of(request_id)

    def transfer_cost_of(self, class_name: str) -> float:
        """Returns the far kilobytes of the calls below a request of a class."""
        return self._transfer_costs.kb_per_request(class_name)

    def on_run_start(self, attempt: calls.Attempt, now_s: float) -> None:
        """Records that a request is handed to the backend server."""
        self._correlator.add(attempt.context)
        self._waited_s[attempt.context.attempt_id] = 0.0
        self._transfer_costs.record_start(attempt.context.class_name, now_s)

    def on_run_end(self, attempt: calls.Attempt, now_s: float) -> float:
        """Records that a request at the backend server is no longer awaited.

        Returns:
            How long its calls waited for slots.
        """
        self._correlator.remove(attempt.context)
        self._transfer_costs.record_end(attempt.context.class_name, now_s)
        return self._waited_s.pop(attempt.context.attempt_id, 0.0)

    def on_run_answer(
        self, attempt: calls.Attempt, started_s: float, answer: outcomes.Answer
    ) -> outcomes.Answer:
        """Records the answer to a request and marks it if it was starved."""
        class_name = attempt.context.class_name
        timed_out = answer.reason is outcomes.Reason.DEADLINE
        failed = answer.status >= _SERVER_ERROR and (
            answer.outcome is outcomes.Outcome.DONE or timed_out
        )
        starved = self._starvation.record_end(class_name, started_s, failed)
        for child in self._starvation.causes(class_name):
            self._level_tracker.record_call(
                class_name, child.service, time.monotonic(), child.class_name
            )
        return dataclasses.replace(answer, starved=True) if starved else answer

    def on_call_answer(self, call: calls.Call, answer: outcomes.Answer) -> None:
        """Records the final answer to a call that this node sent."""
        class_name = call.context.class_name
        if call.parent_class:
            self._on_linked_call_answer(call, answer)
            return
        if answer.nested_call:
            self._new_work.discard(class_name)
        elif answer.load is not None:
            # Only a guard sets the load; answers made at this node do not show
            # whether the class is new work.
            self._new_work.add(class_name)
        if class_name not in self._new_work:
            self._transfer_costs.record_call(answer.far_kb, time.monotonic())
        overloaded = answer.reason in _OVERLOAD_REASONS or answer.starved
        if overloaded and class_name not in self._new_work:
            child = starvation.Child(call.service, class_name)
            self._starvation.record_refusal(child, time.monotonic())

    def _on_linked_call_answer(
        self, call: calls.Call, answer: outcomes.Answer
    ) -> None:
        """Records the answer to a call whose parent request is known."""
        now_s = time.monotonic()
        class_name = call.context.class_name
        parent = call.context.parent
        if answer.queue_s > 0.0 and parent in self._waited_s:
            self._waited_s[parent] += answer.queue_s
        self._new_work.discard(class_name)
        self._transfer_costs.record_call_of(
            call.parent_class, answer.far_kb, now_s
        )
        self._level_tracker.record_call(
            call.parent_class, call.service, now_s, class_name
        )
        if answer.reason in _OVERLOAD_REASONS or answer.starved:
            child = starvation.Child(call.service, class_name)
            self._starvation.record_refusal(child, now_s)
