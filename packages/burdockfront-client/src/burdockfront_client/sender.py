"""One attempt: sends it to a guard, and tells the outcome."""

import asyncio
import itertools
import secrets
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import guards
from burdockfront import keyring as keyring_lib
from burdockfront import levels
from burdockfront import outcomes
from burdockfront import routing
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import call_link
from burdockfront_client import calls
from burdockfront_client import connection as connection_lib
from burdockfront_client import feedback as feedback_lib
from burdockfront_client import peers as peers_lib
from burdockfront_client import wire

# A guard gets a little less time than we wait, so that its own answer about
# an expired deadline still reaches us.
_ANSWER_MARGIN_S = 0.02

LocalGuard = Callable[[calls.Attempt], Awaitable[outcomes.Answer]]
# Brings an attempt to a guard: the attempt, the guard, how long its answer is
# waited for, and the largest answer in bytes.
Transport = Callable[
    [calls.Attempt, guards.Target, float, int], Awaitable[outcomes.Answer]
]


class Sender:
    """Sends attempts over the peers' connections.

    Args:
        node_id: Name of this process, for attempt ids.
        keys: Keys that sign contexts and tickets.
        router: Learns who answered.
        level_tracker: Learns the levels on answers.
        recorder: Where events go.
        counters: What was done so far.
        source_ip: Own IP number that connections come from, if it matters.
        waits_past_deadline: The guard gets all the time that is left, and its answer
            is waited for a little beyond it. Otherwise it gets a little less:
            where contexts travel, each layer may take that off once more.
    """

    def __init__(
        self,
        node_id: str,
        keys: keyring_lib.KeyRing,
        router: routing.Router,
        level_tracker: levels.LevelTracker,
        recorder: timeline.Recorder,
        counters: calls.Counters,
        source_ip: str | None,
        waits_past_deadline: bool = False,
    ):
        self.peers = peers_lib.Peers(source_ip)
        self.link = call_link.CallLink(source_ip)
        self.keys = keys
        self.local_guard: LocalGuard | None = None
        self.transport: Transport = self._over_network
        self.feedback = feedback_lib.Feedback(
            router, level_tracker, recorder, counters
        )
        self._margin_s = 0.0 if waits_past_deadline else _ANSWER_MARGIN_S
        self._node_id = node_id
        self._router = router
        self._recorder = recorder
        self._counters = counters
        # A restarted process counts anew, beside attempts of its predecessor
        # that still wait somewhere. The id goes to and fro with each call, so
        # it is short: of a thousand processes two have the same prefix once in
        # ten thousand times, and then only equal ids at one guard would meet.
        self._prefix = f"{secrets.token_hex(4)}."
        self._sequence = itertools.count(1)

    async def close(self) -> None:
        """Closes all connections."""
        self.link.close()
        await self.peers.close()

    async def send(
        self,
        call: calls.Call,
        target: guards.Target,
        ticket: tickets.Ticket | None,
        timeout_s: float,
        overdue_s: float,
        limit_bytes: int,
    ) -> calls.AttemptResult:
        """Sends one attempt and waits for its answer.

        Args:
            call: What is asked.
            target: The guard.
            ticket: Ticket of a call that must not repeat.
            timeout_s: How long the answer is waited for.
            overdue_s: After this the guard's silence counts against it.
            limit_bytes: Largest answer.
        """
        started_s = time.monotonic()
        attempt = self._attempt_of(call, ticket, timeout_s)
        heard = self.feedback.reports.by_node
        if target.node_id in heard:
            attempt.received = heard[target.node_id]
        attempt_id = attempt.context.attempt_id
        self._counters.attempts += 1
        self._router.record_sent(target.node_id)
        alarm = None
        if overdue_s < timeout_s:
            alarm = asyncio.get_running_loop().call_later(
                overdue_s, self._overdue, target.node_id
            )
        try:
            answer = await self._transmit(
                attempt, target, timeout_s, limit_bytes
            )
        except peers_lib.UnreachableError:
            call.pool.return_unused(attempt_id, attempt.context.allowance)
            self._unanswered(call, target, unreachable=True)
            return calls.AttemptResult(calls.Delivery.UNREACHED)
        except errors.DispatchError:
            call.pool.write_off(attempt_id)
            self._counters.lost += 1
            self._unanswered(call, target, unreachable=False)
            return calls.AttemptResult(calls.Delivery.LOST)
        except asyncio.CancelledError:
            call.pool.write_off(attempt_id)
            self._router.record_cancelled(target.node_id)
            raise
        finally:
            if alarm is not None:
                alarm.cancel()
        call.pool.return_unused(attempt_id, answer.unspent)
        now_s = time.monotonic()
        self.feedback.learn(call, target, answer, now_s - started_s, now_s)
        return calls.AttemptResult(calls.Delivery.ANSWERED, answer)

    def _attempt_of(
        self,
        call: calls.Call,
        ticket: tickets.Ticket | None,
        timeout_s: float,
    ) -> calls.Attempt:
        attempt_id = f"{self._prefix}{next(self._sequence)}"
        context = call.context.for_attempt(
            attempt_id,
            max(0.0, timeout_s - self._margin_s),
            call.pool.lend(attempt_id),
            call.context.repeated or call.arrivals > 0,
        )
        return calls.Attempt(call, context, ticket)

    async def _transmit(
        self,
        attempt: calls.Attempt,
        target: guards.Target,
        timeout_s: float,
        limit_bytes: int,
    ) -> outcomes.Answer:
        if target.node_id == self._node_id and self.local_guard is not None:
            return await self.local_guard(attempt)
        return await self.transport(attempt, target, timeout_s, limit_bytes)

    async def _over_network(
        self,
        attempt: calls.Attempt,
        target: guards.Target,
        timeout_s: float,
        limit_bytes: int,
    ) -> outcomes.Answer:
        call = attempt.call
        attempt_id = attempt.context.attempt_id
        reply = await self.link.ask(
            target.address,
            connection_lib.encode_request(
                call.method,
                f"{wire.CALL_PREFIX}{call.service}{call.target}",
                call.host or target.address,
                self._headers(attempt),
                call.body,
            ),
            lambda answer: wire.is_answer_to(
                answer.header(wire.ANSWER), attempt_id
            ),
            timeout_s + _ANSWER_MARGIN_S - self._margin_s,
            limit_bytes,
            fresh=attempt.ticket is not None,
        )
        answer, their_stamp = wire.decode_answer(
            reply.header(wire.ANSWER),
            attempt_id,
            reply.status,
            wire.end_to_end(reply.headers),
            reply.body,
        )
        self._recorder.clock.observe(their_stamp, time.time())
        return answer

    def _headers(self, attempt: calls.Attempt) -> list[tuple[str, str]]:
        call = attempt.call
        metadata = wire.CallMetadata()
        if call.host:
            metadata = wire.CallMetadata(
                call.idempotent, call.host, call.origin_service, call.account
            )
        # Not under the callers' own name for it: their header travels on as
        # it is, and two of one name would be taken for one another.
        ticket = ""
        if attempt.ticket is not None:
            ticket = tickets.encode(attempt.ticket, self.keys)
        stamp = self._recorder.clock.tick(time.time())
        return [
            *call.headers,
            (wire.CONTEXT, self._encoded(attempt.context, call.headers)),
            (
                wire.CALL,
                wire.encode_call(stamp, metadata, ticket, attempt.received),
            ),
        ]

    def _encoded(
        self,
        context: context_lib.RequestContext,
        headers: tuple[tuple[str, str], ...],
    ) -> str:
        """Returns the context as it travels.

        An id that is in the caller's own headers is not sent twice: it grows
        with each layer, to a tenth of a small call. With keys it stays in the
        context, which is signed.
        """
        if not self.keys.is_open:
            return context_lib.encode(context, self.keys)
        for name, value in headers:
            if value == context.request_id:
                reference = wire.ID_IN_HEADER + name
                return context_lib.encode(context, self.keys, reference)
        return context_lib.encode(context, self.keys)

    def _overdue(self, node_id: str) -> None:
        if self._router.record_overdue(node_id, time.monotonic()):
            self._record_ejection(node_id)

    def _record_ejection(self, node_id: str) -> None:
        self._recorder.record(time.time(), "router.ejected", target=node_id)

    def _unanswered(
        self, call: calls.Call, target: guards.Target, unreachable: bool
    ) -> None:
        ejected = self._router.record_no_answer(
            target.node_id, unreachable, time.monotonic()
        )
        self._recorder.record(
            time.time(),
            "call.unanswered",
            call.context.request_id,
            target=target.node_id,
            unreachable=unreachable,
        )
        if ejected:
            self._record_ejection(target.node_id)
