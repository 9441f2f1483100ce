"""Callers as docs/CALLERS.md asks them to be, and impatient ones.

A confirmation takes a ticket first (or the one that a refusal brings) and
repeats only with the same ticket, unless told `not-run`.
"""

import dataclasses
import time

import aiohttp
import yarl

from burdockfront_client import wire

# A second round trip of a confirmation, for the ticket, and one more when
# the owner of the ticket refused and sent a fresh one.
_TICKET_ROUNDS = 3


@dataclasses.dataclass(slots=True)
class Result:
    """What became of one whole request.

    Attributes:
        kind: Kind of request from the mix.
        request_id: Sent with the request.
        at_s: Arrival after the start of the load.
        elapsed_s: Until the final answer.
        outcome: `done`, `not-run`, `unknown` or `error` (an answered error
            of a backend server).
        status: Last HTTP status, 0 if there was no answer.
        tries: HTTP requests that were made.
        mixed_up: The answer was for somebody else.
        reason: Reason header of the last answer.
        ticket: Ticket of a confirmation.
    """

    kind: str
    request_id: str
    at_s: float
    elapsed_s: float = 0.0
    outcome: str = "unknown"
    status: int = 0
    tries: int = 0
    mixed_up: bool = False
    reason: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request in the mix."""

    name: str
    method: str
    path: str
    weight: float


class Caller:
    """Makes whole requests.

    An entry that does not answer is left after `try_s` for another one, as
    docs/CALLERS.md advises; a repeated confirmation carries the same ticket,
    so that is safe.

    Args:
        session: HTTP client.
        deadline_s: After this an answer is worthless to the person.
        repeats: How often an impatient caller asks again at once.
        try_s: How long one entry is waited for.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        deadline_s: float,
        repeats: int,
        try_s: float = 1.0,
    ):
        self._session = session
        self._deadline_s = deadline_s
        self._repeats = repeats
        self._try_s = try_s

    async def ask(
        self, addresses: list[str], kind: Kind, result: Result
    ) -> None:
        """Makes one whole request and fills in its result.

        Args:
            addresses: Entries to ask, one per try, in turn.
            kind: What to ask.
            result: Filled in.
        """
        started_s = time.monotonic()
        repeats_left = self._repeats
        for number, address in enumerate(addresses):
            left_s = self._deadline_s - (time.monotonic() - started_s)
            if left_s <= 0:
                break
            await self._try(address, kind, result, left_s, number)
            if result.status == 0:
                continue
            if self._final(kind, result) or repeats_left == 0:
                break
            repeats_left -= 1
        result.elapsed_s = time.monotonic() - started_s

    def _final(self, kind: Kind, result: Result) -> bool:
        confirmed = kind.method != "GET" and result.outcome == "unknown"
        return result.outcome == "done" or confirmed

    async def _try(
        self,
        address: str,
        kind: Kind,
        result: Result,
        left_s: float,
        number: int,
    ) -> None:
        headers = {
            wire.REQUEST_ID: result.request_id,
            wire.DEADLINE: f"{left_s:.3f}",
            "x-mark": result.request_id,
        }
        if number:
            headers["Burdockfront-Repeat"] = str(number)
        rounds = 1 if kind.method == "GET" else _TICKET_ROUNDS
        for _ in range(rounds):
            if result.ticket:
                headers[wire.IDEMPOTENCY_KEY] = result.ticket
            fresh = await self._send(address, kind, headers, result, left_s)
            if not fresh:
                return
            result.ticket = fresh
            if result.reason != "ticket-needed":
                return

    async def _send(
        self,
        address: str,
        kind: Kind,
        headers: dict[str, str],
        result: Result,
        left_s: float,
    ) -> str:
        """Sends once; returns a fresh ticket if the answer brings one."""
        result.tries += 1
        url = yarl.URL(f"http://{address}{kind.path}", encoded=True)
        try:
            async with self._session.request(
                kind.method,
                url,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=min(left_s, self._try_s)),
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            result.outcome = "unknown"
            result.status = 0
            result.reason = type(error).__name__
            return ""
        result.status = response.status
        result.reason = response.headers.get(wire.REASON, "")
        result.outcome = response.headers.get(wire.OUTCOME, "unknown")
        if result.outcome == "done" and response.status >= 400:
            result.outcome = "error"
        if result.outcome == "done":
            result.mixed_up = result.request_id.encode() not in body
        return response.headers.get(wire.TICKET, "")
