"""Detects crashes of the backend server beside a node, and their suspects.

All requests that are in flight at a server lose their answers at the moment it
crashes. Any of them may be the cause, and a single crash does not show which;
so all of them are reported as suspects, identified by their content.

A lost answer alone does not show a crash: servers also abort answers and reset
connections. It counts as a crash if the server's port is closed afterwards, or
if another incarnation announces itself although the previous one did not
announce that it leaves.
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

# A server may still be processing a request that its caller abandoned.
_STILL_RUNNING_S = 1.0
# The answers of one crash are lost within milliseconds of each other. Suspects
# that follow the first ones are collected for this time and reported together.
_GATHER_S = 0.001
# More than the number of slots of any server: requests abandoned within the
# last second.
_MAX_ABANDONED = 256


IsPortClosed = Callable[[str], Awaitable[bool]]


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request that was in flight at a backend server when it crashed.

    Attributes:
        request_id: Its id, for logs; a repeat has another one.
        suspect: Its content and source.
    """

    request_id: str
    suspect: crashes.Suspect


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of the backend server beside this node.

    Attributes:
        crash_id: Unique among the crashes that all nodes report.
        at_s: Wall clock time.
        in_flight: The requests that were in flight at the server.
    """

    crash_id: str
    at_s: float
    in_flight: tuple[InFlightRequest, ...]


@dataclasses.dataclass(slots=True)
class _Run:
    attempt: calls.Attempt
    address: str
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Abandoned:
    request: InFlightRequest
    at_s: float


class CrashDetector:
    """Tracks the requests at one backend server and detects its crashes.

    Args:
        boot_id: Id of this process; crash ids consist of it and a number.
        on_crash: Called for each crash, and again with all of its suspects
            when more of them become known.
        is_port_closed: Returns whether no process listens at an address.

    Attributes:
        crashes: Number of crashes detected.
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
        self._abandoned: collections.deque[_Abandoned] = collections.deque(
            maxlen=_MAX_ABANDONED
        )
        self._probe: asyncio.Task[bool] | None = None
        self._answered_at_s = 0.0
        self._crashed_at_s = 0.0
        # Suspects of the latest crash, and how many of them were reported.
        self._suspects: dict[InFlightRequest, None] = {}
        self._reported = 0
        self._crashed_wall_s = 0.0
        self.crashes = 0

    def on_start(
        self, attempt: calls.Attempt, address: str, now_s: float
    ) -> None:
        """Records that an attempt is handed over.

        Args:
            attempt: The attempt.
            address: Address of the backend server.
            now_s: The current time.
        """
        run = _Run(attempt, address, now_s)
        self._running[attempt.context.attempt_id] = run

    def on_end(
        self, attempt: calls.Attempt, answer: outcomes.Answer | None
    ) -> None:
        """Records the end of a run.

        If the answer was lost, `on_lost_answer` has to be called as well.

        Args:
            attempt: The attempt that was handed over.
            answer: Its answer; None if the caller left.
        """
        if answer is not None and answer.reason is outcomes.Reason.LOST_ANSWER:
            return
        self._running.pop(attempt.context.attempt_id, None)
        if answer is None or answer.outcome is outcomes.Outcome.UNKNOWN:
            self._record_abandoned(_in_flight_request_of(attempt))
        elif answer.reason in (None, outcomes.Reason.REJECTED):
            self._answered_at_s = time.monotonic()

    async def on_lost_answer(self, attempt: calls.Attempt) -> bool:
        """Records a lost answer and checks whether the server crashed.

        Returns:
            Whether the server crashed.
        """
        run = self._running.pop(attempt.context.attempt_id)
        request = _in_flight_request_of(attempt)
        if run.started_s < self._crashed_at_s:
            self._add_suspect(request)
            return True
        self._lost.append(request)
        if self._probe is None:
            self._probe = asyncio.create_task(self._check(run.address))
        return await asyncio.shield(self._probe)

    def on_replaced(self) -> None:
        """Records a new incarnation whose predecessor announced no leave.

        A server that hangs while it crashes answers neither requests nor
        connection attempts; without this check its crash would go unnoticed.
        """
        if self._crashed_at_s > self._answered_at_s:
            # The crash was detected already; running requests were handed to
            # the new incarnation.
            return
        pending = [
            _in_flight_request_of(run.attempt) for run in self._running.values()
        ]
        requests = pending + self._abandoned_since(self._answered_at_s)
        if requests:
            self._record_crash(requests)

    async def _check(self, address: str) -> bool:
        """Probes the server once for all answers lost at the same moment."""
        closed = await self._is_port_closed(address)
        self._probe = None
        lost, self._lost = self._lost, []
        if not closed:
            for request in lost:
                self._record_abandoned(request)
            return False
        still_running_s = time.monotonic() - _STILL_RUNNING_S
        since_s = min(self._answered_at_s, still_running_s)
        self._record_crash(lost + self._abandoned_since(since_s))
        return True

    def _record_crash(self, requests: list[InFlightRequest]) -> None:
        self.crashes += 1
        self._crashed_at_s = time.monotonic()
        self._crashed_wall_s = time.time()
        self._abandoned.clear()
        self._suspects = dict.fromkeys(requests)
        self._reported = 0
        self._report()

    def _add_suspect(self, request: InFlightRequest) -> None:
        """Adds a suspect to the latest crash and schedules its report."""
        first = len(self._suspects) == self._reported
        self._suspects[request] = None
        if first:
            loop = asyncio.get_running_loop()
            loop.call_later(_GATHER_S, self._report)

    def _report(self) -> None:
        if len(self._suspects) == self._reported:
            return
        self._reported = len(self._suspects)
        crash_id = crashes.crash_id_of(self._boot_id, self.crashes)
        found = tuple(self._suspects)
        self._on_crash(Crash(crash_id, self._crashed_wall_s, found))

    def _record_abandoned(self, request: InFlightRequest) -> None:
        self._abandoned.append(_Abandoned(request, time.monotonic()))

    def _abandoned_since(self, since_s: float) -> list[InFlightRequest]:
        return [a.request for a in self._abandoned if a.at_s >= since_s]


def suspect_of(call: calls.Call) -> crashes.Suspect:
    """Returns the content and source of a call."""
    fingerprint = fingerprints.fingerprint_of(
        call.method, call.host, call.target, call.headers, call.body
    )
    return crashes.Suspect(fingerprint, call.origin_service, call.account)


def _in_flight_request_of(attempt: calls.Attempt) -> InFlightRequest:
    return InFlightRequest(attempt.context.request_id, suspect_of(attempt.call))
