"""Sends attempts to the backend server over the native interface."""

import dataclasses
import time
from collections.abc import Callable
from typing import Protocol

from burdockfront import admission
from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import keyring as keyring_lib
from burdockfront import outcomes
from burdockfront import self_reports
from burdockfront_client import attempts as attempts_lib
from burdockfront_client import calls
from burdockfront_client import http_messages
from burdockfront_client import peers as peers_lib
from burdockfront_client import wire
from burdockfront_node import backend as backend_lib

_IS_LEAVING = "1"
_ATTEMPT_READ = wire.ATTEMPT.lower()


class Handover(Protocol):
    """Transport from a guard to its backend server.

    Attributes:
        answers_discarded: Number of answers so far that belonged to no request
            that was pending on their connection.
    """

    answers_discarded: int

    async def run(
        self,
        announced: backend_lib.Announcement,
        attempt: calls.Attempt,
        nonce: str | None,
        limit_bytes: int,
    ) -> outcomes.Answer:
        """Hands an attempt over and waits for its answer."""


class PlainHandover:
    """The native interface to backend servers.

    Args:
        peers: Connections.
        keys: Keys that sign contexts.
        attempts: Open attempts, for the backend server's downstream calls.
    """

    def __init__(
        self,
        peers: peers_lib.Peers,
        keys: keyring_lib.KeyRing,
        attempts: attempts_lib.AttemptTracker,
    ):
        self.answers_discarded = 0
        self._peers = peers
        self._keys = keys
        self._attempts = attempts

    async def run(
        self,
        announced: backend_lib.Announcement,
        attempt: calls.Attempt,
        nonce: str | None,
        limit_bytes: int,
    ) -> outcomes.Answer:
        """Hands an attempt over and waits for its answer."""
        opened = self._attempts.begin(attempt.context)
        reply: peers_lib.Reply | None = None
        unreachable = False
        try:
            reply = await self._peers.request(
                announced.address,
                attempt.call.method,
                attempt.call.target,
                self._headers(announced, attempt, nonce),
                attempt.call.body,
                max(0.001, opened.deadline_s - time.monotonic()),
                limit_bytes,
                is_own=self._own_answer_check(attempt),
            )
        except peers_lib.UnreachableError:
            unreachable = True
        except errors.DispatchError:
            pass
        finally:
            self._attempts.end(attempt.context.attempt_id)
        unspent = opened.pool.units
        if reply is not None:
            if _is_unproven_refusal(attempt, reply):
                return outcomes.unknown(outcomes.Reason.LOST_ANSWER)
            return _answer_of(announced, reply, unspent)
        if unreachable:
            return outcomes.not_run(
                outcomes.Reason.UNREACHABLE, admission.RETRY_AFTER_S, unspent
            )
        return outcomes.unknown(outcomes.Reason.LOST_ANSWER)

    def _own_answer_check(
        self, attempt: calls.Attempt
    ) -> Callable[[http_messages.RawAnswer], bool]:
        """Returns a check that an answer names this attempt, or none.

        An answer that names another attempt is late, or the backend server has
        mixed up its answers. It must not reach this caller, and the answer to
        this attempt may still follow.
        """
        attempt_id = attempt.context.attempt_id

        def is_own(answer: http_messages.RawAnswer) -> bool:
            if answer.header(_ATTEMPT_READ) in (None, attempt_id):
                return True
            self.answers_discarded += 1
            return False

        return is_own

    def _headers(
        self,
        announced: backend_lib.Announcement,
        attempt: calls.Attempt,
        nonce: str | None,
    ) -> list[tuple[str, str]]:
        context = attempt.context
        if not announced.embedded:
            # This node makes the downstream calls and keeps the allowance. If
            # the header carried it as well, it could be used twice.
            context = dataclasses.replace(context, allowance=0)
        if context.account_tag:
            # Accounts are no business of backend servers; their calls inherit
            # the tag from the open attempt.
            context = dataclasses.replace(context, account_tag="")
        key = wire.IDEMPOTENCY_KEY.lower()
        headers = [
            # The caller's ticket is opaque to a backend server. It is replaced
            # by its nonce, which is the same for every repeat.
            *(h for h in attempt.call.headers if h[0].lower() != key),
            (context_lib.HEADER, context_lib.encode(context, self._keys)),
            (wire.ATTEMPT, context.attempt_id),
            (wire.DEADLINE, f"{context.remaining_s:.3f}"),
        ]
        if nonce is not None:
            headers.append((wire.IDEMPOTENCY_KEY, nonce))
        return headers


def _is_unproven_refusal(
    attempt: calls.Attempt, reply: peers_lib.Reply
) -> bool:
    """Whether a request that must not run twice was refused without proof.

    A refusal that names no attempt may be the second copy of an earlier one,
    while the server runs this attempt.
    """
    if attempt.call.idempotent:
        return False
    refused = reply.header(wire.OUTCOME) == outcomes.Outcome.NOT_RUN
    return refused and reply.header(wire.ATTEMPT) is None


def _answer_of(
    announced: backend_lib.Announcement,
    reply: peers_lib.Reply,
    unspent: int,
) -> outcomes.Answer:
    if announced.embedded:
        unspent = int(reply.header(wire.UNSPENT) or 0)
    notice = _notice_of(reply)
    if reply.header(wire.OUTCOME) == outcomes.Outcome.NOT_RUN:
        refusal = outcomes.not_run(
            outcomes.Reason.REJECTED, admission.RETRY_AFTER_S, unspent
        )
        refusal.notice = notice
        return refusal
    path_level = reply.header(wire.PATH_LEVEL)
    return outcomes.Answer(
        outcome=outcomes.Outcome.DONE,
        status=reply.status,
        headers=wire.end_to_end(reply.headers),
        body=reply.body,
        unspent=unspent,
        level=int(path_level) if path_level else None,
        notice=notice,
    )


def _notice_of(reply: peers_lib.Reply) -> self_reports.BackendNotice | None:
    """Returns the self report on an answer.

    None if the answer has none; a report may then come with an announcement.
    """
    limit = reply.header(wire.LIMIT)
    leaving = reply.header(wire.LEAVING) == _IS_LEAVING
    if limit is None and not leaving:
        return None
    notice = self_reports.limit_from([] if limit is None else [limit])
    return dataclasses.replace(notice, leaving=leaving)
