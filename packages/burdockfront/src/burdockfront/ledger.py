"""The owner's ledger: hands each ticket to a backend server at most once.

States of a ticket at its owner:

    (absent) --begin--> RESERVED --hand_over--> RUNNING --finish--> FINISHED
                            |--close--> CLOSED   (answered not-run; never runs)
                            `--move---> MOVED    (a successor owns it)

Invariant: only `hand_over` leads to a run, and only from RESERVED, which is
entered only from absent. An entry stays until its ticket has expired, so a
late repeat always finds it and cannot run a second time.

The answers of FINISHED tickets are kept for repeats, but have a limit of their
own: the oldest are forgotten first. A repeat then learns that it has run, and
gets no answer. With one limit for entries and answers, a few large answers
would leave no room for entries, and no ticket would run until they expire.

CLOSED is needed when two attempts carry one ticket: the first is delayed in the
network, the second is refused with `not-run`, then the first arrives. If the
first ran, the `not-run` answer would be false. The refusal therefore closes the
ticket, and the refused caller gets a new one with the refusal.
"""

import dataclasses
import enum

from burdockfront import outcomes
from burdockfront import tickets

# Entries are kept this long after their ticket expires, so a request that was
# checked just before the expiry still finds its entry.
_GRACE_S = 30.0
_ENTRY_BYTES = 400
# Estimated memory of an answer besides its body and headers, and of a header.
_ANSWER_BYTES = 600
_HEADER_BYTES = 160
DEFAULT_ANSWERS_BYTES = 16_000_000


class Decision(enum.Enum):
    """What to do with a received ticket."""

    RUN = "run"
    REPLAY = "replay"
    WAIT = "wait"
    FORWARD = "forward"
    FORGOTTEN = "forgotten"
    REFUSE = "refuse"


@dataclasses.dataclass(slots=True)
class _Entry:
    expires_s: float
    handed_over: bool = False
    finished: bool = False
    answer: outcomes.Answer | None = None
    moved_to: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The decision, with the stored answer or the successor ticket."""

    decision: Decision
    answer: outcomes.Answer | None = None
    moved_to: str | None = None


class Ledger:
    """State of the tickets of one node incarnation.

    Args:
        node_id: The owner's id.
        boot_id: Id of the owner's process.
        capacity_bytes: Memory limit of the entries. A full ledger refuses new
            tickets instead of evicting entries, because an evicted ticket
            could run twice.
        answers_bytes: Memory limit of the answers that are kept for repeats.

    Attributes:
        answers_forgotten: Number of answers forgotten for room so far.
        refused_full: Number of tickets refused for room so far.
    """

    def __init__(
        self,
        node_id: str,
        boot_id: str,
        capacity_bytes: int = 64_000_000,
        answers_bytes: int = DEFAULT_ANSWERS_BYTES,
    ):
        self.answers_forgotten = 0
        self.refused_full = 0
        self._node_id = node_id
        self._boot_id = boot_id
        self._capacity_bytes = capacity_bytes
        self._answers_capacity_bytes = answers_bytes
        self._entries: dict[str, _Entry] = {}
        # Sizes of the answers that are kept, the oldest first.
        self._answer_sizes: dict[str, int] = {}
        self._answers_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def used_bytes(self) -> int:
        """Estimated memory of all entries, without answers."""
        return len(self._entries) * _ENTRY_BYTES

    @property
    def answers_bytes(self) -> int:
        """Estimated memory of the answers that are kept for repeats."""
        return self._answers_bytes

    def begin(self, ticket: tickets.Ticket, wall_s: float) -> Verdict:
        """Decides what to do with a ticket, and reserves it if it may run.

        Args:
            ticket: The received ticket.
            wall_s: The owner's wall clock time, which must never go back.
        """
        verdict = self.look_up(ticket, wall_s)
        if verdict.decision is Decision.RUN:
            self._entries[ticket.nonce] = _Entry(ticket.expires_s)
        return verdict

    def look_up(self, ticket: tickets.Ticket, wall_s: float) -> Verdict:
        """Like `begin`, but reserves nothing; for status queries."""
        entry = self._entries.get(ticket.nonce)
        if entry is not None:
            return _verdict_of(entry)
        refusal = self._refusal(ticket, wall_s)
        if refusal is not None:
            return Verdict(Decision.REFUSE, answer=refusal)
        return Verdict(Decision.RUN)

    def hand_over(self, nonce: str) -> None:
        """Records that the request is about to go to the backend server."""
        entry = self._entries[nonce]
        assert not entry.handed_over, "a ticket is handed over at most once"
        assert entry.answer is None, "a closed ticket never runs"
        assert entry.moved_to is None, "a moved ticket never runs here"
        entry.handed_over = True

    def close(self, nonce: str, refusal: outcomes.Answer) -> None:
        """Stores a refusal; the ticket never runs from now on."""
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        entry = self._entries[nonce]
        assert not entry.handed_over, (
            "a ticket that was handed over may have run"
        )
        entry.answer = refusal

    def record_backend_refusal(
        self, nonce: str, refusal: outcomes.Answer
    ) -> None:
        """Stores a backend server's answer that it did not run the request."""
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        self._entries[nonce].answer = refusal

    def move(self, nonce: str, successor: str) -> None:
        """Transfers a ticket that has not run here to another owner for good.

        Without the record, a repeat here by a caller that lost the answer
        would run a second time, in addition to the run at the successor.
        """
        entry = self._entries[nonce]
        assert not entry.handed_over, (
            "a ticket that was handed over may have run"
        )
        assert entry.answer is None, "a closed ticket is not moved"
        entry.moved_to = successor

    def finish(self, nonce: str, answer: outcomes.Answer) -> None:
        """Stores the answer for repeats."""
        assert answer.outcome is not outcomes.Outcome.NOT_RUN
        entry = self._entries[nonce]
        assert entry.handed_over, (
            "only a ticket that was handed over has an answer"
        )
        entry.finished = True
        if answer.outcome is not outcomes.Outcome.DONE:
            # That an answer was lost is a fact, and as small as one.
            entry.answer = answer
            return
        size_bytes = _size_of(answer)
        if size_bytes > self._answers_capacity_bytes:
            self.answers_forgotten += 1
            return
        entry.answer = answer
        self._answer_sizes[nonce] = size_bytes
        self._answers_bytes += size_bytes
        while self._answers_bytes > self._answers_capacity_bytes:
            self.answers_forgotten += 1
            oldest = next(iter(self._answer_sizes))
            self._entries[oldest].answer = None
            self._drop_answer(oldest)

    def expire(self, wall_s: float) -> int:
        """Removes entries of expired tickets and returns their number."""
        expired = [
            nonce
            for nonce, entry in self._entries.items()
            if entry.expires_s + _GRACE_S < wall_s
        ]
        for nonce in expired:
            del self._entries[nonce]
            self._drop_answer(nonce)
        return len(expired)

    def _drop_answer(self, nonce: str) -> None:
        self._answers_bytes -= self._answer_sizes.pop(nonce, 0)

    def _refusal(
        self, ticket: tickets.Ticket, wall_s: float
    ) -> outcomes.Answer | None:
        owned = (
            ticket.owner == self._node_id and ticket.boot_id == self._boot_id
        )
        if not owned or wall_s > ticket.expires_s:
            return outcomes.unknown(outcomes.Reason.TICKET_OWNER_GONE)
        if self.used_bytes >= self._capacity_bytes:
            # Not `not-run`: the refusal is not stored, so this ticket may
            # still run if a delayed attempt arrives when there is room again.
            self.refused_full += 1
            return outcomes.unknown(outcomes.Reason.OVERLOAD, 1.0)
        return None


def _verdict_of(entry: _Entry) -> Verdict:
    if entry.moved_to is not None:
        return Verdict(Decision.FORWARD, moved_to=entry.moved_to)
    if entry.answer is not None:
        return Verdict(Decision.REPLAY, answer=entry.answer)
    if entry.finished:
        return Verdict(Decision.FORGOTTEN)
    return Verdict(Decision.WAIT)


def _size_of(answer: outcomes.Answer) -> int:
    headers_bytes = sum(
        len(name) + len(value) + _HEADER_BYTES for name, value in answer.headers
    )
    return _ANSWER_BYTES + headers_bytes + len(answer.body)
