"""Orders of events at the memory for request bodies."""

from burdockfront import body_budget


class _Upload:
    """The reservation of one body, and what was said to it."""

    def __init__(self, budget: body_budget.BodyBudget):
        self.said: list[str] = []
        self.reservation = budget.open(
            lambda: self.said.append("room"),
            lambda: self.said.append("given up"),
            0.0,
        )


def test_bodies_of_unknown_size_that_wait_for_each_other_make_room():
    """Guards against bodies in part that hold all memory and wait for more."""
    budget = body_budget.BodyBudget(100)
    first, second = _Upload(budget), _Upload(budget)
    assert budget.ask(first.reservation, 60, 0.0)
    assert budget.ask(second.reservation, 40, 0.0)
    assert not budget.ask(first.reservation, 90, 0.0)
    assert first.said == []
    assert not budget.ask(second.reservation, 80, 0.0)
    assert second.said == ["given up"], "the newest"
    assert first.said == ["room"]
    assert budget.used_bytes == 90


def test_body_beyond_the_capacity_is_read_alone():
    budget = body_budget.BodyBudget(100)
    small, large, later = (_Upload(budget) for _ in range(3))
    assert budget.ask(small.reservation, 10, 0.0)
    assert not budget.ask(large.reservation, 120, 0.0)
    assert not budget.ask(later.reservation, 10, 0.0)
    budget.complete(small.reservation, 10)
    budget.release(small.reservation, 0.0)
    assert (large.said, later.said) == (["room"], [])
    budget.complete(large.reservation, 120)
    budget.release(large.reservation, 0.0)
    assert later.said == ["room"]


def test_stalled_body_is_given_up_only_if_others_wait():
    budget = body_budget.BodyBudget(100)
    stalled, other = _Upload(budget), _Upload(budget)
    assert budget.ask(stalled.reservation, 90, 0.0)
    budget.give_up_stalled(10.0)
    assert stalled.said == []
    assert not budget.ask(other.reservation, 50, 10.0)
    budget.give_up_stalled(10.0 + body_budget.STALL_S)
    assert stalled.said == ["given up"]
    assert other.said == ["room"]


def test_time_to_return_follows_what_drains():
    budget = body_budget.BodyBudget(100)
    assert budget.retry_after_s(10, 0.0) < 1.0, "there is room"
    first, second = _Upload(budget), _Upload(budget)
    budget.ask(first.reservation, 50, 0.0)
    budget.ask(second.reservation, 50, 0.0)
    assert budget.retry_after_s(50, 0.0) == 5.0, "nothing has drained yet"
    budget.complete(first.reservation, 50)
    budget.release(first.reservation, 1.0)
    third = _Upload(budget)
    budget.ask(third.reservation, 50, 1.0)
    assert budget.retry_after_s(10, 1.0) == 1.0, "50 bytes in five seconds"
