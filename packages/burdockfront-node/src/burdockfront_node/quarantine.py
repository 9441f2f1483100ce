"""Protects backend servers from requests that crash them.

`burdockfront.crashes` decides what counts against a request. This module
connects it to a node: it reports crashes and answers of the node's backend
server to all nodes, tells entries and guards whether a request may run, and
runs suspects one at a time.
"""

import asyncio
import time
from collections.abc import Callable

from burdockfront import admission
from burdockfront import crashes
from burdockfront import outcomes
from burdockfront import tables
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_node import backend_probe
from burdockfront_node import crash_detector as crash_detector_lib

# An innocent suspect that would wait longer is better served by another server.
# It has not run, so it may be rerouted.
_MAX_LOCK_WAIT_S = 0.5


class Quarantine:
    """Refuses or serialises the suspects at one node.

    Args:
        boot_id: Id of this process; crash ids consist of it and a number.
        tracker: Tracks the crashes that all nodes report.
        publish: Merges an entry into the tracker and sends it to other nodes.
        recorder: Records events.
        is_port_closed: Returns whether no process listens at an address.

    Attributes:
        crash_detector: Tracks the requests in flight and detects crashes.
    """

    def __init__(
        self,
        boot_id: str,
        tracker: crashes.CrashTracker,
        publish: Callable[[tables.Entry], None],
        recorder: timeline.Recorder,
        is_port_closed: crash_detector_lib.IsPortClosed = (
            backend_probe.is_port_closed
        ),
    ):
        self._tracker = tracker
        self._publish = publish
        self._recorder = recorder
        self._suspect_lock = _SuspectLock()
        self.crash_detector = crash_detector_lib.CrashDetector(
            boot_id, self._on_crash, is_port_closed
        )

    def refusal_of(self, call: calls.Call) -> outcomes.Answer | None:
        """Returns the refusal of a call that must not run now, or None."""
        if not self._tracker.suspects:
            return None
        suspect = crash_detector_lib.suspect_of(call)
        return self._refusal_of(call, suspect, self._assess(suspect))

    async def enter(self, attempt: calls.Attempt) -> outcomes.Answer | None:
        """Waits until no other suspect keeps an attempt from running.

        Returns:
            A refusal, or None; in that case `leave` has to be called later.
        """
        if not self._tracker.suspects:
            return None
        suspect = crash_detector_lib.suspect_of(attempt.call)
        assessment = self._assess(suspect)
        if assessment.standing is crashes.Standing.ALONE:
            attempt_id = attempt.context.attempt_id
            wait_s = min(_MAX_LOCK_WAIT_S, attempt.context.remaining_s)
            if not await self._suspect_lock.acquire(attempt_id, wait_s):
                return outcomes.not_run(
                    outcomes.Reason.OVERLOAD, admission.RETRY_AFTER_S
                )
            # Meanwhile it may have been acquitted, or have crashed another
            # server.
            assessment = self._assess(suspect)
            if assessment.standing is not crashes.Standing.ALONE:
                self._suspect_lock.release(attempt_id)
        return self._refusal_of(attempt.call, suspect, assessment)

    def leave(self, attempt: calls.Attempt) -> None:
        """Lets the next suspect run; repeated calls have no effect."""
        self._suspect_lock.release(attempt.context.attempt_id)

    def on_end(
        self, attempt: calls.Attempt, answer: outcomes.Answer | None
    ) -> None:
        """Records the end of a run; an answer acquits the request.

        Args:
            attempt: The attempt that ran.
            answer: Its answer; None if its caller left.
        """
        self._suspect_lock.release(attempt.context.attempt_id)
        self.crash_detector.on_end(attempt, answer)
        if not self._tracker.suspects:
            return
        if answer is not None and answer.outcome is outcomes.Outcome.DONE:
            self._acquit(attempt)

    def _acquit(self, attempt: calls.Attempt) -> None:
        suspect = crash_detector_lib.suspect_of(attempt.call)
        for entry in self._tracker.acquittals_of(suspect, time.time()):
            self._publish(entry)

    def _refusal_of(
        self,
        call: calls.Call,
        suspect: crashes.Suspect,
        assessment: crashes.Assessment,
    ) -> outcomes.Answer | None:
        """Returns a refusal, or None.

        The recorded event links the id of the request to its fingerprint, which
        leads to the crashes.
        """
        if not assessment.refused_s:
            return None
        self._recorder.record(
            time.time(),
            "request.refused",
            call.context.request_id,
            fingerprint=suspect.fingerprint,
            standing=assessment.standing.value,
            refused_s=round(assessment.refused_s, 1),
        )
        return outcomes.not_run(
            outcomes.Reason.QUARANTINED, assessment.refused_s
        )

    def _assess(self, suspect: crashes.Suspect) -> crashes.Assessment:
        return self._tracker.assess(suspect, time.monotonic(), time.time())

    def _on_crash(self, crash: crash_detector_lib.Crash) -> None:
        """Publishes a crash of the backend server beside this node."""
        suspects = [one.suspect for one in crash.in_flight]
        self._recorder.record(
            time.time(),
            "backend.crashed",
            crash=crash.crash_id,
            suspects=[
                f"{one.request_id} {one.suspect.fingerprint}"
                for one in crash.in_flight
            ],
        )
        self._publish(crashes.crash_entry(crash.crash_id, suspects, crash.at_s))


class _SuspectLock:
    """Lock that lets suspects run one at a time.

    If several suspects ran at a server that crashes, all of them would be
    suspected again, and the cause could not be told from the others.
    """

    def __init__(self) -> None:
        self._lock = asyncio.Lock()
        self._holder = ""

    async def acquire(self, attempt_id: str, timeout_s: float) -> bool:
        """Waits for the lock; returns whether it was acquired in time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._lock.acquire()
        except TimeoutError:
            return False
        self._holder = attempt_id
        return True

    def release(self, attempt_id: str) -> None:
        """Releases the lock if this attempt holds it."""
        if self._holder == attempt_id:
            self._holder = ""
            self._lock.release()


def standalone(recorder: timeline.Recorder) -> Quarantine:
    """Returns a quarantine that does not exchange crashes with other nodes."""
    tracker = crashes.CrashTracker()

    def publish(entry: tables.Entry) -> None:
        tracker.merge(entry, time.monotonic(), time.time())

    return Quarantine("", tracker, publish, recorder)
