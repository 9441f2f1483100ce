"""Keeps requests that crash backend servers from them.

What counts against a request is decided by `burdockfront.crashes`; this is the
way there and back: crashes and answers beside this node are told to all nodes,
entries and guards ask what a request may do, and guards run suspects one at a
time.
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

# An innocent suspect that waits longer is better off at another server; it has
# not run, so it may go there.
_LONGEST_TURN_WAIT_S = 0.5


class Quarantine:
    """The suspects at one node.

    Args:
        boot_id: Names this process, and with a number each crash.
        book: The crashes that count.
        tell: Takes an entry into the book, and tells other nodes.
        recorder: Where events go.
        is_port_closed: Tells whether nobody listens at an address.
    """

    def __init__(
        self,
        boot_id: str,
        book: crashes.CrashTracker,
        tell: Callable[[tables.Entry], None],
        recorder: timeline.Recorder,
        is_port_closed: crash_detector_lib.IsPortClosed = (
            backend_probe.is_port_closed
        ),
    ):
        self._book = book
        self._tell = tell
        self._recorder = recorder
        self._turns = _Turns()
        self.crash_detector = crash_detector_lib.CrashDetector(
            boot_id, self._crashed, is_port_closed
        )

    def refusal_of(self, call: calls.Call) -> outcomes.Answer | None:
        """Returns the refusal of a call that is not to run now."""
        if not self._book.suspects:
            return None
        suspect = crash_detector_lib.suspect_of(call)
        return self._refusal_of(call, suspect, self._judge(suspect))

    async def enter(self, attempt: calls.Attempt) -> outcomes.Answer | None:
        """Waits until an attempt may run as far as suspects go.

        Returns:
            A refusal, or None; then `leave` is owed.
        """
        if not self._book.suspects:
            return None
        suspect = crash_detector_lib.suspect_of(attempt.call)
        judgement = self._judge(suspect)
        if judgement.standing is crashes.Standing.ALONE:
            attempt_id = attempt.context.attempt_id
            wait_s = min(_LONGEST_TURN_WAIT_S, attempt.context.remaining_s)
            if not await self._turns.take(attempt_id, wait_s):
                return outcomes.not_run(
                    outcomes.Reason.OVERLOAD, admission.RETRY_AFTER_S
                )
            # It may have been acquitted meanwhile, or have crashed another.
            judgement = self._judge(suspect)
            if judgement.standing is not crashes.Standing.ALONE:
                self._turns.give(attempt_id)
        return self._refusal_of(attempt.call, suspect, judgement)

    def leave(self, attempt: calls.Attempt) -> None:
        """Lets the next suspect run; may be called more than once."""
        self._turns.give(attempt.context.attempt_id)

    def on_end(
        self, attempt: calls.Attempt, answer: outcomes.Answer | None
    ) -> None:
        """Notes the end of a run; an answer acquits the request.

        Args:
            attempt: What ran.
            answer: What is known of it; None if its caller left.
        """
        self.leave(attempt)
        self.crash_detector.on_end(attempt, answer)
        if answer is not None and answer.outcome is outcomes.Outcome.DONE:
            self._acquit(attempt)

    def _acquit(self, attempt: calls.Attempt) -> None:
        if not self._book.suspects:
            return
        suspect = crash_detector_lib.suspect_of(attempt.call)
        for entry in self._book.acquittals_of(suspect, time.time()):
            self._tell(entry)

    def _refusal_of(
        self,
        call: calls.Call,
        suspect: crashes.Suspect,
        judgement: crashes.Assessment,
    ) -> outcomes.Answer | None:
        """Returns a refusal, and logs what leads from its id to the crashes."""
        if not judgement.refused_s:
            return None
        self._recorder.record(
            time.time(),
            "request.refused",
            call.context.request_id,
            fingerprint=suspect.fingerprint,
            standing=judgement.standing.value,
            refused_s=round(judgement.refused_s, 1),
        )
        return outcomes.not_run(
            outcomes.Reason.QUARANTINED, judgement.refused_s
        )

    def _judge(self, suspect: crashes.Suspect) -> crashes.Assessment:
        return self._book.assess(suspect, time.monotonic(), time.time())

    def _crashed(self, crash: crash_detector_lib.Crash) -> None:
        """Tells of a crash of the backend server beside this node."""
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
        self._tell(crashes.crash_entry(crash.crash_id, suspects, crash.at_s))


class _Turns:
    """Lets one suspect after the other run.

    Several at one server that crashes would all be suspected again, and the
    one that does it could not be told from the others.
    """

    def __init__(self) -> None:
        self._free = asyncio.Lock()
        self._holder = ""

    async def take(self, attempt_id: str, longest_s: float) -> bool:
        """Waits for the turn; returns whether it came in time."""
        try:
            async with asyncio.timeout(longest_s):
                await self._free.acquire()
        except TimeoutError:
            return False
        self._holder = attempt_id
        return True

    def give(self, attempt_id: str) -> None:
        """Gives the turn back, if this attempt has it."""
        if self._holder == attempt_id:
            self._holder = ""
            self._free.release()


def standalone(recorder: timeline.Recorder) -> Quarantine:
    """Returns the quarantine of a node that has no others to tell."""
    book = crashes.CrashTracker()

    def tell(entry: tables.Entry) -> None:
        book.merge(entry, time.monotonic(), time.time())

    return Quarantine("", book, tell, recorder)
