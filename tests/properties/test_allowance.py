"""Property tests of the retry allowance and the retry ratio.

In the call tree, calls branch and run in parallel, and answers arrive late,
twice or never. The number of retries in the whole tree must not exceed the
number of units that the entry minted.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from burdockfront import allowance

_MINTED = 5


class CallTree(stateful.RuleBasedStateMachine):
    """Pools of attempts, with the attempt that lent units to each of them."""

    def __init__(self):
        super().__init__()
        self.pools = {"root": allowance.AllowancePool(_MINTED)}
        self.parents = {}
        self.answers = []
        self.used = 0
        self.count = 0

    def _pick(self, index):
        names = sorted(self.pools)
        return names[index % len(names)]

    @stateful.rule(index=strategies.integers(0, 20))
    def call_deeper(self, index):
        parent = self._pick(index)
        self.count += 1
        name = f"a{self.count}"
        self.pools[name] = allowance.AllowancePool(
            self.pools[parent].lend(name)
        )
        self.parents[name] = parent

    @stateful.rule(index=strategies.integers(0, 20))
    def retry(self, index):
        if self.pools[self._pick(index)].use():
            self.used += 1

    @stateful.rule(index=strategies.integers(0, 20))
    def answer_leaves(self, index):
        name = self._pick(index)
        if name in self.parents:
            pool = self.pools.pop(name)
            self.answers.append((name, self.parents.pop(name), pool.units))

    @stateful.rule(index=strategies.integers(0, 20))
    def answer_arrives(self, index):
        # The answer stays in the list, as it may arrive a second time.
        if self.answers:
            name, parent, units = self.answers[index % len(self.answers)]
            if parent in self.pools:
                self.pools[parent].return_unused(name, units)

    @stateful.rule(index=strategies.integers(0, 20))
    def answer_is_given_up(self, index):
        if self.answers:
            name, parent, _ = self.answers[index % len(self.answers)]
            if parent in self.pools:
                self.pools[parent].write_off(name)

    @stateful.rule(index=strategies.integers(0, 20))
    def answer_of_a_stranger_arrives(self, index):
        self.pools[self._pick(index)].return_unused("nobody", 100)

    @stateful.invariant()
    def retries_are_bounded(self):
        assert self.used <= _MINTED

    @stateful.invariant()
    def no_unit_is_in_two_places(self):
        held = sum(pool.units for pool in self.pools.values())
        assert held + self.used <= _MINTED


TestCallTree = CallTree.TestCase
TestCallTree.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.booleans(),
            strategies.sampled_from([0.0, 0.001, 0.1, 3.0]),
            strategies.integers(0, 800),
        ),
        max_size=400,
    ),
    strategies.floats(0.0, 0.5),
)
@hypothesis.settings(deadline=None, derandomize=True)
def test_ratio_bounds_retries_of_a_node(steps, share):
    ratio = allowance.RetryRatio(share)
    first_tries = retries = 0
    now_s = 0.0
    for is_first, elapsed_s, priority in steps:
        now_s += elapsed_s
        if is_first:
            first_tries += 1
            ratio.first_try(now_s)
        else:
            retries += ratio.retry(now_s, priority)
    assert retries <= 10 + share * first_tries + 1e-6


_NODES = 3
_SLACK = 48.0
_SHARE = 0.2
_WINDOW_S = 10


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 60), strategies.integers(0, 60)
        ),
        min_size=15,
        max_size=40,
    )
)
@hypothesis.settings(deadline=None, derandomize=True, max_examples=60)
def test_retries_of_all_nodes_are_bounded_in_every_window(seconds):
    # Load rises and falls arbitrarily, and the demand for retries is at its
    # highest. Tokens of a busy second must not be used in a quiet window.
    ratios = [
        allowance.RetryRatio(0.9 * _SHARE, _SLACK / 2 / _NODES)
        for _ in range(_NODES)
    ]
    firsts = [0] * len(seconds)
    retries = [0] * len(seconds)
    for second, (first_tries, wanted) in enumerate(seconds):
        for ratio in ratios:
            for number in range(first_tries):
                ratio.first_try(second + number / 61)
                firsts[second] += 1
            for _ in range(wanted):
                retries[second] += ratio.retry(second + 0.99)
    for begin in range(len(seconds) - _WINDOW_S + 1):
        end = begin + _WINDOW_S
        allowed = _SHARE * sum(firsts[begin:end]) + _SLACK
        assert sum(retries[begin:end]) <= allowed
