"""Property tests of admission: slots, order, and an answer to each request."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests import builders

_SLOTS = 3


class Admission(stateful.RuleBasedStateMachine):
    """One guard; the model is the set of requests without an answer."""

    def __init__(self):
        super().__init__()
        self.admission = builders.an_admission(slots=_SLOTS)
        self.now_s = 0.0
        self.count = 0
        self.waiting = {}
        self.running = set()

    @stateful.rule(
        rank=strategies.integers(0, 2),
        ordinal=strategies.integers(0, 255),
        depth=strategies.integers(0, 3),
        remaining_s=strategies.sampled_from([0.0, 0.1, 2.0]),
    )
    def arrive(self, rank, ordinal, depth, remaining_s):
        self.count += 1
        name = f"i{self.count}"
        context = builders.a_context(
            rank=rank, ordinal=ordinal, depth=depth, remaining_s=remaining_s
        )
        order = (rank, depth == 0, ordinal)
        self.waiting[name] = (order, self.now_s, context)
        self._follow(self.admission.offer(name, context, self.now_s))

    @stateful.rule(index=strategies.integers(0, 10))
    def finish(self, index):
        if self.running:
            name = sorted(self.running)[index % len(self.running)]
            self.running.remove(name)
            self._follow(self.admission.release(0.05, self.now_s))

    @stateful.rule(index=strategies.integers(0, 10))
    def caller_goes(self, index):
        if self.waiting:
            name = sorted(self.waiting)[index % len(self.waiting)]
            del self.waiting[name]
            self.admission.cancel(name)

    @stateful.rule(seconds=strategies.sampled_from([0.02, 0.2, 1.5]))
    def time_passes(self, seconds):
        self.now_s += seconds
        self._follow(self.admission.advance(self.now_s))

    def _follow(self, step):
        refused = {r.item_id: r.answer for r in step.refused}
        for name in step.started:
            order, _, context = self.waiting.pop(name)
            assert context.remaining_s > 0, "expired work ran"
            better = [
                other
                for other, (theirs, _, _) in self.waiting.items()
                if theirs < order and other not in refused
            ]
            assert not better, "a better request was passed over"
            self.running.add(name)
        for name, answer in refused.items():
            del self.waiting[name]
            assert answer.outcome == "not-run"
            assert answer.retry_after_s is not None

    @stateful.invariant()
    def slots_are_never_exceeded(self):
        assert len(self.running) == self.admission.in_use <= _SLOTS

    def teardown(self):
        self.now_s += 10.0
        self._follow(self.admission.advance(self.now_s))
        assert not self.waiting, "a request never got an answer"


TestAdmission = Admission.TestCase
TestAdmission.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 1), strategies.integers(0, 255)
        ),
        min_size=5,
        max_size=60,
    )
)
@hypothesis.settings(deadline=None, derandomize=True, max_examples=60)
def test_two_layers_keep_the_same_requests(requests):
    # If each layer chose independently, a request admitted by the first layer
    # would be refused by the second, and its work in the first be wasted.
    kept = []
    for _ in range(2):
        admission = builders.an_admission(slots=1)
        alive = set()
        for number, (rank, ordinal) in enumerate(requests):
            name = f"i{number}"
            context = builders.a_context(rank=rank, ordinal=ordinal, depth=1)
            alive.add(name)
            step = admission.offer(name, context, 0.0)
            alive -= {r.item_id for r in step.refused}
        kept.append(alive)
    assert kept[0] == kept[1]
