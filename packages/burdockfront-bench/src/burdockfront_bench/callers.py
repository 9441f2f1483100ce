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

    Args:
        session: HTTP client.
        deadline_s: After this an answer is worthless to the person.
        repeats: How often an impatient caller asks again at once.
    """

    def __init__(
        self, session: aiohttp.ClientSession, deadline_s: float, repeats: int
    ):
        self._session = session
        self._deadline_s = deadline_s
        self._repeats = repeats

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
        for number in range(1 + self._repeats):
            address = addresses[number % len(addresses)]
            left_s = self._deadline_s - (time.monotonic() - started_s)
            if left_s <= 0:
                break
            await self._try(address, kind, result, left_s, number)
            final = result.outcome == "done" or (
                kind.method != "GET" and result.outcome == "unknown"
            )
            if final:
                break
        result.elapsed_s = time.monotonic() - started_s

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
                timeout=aiohttp.ClientTimeout(total=left_s),
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
