"""Terms that a route gives to a request."""

import math
import random

import pytest

from burdockfront import allowance
from burdockfront import context as context_lib
from burdockfront import levels
from burdockfront import outcomes
from burdockfront import routes
from burdockfront import routing
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_client import sender as sender_lib
from burdockfront_node.filters import base
from tests import builders
from tests import route_chain


def _filter(
    *found: routes.Route,
    new_work: bool = True,
    parent: context_lib.RequestContext | None = None,
) -> route_chain.RouteChain:
    table = builders.a_table(7, *found) if found else None
    return route_chain.RouteChain(table, new_work, parent)


def _entry(target: str = "/a/x", **changes: object) -> base.Entry:
    return route_chain.an_entry(target=target, **changes)


def _run(
    chain: route_chain.RouteChain,
    entry: base.Entry,
    answer: outcomes.Answer | None = None,
) -> outcomes.Answer:
    return chain.run(entry, answer)


def test_time_limit_of_a_deep_request_is_not_used_up_by_margins():
    # A request of four layers with 0.8 s. Each layer took a margin off for
    # itself, a tenth of a second together, and calls expired though half of
    # the time was left: one request in fifteen failed on a quiet day.
    remaining_s = 0.8
    for depth in range(4):
        link = _filter(builders.a_route(), new_work=depth == 0)
        entry = _entry(caller_timeout_s=remaining_s)
        _run(link, entry)
        assert entry.call is not None
        remaining_s = _told_to_the_guard_s(entry.call)
    assert remaining_s > 0.8 - 0.05


def _told_to_the_guard_s(call: calls.Call) -> float:
    recorder = timeline.Recorder("n1", "dc1", 10)
    sender = sender_lib.Sender(
        "n1",
        builders.a_key_ring(),
        routing.Router("dc1", random.Random(1)),
        levels.LevelTracker(),
        recorder,
        calls.Counters(),
        None,
        waits_longer=True,
    )
    attempt = sender._attempt_of(call, None, call.context.remaining_s)
    return attempt.context.remaining_s


def test_operators_time_limit_bounds_what_the_caller_would_wait():
    link = _filter(builders.a_route(timeout_s=2.0))
    entry = _entry(caller_timeout_s=60.0)
    _run(link, entry)
    assert 1.9 < entry.context.remaining_s < 2.0


def test_headers_that_only_nodes_may_set_are_left_out():
    entry = _entry()
    _run(_filter(builders.a_route()), entry)
    assert entry.call.headers == (("x", "y"),)
    assert entry.call.host == "shop.example"
    assert entry.call.origin_service == "timetable"


def test_at_most_once_is_said_by_the_route_and_not_by_the_method():
    once = builders.a_route(repeat=routes.Repeat.AT_MOST_ONCE, max_attempts=3)
    entry = _entry()
    _run(_filter(once), entry)
    assert not entry.call.idempotent
    assert entry.call.pool.units == allowance.AllowancePool(2).units


def test_without_a_table_nothing_is_denied():
    # A node that has just started knows no routes. "Not found" would be taken
    # as final, and the caller would not come back.
    answer = _run(_filter(), _entry())
    assert answer.reason is outcomes.Reason.NO_CONFIGURATION
    assert answer.retry_after_s


def test_unknown_route_is_not_found():
    answer = _run(_filter(builders.a_route()), _entry("/b/x"))
    assert answer.reason is outcomes.Reason.NO_ROUTE


@pytest.mark.parametrize(
    "reason",
    [
        outcomes.Reason.SHED,
        outcomes.Reason.OVERLOAD,
        outcomes.Reason.OVERLOAD_DEEPER,
    ],
)
def test_refused_callers_are_told_to_return_while_it_is_worth_it(reason):
    # In time for an answer of full value, and not all in the same moment.
    link = _filter(builders.a_route(target_latency_s=1.0))
    refusal = outcomes.not_run(reason, 9.0)
    told = [_run(link, _entry(), refusal).retry_after_s for _ in range(20)]
    assert all(0.3 <= wait_s <= 0.6 for wait_s in told)
    assert len({round(wait_s, 4) for wait_s in told}) > 10


def test_call_inherits_from_the_request_that_it_is_made_for():
    # Each call of a browse would draw an ordinal of its own, and a call of a
    # confirmation would wait behind those of browsing.
    parent = builders.a_context(rank=0, ordinal=77, depth=1)
    entry = _entry()
    _run(_filter(builders.a_route(rank=5), parent=parent), entry)
    assert entry.context.priority == parent.priority
    assert entry.context.depth == 2
    assert entry.context.parent == parent.attempt_id
    assert entry.call.parent_class == parent.class_name


def test_new_work_and_calls_are_told_apart():
    for new_work, depth in ((True, 0), (False, 1)):
        entry = _entry()
        _run(_filter(builders.a_route(), new_work=new_work), entry)
        assert entry.context.depth == depth
    assert math.isfinite(entry.call.target_s)
