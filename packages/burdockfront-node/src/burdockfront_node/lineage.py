"""Ties calls of a backend server that knows nothing of this system together.

Where no context travels through a backend server, each node learns from what
passes through it which requests are new work, and which classes of requests
fail for want of room below (see `burdockfront.starvation`). A class that does
is put on the path of the service in question, so that its new requests are
refused by that service's level, before any work is spent on them.
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
_NO_ROOM = frozenset(
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
    """What one node learned of the requests that pass through it.

    Args:
        book: Levels of other services, and the paths that lead there.
        services: Returns how many services there are.
    """

    def __init__(self, book: levels.LevelTracker, services: Callable[[], int]):
        self._book = book
        self._services = services
        self._origins = starvation.CallOriginTracker()
        self._starvation = starvation.StarvationTracker()
        self._detours = transfer_costs.TransferCostTracker(time.monotonic())
        self._new_work: set[str] = set()
        self._running = call_correlation.CallCorrelator()

    def is_new_work(self, class_name: str) -> bool:
        """Whether guards said that requests of a class are new work."""
        return class_name in self._new_work

    def classify(self, attempt: calls.Attempt) -> calls.Attempt:
        """Says of an attempt that arrives at the guard what kind it is."""
        class_name = attempt.context.class_name
        if attempt.context.parent:
            # A node has seen for whom it is made: a call, beyond doubt.
            return attempt
        self._origins.record(class_name, attempt.call.origin_service)
        new = self._origins.is_new_work(class_name, self._services())
        depth = 0 if new else 1
        if attempt.context.depth == depth:
            return attempt
        context = dataclasses.replace(attempt.context, depth=depth)
        return dataclasses.replace(attempt, context=context)

    def parent_of(self, request_id: str) -> context_lib.RequestContext | None:
        """Returns the request that a call is made for, if its id tells."""
        return self._running.parent_of(request_id)

    def transfer_cost_of(self, class_name: str) -> float:
        """Returns the kilobytes that requests of a class cost below."""
        return self._detours.kb_per_request(class_name)

    def on_run_start(self, attempt: calls.Attempt) -> None:
        """Notes that a request is handed to the backend server."""
        self._running.add(attempt.context)
        self._detours.record_start(attempt.context.class_name, time.monotonic())

    def on_run_end(self, attempt: calls.Attempt) -> None:
        """Notes that nobody waits for a request at the backend server."""
        self._running.remove(attempt.context)
        self._detours.record_end(attempt.context.class_name, time.monotonic())

    def on_run_answer(
        self, attempt: calls.Attempt, started_s: float, answer: outcomes.Answer
    ) -> outcomes.Answer:
        """Learns from the end of a request at the backend server."""
        class_name = attempt.context.class_name
        timed_out = answer.reason is outcomes.Reason.DEADLINE
        failed = answer.status >= _SERVER_ERROR and (
            answer.outcome is outcomes.Outcome.DONE or timed_out
        )
        starved = self._starvation.record_end(class_name, started_s, failed)
        now_s = time.monotonic()
        for child in self._starvation.causes(class_name):
            self._book.record_call(
                class_name, child.service, now_s, child.class_name
            )
        return dataclasses.replace(answer, starved=True) if starved else answer

    def on_call_answer(self, call: calls.Call, answer: outcomes.Answer) -> None:
        """Learns from the final answer to a call that was sent from here."""
        class_name = call.context.class_name
        if call.parent_class:
            self._on_linked_call_answer(call, answer)
            return
        if answer.nested_call:
            self._new_work.discard(class_name)
        elif answer.load is not None:
            # A guard's own word; answers made here say nothing of the kind.
            self._new_work.add(class_name)
        if class_name not in self._new_work:
            self._detours.record_call(answer.far_kb, time.monotonic())
        no_room = answer.reason in _NO_ROOM or answer.starved
        if no_room and class_name not in self._new_work:
            child = starvation.Child(call.service, class_name)
            self._starvation.record_refusal(child, time.monotonic())

    def _on_linked_call_answer(
        self, call: calls.Call, answer: outcomes.Answer
    ) -> None:
        """Learns from a call whose request is known."""
        now_s = time.monotonic()
        class_name = call.context.class_name
        self._new_work.discard(class_name)
        self._detours.record_call_of(call.parent_class, answer.far_kb, now_s)
        self._book.record_call(
            call.parent_class, call.service, now_s, class_name
        )
        if answer.reason in _NO_ROOM or answer.starved:
            child = starvation.Child(call.service, class_name)
            self._starvation.record_refusal(child, now_s)
