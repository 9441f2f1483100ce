"""Notices that the backend server beside a node crashed, and under what.

All requests that a server works on lose their answers in the moment in which it
crashes. One of them may be the cause, and nobody can tell which from this crash
alone; so all of them are told of as suspects, by their content.

A lost answer by itself is no crash: servers break off answers and reset
connections. It is one if nobody listens at the server's address afterwards, or
if another incarnation announces itself without the one before having left.
"""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import crashes
from burdockfront import fingerprints
from burdockfront import outcomes
from burdockfront_client import calls
from burdockfront_node import backend_probe

# A server may still work on a request that its caller gave up.
_STILL_AT_WORK_S = 1.0
# The answers of one crash are lost within milliseconds of each other. What
# comes behind the first ones is told of together.
_GATHER_S = 0.001
# More than any server has slots, given up in the last second.
_MOST_GIVEN_UP = 256


IsPortClosed = Callable[[str], Awaitable[bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request that was at a backend server when it crashed.

    Attributes:
        request_id: Its id, for logs; a repeat has another one.
        suspect: What it asks for.
    """

    request_id: str
    suspect: crashes.Suspect


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of the backend server beside this node.

    Attributes:
        crash_id: Names it among the crashes of all nodes.
        at_s: Wall clock.
        at_work: What was at the server.
    """

    crash_id: str
    at_s: float
    in_flight: tuple[InFlightRequest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    attempt: calls.Attempt
    address: str
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _GivenUp:
    at_work: InFlightRequest
    at_s: float


class CrashDetector:
    """Watches the runs at one backend server.

    Args:
        boot_id: Names this process, and with a number each crash.
        on_crash: Called for each crash, and again when more of its suspects
            become known; then with all of them.
        is_port_closed: Tells whether nobody listens at an address.
    """

    def __init__(
        self,
        boot_id: str,
        on_crash: Callable[[Crash], None],
        is_port_closed: IsPortClosed = backend_probe.is_port_closed,
    ):
        self._boot_id = boot_id
        self._on_crash = on_crash
        self._is_port_closed = is_port_closed
        self._running: dict[str, _Run] = {}
        self._lost: list[InFlightRequest] = []
        self._given_up: collections.deque[_GivenUp] = collections.deque(
            maxlen=_MOST_GIVEN_UP
        )
        self._probe: asyncio.Task[bool] | None = None
        self._answered_at_s = 0.0
        self._crashed_at_s = 0.0
        self._at_work: dict[InFlightRequest, None] = {}
        self._told = 0
        self._crashed_wall_s = 0.0
        self.crashes = 0

    def on_start(
        self, attempt: calls.Attempt, address: str, now_s: float
    ) -> None:
        """Notes that an attempt is handed over.

        Args:
            attempt: The attempt.
            address: Of the backend server.
            now_s: The current time.
        """
        run = _Run(attempt, address, now_s)
        self._running[attempt.context.attempt_id] = run

    def on_end(
        self, attempt: calls.Attempt, answer: outcomes.Answer | None
    ) -> None:
        """Notes the end of a run; one whose answer was lost goes to `lost`.

        Args:
            attempt: What was handed over.
            answer: What is known of it; None if its caller left.
        """
        if answer is not None and answer.reason is outcomes.Reason.LOST_ANSWER:
            return
        self._running.pop(attempt.context.attempt_id, None)
        if answer is None or answer.outcome is outcomes.Outcome.UNKNOWN:
            self._give_up(_in_flight_request_of(attempt))
        elif answer.reason in (None, outcomes.Reason.REJECTED):
            self._answered_at_s = time.monotonic()

    async def on_lost_answer(self, attempt: calls.Attempt) -> bool:
        """Notes a lost answer, and finds out whether the server crashed.

        Returns:
            Whether it crashed.
        """
        run = self._running.pop(attempt.context.attempt_id)
        at_work = _in_flight_request_of(attempt)
        if run.started_s < self._crashed_at_s:
            self._accuse_later(at_work)
            return True
        self._lost.append(at_work)
        if self._probe is None:
            self._probe = asyncio.create_task(self._find_out(run.address))
        return await asyncio.shield(self._probe)

    def on_replaced(self) -> None:
        """Notes another incarnation, though the one before did not leave.

        A server that falls silent as it crashes answers neither requests nor
        connections; without this it would crash unseen.
        """
        if self._crashed_at_s > self._answered_at_s:
            # Seen already; what runs now was handed to the new incarnation.
            return
        pending = [
            _in_flight_request_of(run.attempt) for run in self._running.values()
        ]
        at_work = pending + self._given_up_since(self._answered_at_s)
        if at_work:
            self._begin_crash(at_work)

    async def _find_out(self, address: str) -> bool:
        """Asks once for all answers that are lost in one moment."""
        gone = await self._is_port_closed(address)
        self._probe = None
        lost, self._lost = self._lost, []
        if not gone:
            for at_work in lost:
                self._give_up(at_work)
            return False
        still_at_work_s = time.monotonic() - _STILL_AT_WORK_S
        since_s = min(self._answered_at_s, still_at_work_s)
        self._begin_crash(lost + self._given_up_since(since_s))
        return True

    def _begin_crash(self, at_work: list[InFlightRequest]) -> None:
        self.crashes += 1
        self._crashed_at_s = time.monotonic()
        self._crashed_wall_s = time.time()
        self._given_up.clear()
        self._at_work = dict.fromkeys(at_work)
        self._told = 0
        self._tell()

    def _accuse_later(self, at_work: InFlightRequest) -> None:
        first = len(self._at_work) == self._told
        self._at_work[at_work] = None
        if first:
            loop = asyncio.get_running_loop()
            loop.call_later(_GATHER_S, self._tell)

    def _tell(self) -> None:
        if len(self._at_work) == self._told:
            return
        self._told = len(self._at_work)
        crash_id = crashes.crash_id_of(self._boot_id, self.crashes)
        found = tuple(self._at_work)
        self._on_crash(Crash(crash_id, self._crashed_wall_s, found))

    def _give_up(self, at_work: InFlightRequest) -> None:
        self._given_up.append(_GivenUp(at_work, time.monotonic()))

    def _given_up_since(self, since_s: float) -> list[InFlightRequest]:
        return [g.at_work for g in self._given_up if g.at_s >= since_s]


def suspect_of(call: calls.Call) -> crashes.Suspect:
    """Returns what a call asks for."""
    fingerprint = fingerprints.fingerprint_of(
        call.method, call.host, call.target, call.headers, call.body
    )
    return crashes.Suspect(fingerprint, call.origin_service, call.account)


def _in_flight_request_of(attempt: calls.Attempt) -> InFlightRequest:
    return InFlightRequest(attempt.context.request_id, suspect_of(attempt.call))
