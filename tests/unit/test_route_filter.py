"""Terms that the route filter sets for a request."""

import math
import random

import pytest

from burdockfront import allowance
from burdockfront import context as context_lib
from burdockfront import fair_shares
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


def test_margins_do_not_add_up_across_layers():
    # Guards against subtracting the answer margin again in each layer. For a
    # request of four layers with 0.8 s this added up to a tenth of a second.
    # Calls expired although half of the time was left, and one request in
    # fifteen failed under light load.
    remaining_s = 0.8
    for depth in range(4):
        chain = _filter(builders.a_route(), new_work=depth == 0)
        entry = _entry(caller_timeout_s=remaining_s)
        _run(chain, entry)
        assert entry.call is not None
        remaining_s = _remaining_at_the_guard_s(entry.call)
    assert remaining_s > 0.8 - 0.05


def _remaining_at_the_guard_s(call: calls.Call) -> float:
    recorder = timeline.Recorder("n1", "dc1", 10)
    level_tracker = levels.LevelTracker()
    sender = sender_lib.Sender(
        "n1",
        builders.a_key_ring(),
        routing.Router("dc1", random.Random(1)),
        level_tracker,
        fair_shares.ShareTracker(level_tracker),
        recorder,
        calls.Counters(),
        None,
        waits_past_deadline=True,
    )
    attempt = sender._new_attempt(call, None, call.context.remaining_s)
    return attempt.context.remaining_s


def test_route_timeout_limits_the_callers_deadline():
    chain = _filter(builders.a_route(timeout_s=2.0))
    entry = _entry(caller_timeout_s=60.0)
    _run(chain, entry)
    assert 1.9 < entry.context.remaining_s < 2.0


def test_reserved_headers_are_removed():
    entry = _entry()
    _run(_filter(builders.a_route()), entry)
    assert entry.call.headers == (("x", "y"),)
    assert entry.call.host == "shop.example"
    assert entry.call.origin_service == "timetable"


def test_route_and_not_method_decides_on_at_most_once():
    once = builders.a_route(repeat=routes.Repeat.AT_MOST_ONCE, max_attempts=3)
    entry = _entry()
    _run(_filter(once), entry)
    assert not entry.call.idempotent
    assert entry.call.pool.units == allowance.AllowancePool(2).units


def test_request_without_a_route_table_is_refused_with_retry_after():
    # A node that has just started has no route table. Callers would treat "not
    # found" as final and would not retry.
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
def test_overload_refusals_have_random_retry_after_within_target_latency(
    reason,
):
    # Guards against retries that are too late for an answer of full value, and
    # against all callers retrying at the same moment.
    chain = _filter(builders.a_route(target_latency_s=1.0))
    refusal = outcomes.not_run(reason, 9.0)
    waits_s = [_run(chain, _entry(), refusal).retry_after_s for _ in range(20)]
    assert all(0.3 <= wait_s <= 0.6 for wait_s in waits_s)
    assert len({round(wait_s, 4) for wait_s in waits_s}) > 10


def test_nested_call_inherits_from_its_parent_request():
    # Without inheritance, each nested call of a browsing request would have an
    # ordinal of its own, and a nested call of a confirmation would queue behind
    # those of browsing requests.
    parent = builders.a_context(rank=0, ordinal=77, depth=1)
    entry = _entry()
    _run(_filter(builders.a_route(rank=5), parent=parent), entry)
    assert entry.context.priority == parent.priority
    assert entry.context.depth == 2
    assert entry.context.parent == parent.attempt_id
    assert entry.call.parent_class == parent.class_name


def test_depth_distinguishes_new_work_from_nested_calls():
    for new_work, depth in ((True, 0), (False, 1)):
        entry = _entry()
        _run(_filter(builders.a_route(), new_work=new_work), entry)
        assert entry.context.depth == depth
    assert math.isfinite(entry.call.target_s)
