"""Sends a single attempt to a guard and records its outcome."""

import asyncio
import itertools
import secrets
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import fair_shares
from burdockfront import guards
from burdockfront import keyring as keyring_lib
from burdockfront import levels
from burdockfront import outcomes
from burdockfront import routing
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import call_link
from burdockfront_client import calls
from burdockfront_client import feedback as feedback_lib
from burdockfront_client import http_messages
from burdockfront_client import peers as peers_lib
from burdockfront_client import wire

# The guard gets this much less time than the sender waits, so that the guard's
# own answer about an expired deadline still arrives.
_ANSWER_MARGIN_S = 0.02
_NO_METADATA = wire.CallMetadata()

LocalGuard = Callable[[calls.Attempt], Awaitable[outcomes.Answer]]
# Sends an attempt to a guard and returns its answer. Arguments: the attempt,
# the guard, the timeout in seconds, and the maximum body size in bytes.
Transport = Callable[
    [calls.Attempt, guards.Target, float, int], Awaitable[outcomes.Answer]
]


class Sender:
    """Sends attempts to guards, over the network or in this process.

    Args:
        node_id: Id of this process; a guard with this id is called in process.
        keys: Keys that sign contexts and tickets.
        router: Receives the result of each attempt.
        level_tracker: Receives the admission levels on answers.
        share_tracker: Receives the accounts above their share on answers.
        recorder: Records events.
        counters: Totals to update.
        source_ip: Local IP address of outgoing connections; None lets the
            system choose.
        waits_past_deadline: Whether the guard gets all of the remaining time
            and the sender waits slightly longer for its answer. Otherwise the
            guard gets slightly less: where contexts are propagated, each layer
            can subtract that margin again.
    """

    def __init__(
        self,
        node_id: str,
        keys: keyring_lib.KeyRing,
        router: routing.Router,
        level_tracker: levels.LevelTracker,
        share_tracker: fair_shares.ShareTracker,
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
            router, level_tracker, share_tracker, recorder, counters
        )
        self._margin_s = 0.0 if waits_past_deadline else _ANSWER_MARGIN_S
        self._node_id = node_id
        self._router = router
        self._recorder = recorder
        self._counters = counters
        # A restarted process counts from 1 again while attempts of its previous
        # incarnation may still be pending, so attempt ids have a random prefix.
        # It is short because each call carries the id in both directions. The
        # probability that two of a thousand processes share a prefix is 1 in
        # 10,000, and even then only equal ids at the same guard would collide.
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
            call: The call.
            target: The guard.
            ticket: Ticket of a call that must run at most once.
            timeout_s: Maximum wait for the answer.
            overdue_s: Time after which a missing answer counts as a failure of
                the guard.
            limit_bytes: Maximum size of the answer's body.
        """
        started_s = time.monotonic()
        attempt = self._new_attempt(call, ticket, timeout_s)
        reports = self.feedback.reports.by_node
        if target.node_id in reports:
            attempt.received = reports[target.node_id]
        attempt_id = attempt.context.attempt_id
        self._counters.attempts += 1
        self._router.record_sent(target.node_id)
        overdue_timer = None
        if overdue_s < timeout_s:
            overdue_timer = asyncio.get_running_loop().call_later(
                overdue_s, self._on_overdue, target.node_id
            )
        try:
            answer = await self._transmit(
                attempt, target, timeout_s, limit_bytes
            )
        except peers_lib.UnreachableError:
            call.pool.return_unused(attempt_id, attempt.context.allowance)
            self._record_no_answer(call, target, unreachable=True)
            return calls.AttemptResult(calls.Delivery.UNREACHED)
        except errors.DispatchError:
            call.pool.write_off(attempt_id)
            self._counters.lost += 1
            self._record_no_answer(call, target, unreachable=False)
            return calls.AttemptResult(calls.Delivery.LOST)
        except asyncio.CancelledError:
            call.pool.write_off(attempt_id)
            self._router.record_cancelled(target.node_id)
            raise
        finally:
            if overdue_timer is not None:
                overdue_timer.cancel()
        call.pool.return_unused(attempt_id, answer.unspent)
        now_s = time.monotonic()
        self.feedback.record(call, target, answer, now_s - started_s, now_s)
        return calls.AttemptResult(calls.Delivery.ANSWERED, answer)

    def _new_attempt(
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

    def _transmit(
        self,
        attempt: calls.Attempt,
        target: guards.Target,
        timeout_s: float,
        limit_bytes: int,
    ) -> Awaitable[outcomes.Answer]:
        if target.node_id == self._node_id and self.local_guard is not None:
            return self.local_guard(attempt)
        return self.transport(attempt, target, timeout_s, limit_bytes)

    async def _over_network(
        self,
        attempt: calls.Attempt,
        target: guards.Target,
        timeout_s: float,
        limit_bytes: int,
    ) -> outcomes.Answer:
        call = attempt.call
        attempt_id = attempt.context.attempt_id
        reply = await self.link.request(
            target.address,
            http_messages.encode_request(
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
        answer, guard_stamp = wire.decode_answer(
            reply.header(wire.ANSWER),
            attempt_id,
            reply.status,
            wire.end_to_end(reply.headers),
            reply.body,
        )
        self._recorder.clock.observe(guard_stamp, time.time())
        return answer

    def _headers(self, attempt: calls.Attempt) -> list[tuple[str, str]]:
        call = attempt.call
        metadata = _NO_METADATA
        if call.host:
            metadata = wire.CallMetadata(
                call.idempotent, call.host, call.origin_service, call.account
            )
        # The ticket has no header of its own under the callers' name for it:
        # their header is forwarded unchanged, and two headers of one name would
        # be confused.
        ticket = ""
        if attempt.ticket is not None:
            ticket = tickets.encode(attempt.ticket, self.keys)
        stamp = self._recorder.clock.tick(time.time())
        return [
            *call.headers,
            (wire.CONTEXT, self._encode(attempt.context, call.headers)),
            (
                wire.CALL,
                wire.encode_call(stamp, metadata, ticket, attempt.received),
            ),
        ]

    def _encode(
        self,
        context: context_lib.RequestContext,
        headers: tuple[tuple[str, str], ...],
    ) -> str:
        """Returns the encoded context.

        A request id that is also in one of the caller's headers is replaced by
        a reference to that header, because ids grow with each layer, up to a
        tenth of the size of a small call. With signing keys, the id stays in
        the signed context.
        """
        if not self.keys.is_open:
            return context_lib.encode(context, self.keys)
        for name, value in headers:
            if value == context.request_id:
                reference = wire.ID_IN_HEADER + name
                return context_lib.encode(context, self.keys, reference)
        return context_lib.encode(context, self.keys)

    def _on_overdue(self, node_id: str) -> None:
        if self._router.record_overdue(node_id, time.monotonic()):
            self._record_ejection(node_id)

    def _record_ejection(self, node_id: str) -> None:
        self._recorder.record(time.time(), "router.ejected", target=node_id)

    def _record_no_answer(
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
