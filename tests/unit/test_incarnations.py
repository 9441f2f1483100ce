"""Which incarnation of a backend server is believed to be in service."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from burdockfront import incarnations
from tests import builders


def test_late_message_does_not_bring_a_leaving_server_back():
    # The server said that it leaves and was acknowledged; a heartbeat that was
    # held up on the way says "ready". Work handed over now would be lost.
    known = incarnations.Incarnations()
    known.hear(builders.a_beat("i-1", sequence=1))
    known.hear(builders.a_beat("i-1", sequence=3, leaving=True))
    assert not known.hear(builders.a_beat("i-1", sequence=2))
    assert known.hear(builders.a_beat("i-1", sequence=4))
    assert known.current.leaving


def test_new_start_takes_over_at_once():
    known = incarnations.Incarnations()
    known.hear(builders.a_beat("i-1", sequence=9))
    assert known.hear(builders.a_beat("i-2", sequence=1))
    assert known.current.instance_id == "i-2"


def test_single_late_message_of_the_one_before_changes_nothing():
    # A cut held a heartbeat back. Its sender crashed, another incarnation
    # registered at the same address, then the cut healed.
    known = incarnations.Incarnations()
    known.hear(builders.a_beat("i-1", sequence=5))
    known.hear(builders.a_beat("i-2", sequence=1))
    assert not known.hear(builders.a_beat("i-1", sequence=6))
    assert known.current.instance_id == "i-2"


def test_server_that_lives_comes_back_with_its_second_message():
    # After a restart of the node the first message was a late one of an
    # incarnation that is gone; the one that lives must not be shut out.
    known = incarnations.Incarnations()
    known.hear(builders.a_beat("i-2", sequence=4))
    known.hear(builders.a_beat("i-1", sequence=9))
    known.hear(builders.a_beat("i-2", sequence=5))
    assert known.hear(builders.a_beat("i-2", sequence=6))
    assert known.current.instance_id == "i-2"


def test_end_without_a_word_before_counts_as_leaving():
    known = incarnations.Incarnations()
    known.hear(builders.a_beat("i-1", sequence=1))
    assert known.leave("i-1")
    assert known.current.leaving


def test_end_that_overtakes_the_first_heartbeat_is_remembered():
    # A node restarts while its backend server leaves: the end arrives first,
    # a heartbeat from before it second.
    known = incarnations.Incarnations()
    assert not known.leave("i-1")
    assert not known.hear(builders.a_beat("i-1", sequence=7))
    assert known.current is None


def test_one_that_another_answered_for_is_out_until_it_speaks_again():
    known = incarnations.Incarnations()
    known.hear(builders.a_beat("i-1", sequence=1))
    known.not_there("i-1")
    assert known.current is None
    assert known.hear(builders.a_beat("i-1", sequence=2))


class LeavingNeverTakenBack(stateful.RuleBasedStateMachine):
    """Whatever arrives in whatever order, who left is not in service again."""

    def __init__(self):
        super().__init__()
        self.known = incarnations.Incarnations()
        self.left: set[str] = set()
        self.sequences: dict[str, int] = {}

    @stateful.rule(
        name=strategies.sampled_from(["a", "b", "c"]),
        sequence=strategies.integers(1, 30),
        leaving=strategies.booleans(),
    )
    def hear(self, name: str, sequence: int, leaving: bool) -> None:
        fresh = sequence > self.sequences.get(name, 0)
        self.known.hear(builders.a_beat(name, sequence, leaving))
        if fresh:
            self.sequences[name] = sequence
            if leaving:
                self.left.add(name)

    @stateful.rule(name=strategies.sampled_from(["a", "b", "c"]))
    def leave(self, name: str) -> None:
        self.known.leave(name)
        self.left.add(name)

    @stateful.invariant()
    def who_left_takes_no_work(self) -> None:
        current = self.known.current
        if current is not None and current.instance_id in self.left:
            assert current.leaving


TestLeavingNeverTakenBack = LeavingNeverTakenBack.TestCase
TestLeavingNeverTakenBack.settings = hypothesis.settings(max_examples=150)
