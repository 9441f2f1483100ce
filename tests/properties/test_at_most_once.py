"""At-most-once execution, checked against an oracle that counts runs.

Attempts with the same ticket reach owners late, twice and in any order; owners
restart; answers are lost. The oracle records each run and each answer.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from burdockfront import ledger
from burdockfront import outcomes
from tests import builders

_NONCES = [f"t{n}" for n in range(4)]
_LIFETIME_S = 100.0


class AtMostOnce(stateful.RuleBasedStateMachine):
    """One owner that restarts, and tickets issued for each of its processes."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.boot = 0
        self.ledger = self._new_ledger()
        self.tickets = {}
        self.runs = dict.fromkeys(_NONCES, 0)
        self.answered_not_run = set()
        self.reserved = set()
        self.running = set()

    def _new_ledger(self):
        return ledger.Ledger(
            "n1", f"b{self.boot}", capacity_bytes=1500, answers_bytes=2_000
        )

    @stateful.rule(nonce=strategies.sampled_from(_NONCES))
    def issue(self, nonce):
        if nonce not in self.tickets:
            self.tickets[nonce] = builders.a_ticket(
                nonce,
                boot_id=f"b{self.boot}",
                expires_s=self.now_s + _LIFETIME_S,
            )

    @stateful.rule(nonce=strategies.sampled_from(_NONCES))
    def attempt_arrives(self, nonce):
        if nonce not in self.tickets:
            return
        verdict = self.ledger.begin(self.tickets[nonce], self.now_s)
        if verdict.decision is ledger.Decision.RUN:
            self.reserved.add(nonce)
        elif verdict.decision is ledger.Decision.FORGOTTEN:
            assert self.runs[nonce] == 1, "a forgotten answer is that of a run"
        elif verdict.answer is not None:
            self._record_answer(nonce, verdict.answer.outcome)

    @stateful.rule(nonce=strategies.sampled_from(_NONCES))
    def slot_becomes_free(self, nonce):
        if nonce in self.reserved:
            self.reserved.remove(nonce)
            self.ledger.hand_over(nonce)
            self.runs[nonce] += 1
            self.running.add(nonce)

    @stateful.rule(nonce=strategies.sampled_from(_NONCES))
    def guard_refuses(self, nonce):
        if nonce in self.reserved:
            self.reserved.remove(nonce)
            self.ledger.close(nonce, builders.a_refusal())
            self._record_answer(nonce, "not-run")

    @stateful.rule(nonce=strategies.sampled_from(_NONCES))
    def guard_moves(self, nonce):
        if nonce in self.reserved:
            self.reserved.remove(nonce)
            self.ledger.move(nonce, "successor")

    @stateful.rule(nonce=strategies.sampled_from(_NONCES))
    def backend_answers(self, nonce):
        if nonce in self.running:
            self.running.remove(nonce)
            self.ledger.finish(nonce, builders.an_answer(b"x" * 300))

    @stateful.rule()
    def owner_restarts(self):
        self.boot += 1
        self.ledger = self._new_ledger()
        self.reserved.clear()
        self.running.clear()

    @stateful.rule(seconds=strategies.sampled_from([1.0, 50.0, 140.0]))
    def time_passes(self, seconds):
        self.now_s += seconds
        if not self.reserved and not self.running:
            self.ledger.expire(self.now_s)

    def _record_answer(self, nonce, outcome):
        if outcome == "not-run":
            assert self.runs[nonce] == 0, "answered not-run after a run"
            self.answered_not_run.add(nonce)

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.runs.values())

    @stateful.invariant()
    def not_run_stays_true(self):
        assert all(self.runs[nonce] == 0 for nonce in self.answered_not_run)


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


def test_full_ledger_refuses_instead_of_evicting():
    # Evicting an old entry to make room would let its late repeat run.
    full_ledger = ledger.Ledger("n1", "b1", capacity_bytes=400)
    full_ledger.begin(builders.a_ticket("first"), 0.0)
    verdict = full_ledger.begin(builders.a_ticket("second"), 0.0)
    assert verdict.decision is ledger.Decision.REFUSE
    assert verdict.answer.outcome == "unknown"


def test_other_incarnation_never_runs_a_ticket():
    restarted = ledger.Ledger("n1", "b2")
    verdict = restarted.begin(builders.a_ticket(boot_id="b1"), 0.0)
    assert verdict.decision is ledger.Decision.REFUSE
    assert verdict.answer.outcome == "unknown"


def test_answers_leave_room_for_tickets():
    """Guards against a node that refuses all confirmations for minutes."""
    entries_bytes = 64_000_000
    answers_bytes = 16_000_000
    owner = ledger.Ledger("n1", "b1", entries_bytes, answers_bytes)
    body = b"x" * 36_000
    per_s, lifetime_s = 30, 900.0
    for number in range(per_s * 3_600):
        now_s = number / per_s
        if number % (60 * per_s) == 0:
            owner.expire(now_s)
        ticket = builders.a_ticket(f"t{number}", expires_s=now_s + lifetime_s)
        verdict = owner.begin(ticket, now_s)
        assert verdict.decision is ledger.Decision.RUN
        owner.hand_over(ticket.nonce)
        owner.finish(ticket.nonce, builders.an_answer(body))
        assert owner.answers_bytes <= answers_bytes
        assert owner.used_bytes + owner.answers_bytes < entries_bytes


def test_forgotten_answer_is_not_run_again():
    """Guards against a second run in place of an answer that is not kept."""
    owner = ledger.Ledger("n1", "b1", answers_bytes=2_000)
    first, second = builders.a_ticket("first"), builders.a_ticket("second")
    for ticket in (first, second):
        owner.begin(ticket, 0.0)
        owner.hand_over(ticket.nonce)
        owner.finish(ticket.nonce, builders.an_answer(b"x" * 1_000))
    assert owner.begin(first, 0.0).decision is ledger.Decision.FORGOTTEN
    assert owner.begin(second, 0.0).decision is ledger.Decision.REPLAY
    assert owner.answers_forgotten == 1


def test_one_large_answer_costs_the_others_nothing():
    owner = ledger.Ledger("n1", "b1", answers_bytes=2_000)
    small, large = builders.a_ticket("small"), builders.a_ticket("large")
    for ticket, body in ((small, b"x"), (large, b"x" * 3_000)):
        owner.begin(ticket, 0.0)
        owner.hand_over(ticket.nonce)
        owner.finish(ticket.nonce, builders.an_answer(body))
    assert owner.begin(small, 0.0).decision is ledger.Decision.REPLAY
    assert owner.begin(large, 0.0).decision is ledger.Decision.FORGOTTEN


def test_lost_answer_is_never_forgotten():
    """Guards against a look-up that says done where nobody knows."""
    owner = ledger.Ledger("n1", "b1", answers_bytes=100)
    ticket = builders.a_ticket()
    owner.begin(ticket, 0.0)
    owner.hand_over(ticket.nonce)
    lost = outcomes.unknown(outcomes.Reason.LOST_ANSWER)
    owner.finish(ticket.nonce, lost)
    verdict = owner.begin(ticket, 0.0)
    assert verdict.decision is ledger.Decision.REPLAY
    assert verdict.answer is lost
