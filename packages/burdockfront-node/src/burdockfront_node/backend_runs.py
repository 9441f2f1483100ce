"""Runs attempts at the backend server and evaluates their outcomes."""

import time
from collections.abc import Callable

from burdockfront import admission
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import self_reports
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_node import availability as availability_lib
from burdockfront_node import backend_self_reports
from burdockfront_node import gate as gate_lib
from burdockfront_node import handover as handover_lib
from burdockfront_node import lineage as lineage_lib
from burdockfront_node import quarantine as quarantine_lib


class BackendRuns:
    """Runs attempts that hold a slot.

    Args:
        handover: Sends requests to the backend server.
        availability: Receives the outcomes, to detect stalls.
        quarantine: Tracks which requests are in flight.
        lineage: Infers what request contexts would carry; None where backend
            servers propagate them.
        policy_of: Returns the active policy of a service.
        recorder: Records events.
        reports: Merges the self reports on answers.
        refusals_lower_slots: See `availability.GuardRules`.

    Attributes:
        gate: The gate that grants the slots; None until a backend server has
            announced itself.
        handed_over: Number of attempts so far.
    """

    def __init__(
        self,
        handover: handover_lib.Handover,
        availability: availability_lib.Availability,
        quarantine: quarantine_lib.Quarantine,
        lineage: lineage_lib.Lineage | None,
        policy_of: Callable[[str], policy_lib.Policy],
        recorder: timeline.Recorder,
        reports: backend_self_reports.BackendSelfReports,
        refusals_lower_slots: bool,
    ):
        self.gate: gate_lib.Gate | None = None
        self.handed_over = 0
        self._handover = handover
        self._availability = availability
        self._quarantine = quarantine
        self._lineage = lineage
        self._policy_of = policy_of
        self._recorder = recorder
        self._reports = reports
        self._refusals_lower_slots = refusals_lower_slots

    @property
    def answers_discarded(self) -> int:
        """Number of answers so far that belonged to no pending request."""
        return self._handover.answers_discarded

    async def run(
        self, attempt: calls.Attempt, nonce: str | None
    ) -> outcomes.Answer:
        """Hands an attempt over and returns its slot afterwards.

        Args:
            attempt: The attempt to run.
            nonce: Idempotency key of a request that must not run twice.
        """
        gate = self.gate
        assert gate is not None, "the attempt has a slot of the gate"
        started_s = time.monotonic()
        self.handed_over += 1
        self._record_start(attempt, started_s)
        answer: outcomes.Answer | None = None
        try:
            answer = await self._to_backend(attempt, nonce, started_s)
        finally:
            ended_s = time.monotonic()
            service_s = ended_s - started_s
            self._record_end(gate, answer, service_s, ended_s)
            self._quarantine.on_end(attempt, answer)
            served = answer is not None and answer.reason is None
            class_name = attempt.context.class_name if served else ""
            waited_below_s = 0.0
            try:
                if self._lineage is not None:
                    waited_below_s = self._lineage.on_run_end(attempt, ended_s)
            finally:
                # The waits of calls made at the same time add up to more.
                if waited_below_s > service_s:
                    waited_below_s = service_s
                gate.leave(service_s, class_name, waited_below_s)
        answer.queue_s = started_s - attempt.arrived_s + waited_below_s
        if self._lineage is not None:
            answer = self._lineage.on_run_answer(attempt, started_s, answer)
        if answer.reason is outcomes.Reason.LOST_ANSWER:
            await self._quarantine.crash_detector.on_lost_answer(attempt)
        self._recorder.record(
            time.time(),
            "call.answered",
            attempt.context.request_id,
            attempt=attempt.context.attempt_id,
            service=attempt.call.service,
            class_name=attempt.context.class_name,
            outcome=answer.outcome,
            status=answer.status,
            reason=answer.reason or "",
            starved=answer.starved,
            service_s=round(service_s, 4),
        )
        return answer

    def _record_start(self, attempt: calls.Attempt, started_s: float) -> None:
        self._recorder.note(
            time.time(),
            "call.handed-over",
            attempt.context.request_id,
            attempt=attempt.context.attempt_id,
            service=attempt.call.service,
        )
        self._availability.stalls.on_sent(started_s)
        announced = self._availability.announcement
        address = announced.address if announced else ""
        self._quarantine.crash_detector.on_start(attempt, address, started_s)
        if self._lineage is not None:
            self._lineage.on_run_start(attempt, started_s)

    async def _to_backend(
        self, attempt: calls.Attempt, nonce: str | None, started_s: float
    ) -> outcomes.Answer:
        announced = self._availability.announcement
        if announced is None:
            return outcomes.not_run(
                outcomes.Reason.NO_BACKEND, admission.RETRY_AFTER_S
            )
        limit_bytes = self._policy_of(announced.service).body_limit_bytes
        answer = await self._handover.run(
            announced, attempt, nonce, limit_bytes
        )
        notice = answer.notice
        if notice is None:
            return answer
        # Nearly all answers carry no self report that changes anything.
        if notice is not self_reports.NO_NOTICE or not self._reports.is_plain:
            self._reports.on_answer(notice, announced.incarnation, started_s)
        return answer

    def _record_end(
        self,
        gate: gate_lib.Gate,
        answer: outcomes.Answer | None,
        service_s: float,
        ended_s: float,
    ) -> None:
        """Records the outcome of a handover while its slot is still held."""
        if answer is None or answer.outcome is outcomes.Outcome.UNKNOWN:
            self._availability.stalls.on_abandoned()
            return
        self._availability.stalls.on_answer(service_s, ended_s)
        refused = answer.reason is outcomes.Reason.REJECTED
        if refused and self._refusals_lower_slots:
            gate.shed_by_backend()


def record(
    recorder: timeline.Recorder,
    kind: str,
    attempt: calls.Attempt,
    **detail: object,
) -> None:
    """Records an event about an attempt."""
    recorder.record(
        time.time(),
        kind,
        attempt.context.request_id,
        attempt=attempt.context.attempt_id,
        service=attempt.call.service,
        class_name=attempt.context.class_name,
        **detail,
    )
