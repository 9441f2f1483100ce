"""Sends requests to a backend server that is unaware of this system.

The server gets the caller's request with the headers of this attempt, in the
dialect of the environment. Its answer is accepted only if it carries the id of
the request and is marked as complete.

The id is that of the request, the same for each attempt. So a request that must
not run twice is handed over only until the server has rejected it once: see
`rejected_requests`.
"""

import time
from collections.abc import Callable

from burdockfront import admission
from burdockfront import incarnations as incarnations_lib
from burdockfront import outcomes
from burdockfront import timeline
from burdockfront_client import answer_memory
from burdockfront_client import attempts as attempts_lib
from burdockfront_client import calls
from burdockfront_client import connection as connection_lib
from burdockfront_client import http_messages
from burdockfront_client import pool as pool_lib
from burdockfront_client import wire
from burdockfront_node import adapters
from burdockfront_node import backend as backend_lib
from burdockfront_node import backend_load as backend_load_lib
from burdockfront_node import rejected_requests

# Time after the deadline for the backend server's own answer to arrive; the
# server is on the same VM. The calling node waits slightly longer.
_DEADLINE_GRACE_S = 0.01
_MIN_REMAINING_S = 0.001


class RoutedHandover:
    """Transport from a guard to its backend server.

    Args:
        dialect: The header conventions of the backend server.
        incarnations: Tracks which incarnation is in service.
        attempts: Open attempts, to find the parents of downstream calls.
        recorder: Records discarded answers.
        backend_load: Receives the load reports on answers; None to ignore
            them.
        memory: Bounds the answers that are being received.

    Attributes:
        answers_discarded: See `handover.Handover`.
    """

    def __init__(
        self,
        dialect: adapters.Dialect,
        incarnations: incarnations_lib.IncarnationTracker,
        attempts: attempts_lib.AttemptTracker,
        recorder: timeline.Recorder,
        backend_load: backend_load_lib.BackendLoad | None = None,
        memory: answer_memory.AnswerMemory | None = None,
    ):
        self.answers_discarded = 0
        self._rejected = rejected_requests.RejectedRequests()
        self._memory = memory
        self._recorder = recorder
        self._backend_load = backend_load
        self._dialect = dialect
        self._incarnations = incarnations
        self._attempts = attempts
        self._pool: pool_lib.Pool | None = None
        self._born_ms: int | None = None
        self._instance_id = ""
        self._address = ""

    @property
    def connections_opened(self) -> int:
        """Number of connections opened to the incarnation in service."""
        return self._pool.opened if self._pool else 0

    async def run(
        self,
        announced: backend_lib.Announcement,
        attempt: calls.Attempt,
        nonce: str | None,
        limit_bytes: int,
    ) -> outcomes.Answer:
        """Hands an attempt over and waits for its answer."""
        current = self._incarnations.current
        if current is None or current.leaving:
            return outcomes.not_run(
                outcomes.Reason.DRAINING, admission.RETRY_AFTER_S
            )
        sent_s = time.monotonic()
        remaining_s = attempt.call.deadline_s - sent_s
        if remaining_s < _MIN_REMAINING_S:
            return outcomes.not_run(
                outcomes.Reason.DEADLINE, admission.RETRY_AFTER_S
            )
        if not attempt.call.idempotent and self._was_rejected(attempt, sent_s):
            return outcomes.not_run(
                outcomes.Reason.REJECTED, admission.RETRY_AFTER_S
            )
        pool = self._pool_of(announced.address, current)
        terms = adapters.BackendTerms(
            remaining_s,
            current.instance_id,
            attempt.call.origin_service,
            attempt.call.account,
        )
        self._attempts.begin(attempt.context)
        try:
            answer = await pool.exchange(
                self._encode(attempt.call, terms),
                self._own_answer_check(attempt),
                limit_bytes,
                fresh=not attempt.call.idempotent,
                timeout_s=remaining_s + _DEADLINE_GRACE_S,
                request_id=attempt.context.request_id,
            )
        except connection_lib.NotSentError:
            return outcomes.not_run(
                outcomes.Reason.UNREACHABLE, admission.RETRY_AFTER_S
            )
        except connection_lib.AnswerLateError:
            return outcomes.unknown(outcomes.Reason.DEADLINE)
        except connection_lib.AnswerLostError as error:
            self._recorder.record(
                time.time(),
                "backend.answer-lost",
                attempt.context.request_id,
                why=str(error),
            )
            return outcomes.unknown(outcomes.Reason.LOST_ANSWER)
        finally:
            self._attempts.end(attempt.context.attempt_id)
        if answer.is_first and self._dialect.request_id_of(answer) is None:
            self._recorder.record(
                time.time(),
                "backend.answer-unnamed",
                attempt.context.request_id,
                status=answer.status,
            )
            return outcomes.unknown(outcomes.Reason.LOST_ANSWER)
        evaluated = self._evaluate(
            answer, current.instance_id, announced.incarnation, sent_s
        )
        refused = evaluated.outcome is outcomes.Outcome.NOT_RUN
        if refused and not attempt.call.idempotent:
            self._rejected.add(
                attempt.context.request_id, attempt.call.deadline_s
            )
        return evaluated

    def _was_rejected(self, attempt: calls.Attempt, now_s: float) -> bool:
        """Whether the server has rejected an earlier attempt of a request."""
        request_id = attempt.context.request_id
        if not self._rejected.contains(request_id, now_s):
            return False
        self._recorder.record(
            time.time(),
            "call.not-repeated",
            request_id,
            attempt=attempt.context.attempt_id,
            service=attempt.call.service,
        )
        return True

    def _pool_of(
        self, address: str, current: incarnations_lib.Heartbeat
    ) -> pool_lib.Pool:
        """Returns a connection pool that is used for one incarnation only."""
        known = (self._address, self._instance_id, self._born_ms)
        wanted = (address, current.instance_id, current.born_ms)
        if self._pool is None or known != wanted:
            if self._pool is not None:
                self._pool.close_idle()
            self._pool = pool_lib.Pool(
                address, on_discarded=self._on_discarded, memory=self._memory
            )
            self._address = address
            self._instance_id = current.instance_id
            self._born_ms = current.born_ms
        return self._pool

    def _on_discarded(self, answer: http_messages.RawAnswer | None) -> None:
        """Counts and records an answer that belongs to no pending request."""
        self.answers_discarded += 1
        if answer is None:
            named, status = "", 0
        else:
            named = self._dialect.request_id_of(answer) or ""
            status = answer.status
        self._recorder.record(
            time.time(), "backend.answer-discarded", named, status=status
        )

    def _encode(
        self, call: calls.Call, terms: adapters.BackendTerms
    ) -> http_messages.Encoded:
        """Returns the encoded request with the headers of this attempt."""
        headers = (*call.headers, *self._dialect.to_backend(terms))
        return http_messages.encode_request(
            call.method, call.target, call.host, headers, call.body
        )

    def _own_answer_check(
        self, attempt: calls.Attempt
    ) -> Callable[[http_messages.RawAnswer], bool]:
        """Returns a check whether to stop waiting at an answer.

        One that names no request is skipped, since the answer to this request
        may follow. Only where nothing preceded it on its connection, so that it
        most likely stands in place of the answer, and the request may be sent
        again, does it count as the loss of the answer.
        """
        request_id = attempt.context.request_id
        repeatable = attempt.call.idempotent

        def is_own(answer: http_messages.RawAnswer) -> bool:
            if self._dialect.is_own(answer, request_id):
                return True
            unnamed_first = repeatable and answer.is_first
            return unnamed_first and self._dialect.request_id_of(answer) is None

        return is_own

    def _evaluate(
        self,
        answer: http_messages.RawAnswer,
        instance_id: str,
        incarnation: incarnations_lib.Incarnation,
        sent_s: float,
    ) -> outcomes.Answer:
        """Returns the outcome of an attempt.

        Args:
            answer: The answer of the backend server.
            instance_id: Id of the backend server that the attempt was meant
                for.
            incarnation: The announced incarnation, which has this id.
            sent_s: Time at which the attempt was handed over.
        """
        if not self._dialect.is_complete(answer):
            return outcomes.unknown(outcomes.Reason.LOST_ANSWER)
        outcome = self._dialect.outcome_of(answer)
        load = self._backend_load
        if load is not None and (values := self._dialect.load_of(answer)):
            if outcome is adapters.BackendOutcome.OTHER_INCARNATION:
                load.on_answer(values, incarnations_lib.UNIDENTIFIED, sent_s)
            else:
                load.on_answer(values, incarnation, sent_s)
        match outcome:
            case adapters.BackendOutcome.REJECTED:
                refusal = outcomes.not_run(
                    outcomes.Reason.REJECTED, admission.RETRY_AFTER_S
                )
                refusal.notice = self._dialect.notice_of(answer)
                return refusal
            case adapters.BackendOutcome.OTHER_INCARNATION:
                # Another incarnation has the address now and has not run the
                # request. Until its heartbeat arrives nothing is known of it.
                self._incarnations.record_replaced(instance_id)
                return outcomes.not_run(
                    outcomes.Reason.OTHER_INCARNATION, admission.RETRY_AFTER_S
                )
        return outcomes.Answer(
            outcomes.Outcome.DONE,
            answer.status,
            headers=wire.end_to_end(
                answer.headers, self._dialect.not_forwarded
            ),
            body=answer.body,
            notice=self._dialect.notice_of(answer),
        )
