"""New work above the level of its path is refused before a call is built."""

import asyncio
import time

import orjson
import pytest

from burdockfront import context as context_lib
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_client import retry_decisions
from burdockfront_ctl import explanations
from burdockfront_ctl import losses
from burdockfront_node import entry_refusals
from burdockfront_node.filters import identify
from tests import builders
from tests import route_chain

_SERVICE = "catalogue"
# Route, rank and target latency of `builders.a_route`.
_CLASS = "browse"
_RANK = 2


class _Quotas:
    """Admits each request, and counts returned quota."""

    is_known = True

    def __init__(self) -> None:
        self.returned = 0

    def consume(self, *arguments: object) -> float | None:
        return 0.0

    async def ask(self, *arguments: object) -> float:
        return 0.0

    def give_back(self, account: object) -> None:
        self.returned += 1


def _chain(
    level: int = 1, has_guard: bool = True, **changes: object
) -> route_chain.RouteChain:
    """Returns a route filter that received a level of the path."""
    table = builders.a_table(7, builders.a_route())
    chain = route_chain.RouteChain(table, **changes)
    if has_guard:
        target = builders.a_target("n2", service=_SERVICE)
        chain.dispatcher.router.update([target])
    chain.dispatcher.level_tracker.observe(
        _SERVICE, _CLASS, level, time.monotonic()
    )
    return chain


def _priority_of(request_id: str) -> int:
    ordinal = identify.ordinal_of(request_id)
    return _RANK * context_lib.ORDINALS + ordinal


def test_refused_request_builds_no_call_and_reaches_no_guard():
    # "Not run" must be true, and the refusal cheap: nothing behind the filter
    # may see the request.
    entry = route_chain.an_entry()
    answer = _chain().run(entry, builders.an_answer())
    assert answer.outcome is outcomes.Outcome.NOT_RUN
    assert answer.reason is outcomes.Reason.OVERLOAD_DEEPER
    assert answer.retry_after_s
    assert entry.call is None
    assert entry.context is None


def test_decision_is_that_of_the_dispatcher():
    # Guards against two rules that drift apart: the early one must neither
    # refuse what the dispatcher would send nor the reverse.
    for level in range(_RANK * 256 - 80, _RANK * 256 + 260, 20):
        early = _chain(level)
        late = _chain(level, early_refusals=False)
        for number in range(20):
            request_id = f"r{number}"
            first = route_chain.an_entry(caller_request_id=request_id)
            second = route_chain.an_entry(caller_request_id=request_id)
            answer = early.run(first)
            late.run(second)
            refused = late.dispatcher._exceeds_path_level(
                second.call, time.monotonic()
            )
            assert (answer.outcome is outcomes.Outcome.NOT_RUN) == refused
            assert refused == (_priority_of(request_id) > level + 64)


@pytest.mark.parametrize(
    "changes",
    [
        {"new_work": False},
        {"parent": builders.a_context(rank=2, ordinal=255, depth=1)},
        {"early_refusals": False},
        {"has_guard": False},
    ],
    ids=["unknown origin", "nested call", "switched off", "no guard"],
)
def test_other_requests_are_left_to_the_dispatcher(changes):
    # A refused nested call would waste the work of the request above it. A
    # service without guards has another reason, which operators act on.
    entry = route_chain.an_entry()
    answer = _chain(**changes).run(entry)
    assert answer.outcome is outcomes.Outcome.DONE
    assert entry.call is not None


def test_request_without_remaining_time_is_not_refused_as_overload():
    # Its refusal has the reason DEADLINE, without a time to come back.
    entry = route_chain.an_entry(caller_timeout_s=0.0)
    _chain().run(entry)
    assert entry.call is not None


def test_unknown_key_is_refused_as_such_and_refusal_returns_quota():
    # A caller without a key must not learn about the load, and an account
    # keeps the quota of a request that did not run.
    quotas = _Quotas()
    account = builders.an_account("acme", "k-acme", rate_per_s=5.0)
    table = builders.a_table(3, builders.a_route(), accounts=(account,))
    chain = route_chain.RouteChain(table, quotas=quotas)
    chain.dispatcher.router.update([builders.a_target("n2", service=_SERVICE)])
    chain.dispatcher.level_tracker.observe(
        _SERVICE, _CLASS, 1, time.monotonic()
    )
    answer = chain.run(route_chain.an_entry())
    assert answer.reason is outcomes.Reason.UNKNOWN_KEY
    answer = chain.run(route_chain.an_entry(("x-api-key", "k-acme")))
    assert answer.reason is outcomes.Reason.OVERLOAD_DEEPER
    assert quotas.returned == 1


@pytest.mark.parametrize(
    ("age_s", "earned"), [(0.1, 10), (5.0, 0)], ids=["recent", "old"]
)
def test_refusals_earn_retries_only_for_a_short_time(age_s, earned):
    # Refused requests earn retries of their service as first tries do. Those
    # of long ago must not: many retries would follow a single call, beyond the
    # ratio of the window that they are made in.
    decisions = retry_decisions.RetryDecisions(
        policy.default, calls.Counters(), 1.0
    )
    now_s = time.monotonic()
    ratio = decisions._ratio("fees")
    while ratio.retry(now_s):
        pass
    share = policy.default("fees").retry.ratio * 0.9
    for _ in range(round(10 / share)):
        decisions.count_early_refusal("fees", now_s - age_s)
    decisions.first_try(builders.a_call())
    retries = 0
    while ratio.retry(time.monotonic()):
        retries += 1
    assert abs(retries - earned) <= 1


def test_refusals_are_counted_by_class_and_reason():
    chain = _chain()
    for _ in range(3):
        chain.run(route_chain.an_entry())
    key = (_CLASS, outcomes.Reason.OVERLOAD_DEEPER)
    assert chain.refusals.counts == {key: 3}
    assert chain.dispatcher.counters.early_refusals == 3
    (family,) = chain.refusals.metrics()
    (sample,) = family.samples
    assert sample.labels == {"class": _CLASS, "reason": "overload-deeper"}
    assert sample.value == 3


def test_refused_call_of_a_backend_server_is_neither_counted_nor_delayed():
    # The server holds a slot while it waits to repeat the call. The counter
    # is of requests of callers, which a call is not.
    chain = _chain(new_work=False)
    refusal = outcomes.not_run(outcomes.Reason.OVERLOAD)
    answer = chain.run(route_chain.an_entry(), refusal)
    assert 0.3 <= answer.retry_after_s <= 0.6
    assert not chain.refusals.counts


@pytest.mark.parametrize(
    "reason",
    [
        outcomes.Reason.OVERLOAD,
        outcomes.Reason.SHED,
        outcomes.Reason.LIMITED,
        outcomes.Reason.OVERLOAD_DEEPER,
    ],
)
def test_refusal_of_a_guard_follows_the_course_of_the_level(reason):
    # Below the level of its rank, an early return would be refused again. The
    # late range of 5 s remaining time begins at 1 s.
    chain = _chain(level=_RANK * 256 - 200, early_refusals=False)
    refusal = outcomes.not_run(reason)
    answer = chain.run(route_chain.an_entry(), refusal)
    assert 0.9 <= answer.retry_after_s <= 5.0 / 3
    former = _chain(level=_RANK * 256 - 200, forecasts_levels=False)
    answer = former.run(route_chain.an_entry(), refusal)
    assert 0.3 <= answer.retry_after_s <= 0.6


def _refusal(number: int) -> entry_refusals.Refusal:
    return entry_refusals.Refusal(
        f"r{number}",
        _CLASS,
        _SERVICE,
        outcomes.not_run(outcomes.Reason.OVERLOAD_DEEPER, 0.5),
        7,
        time.monotonic(),
    )


def test_flood_of_refusals_makes_few_events_that_stand_for_all():
    # An event for each would displace all others from the log. The count of
    # the last ones must not be lost when the flood ends.
    written: list[timeline.Event] = []
    recorder = timeline.Recorder("n1", "dc1", 100, written.append)
    refusals = entry_refusals.EntryRefusals(recorder)

    async def flood() -> None:
        for number in range(500):
            refusals.record(_refusal(number))
        await asyncio.sleep(0.3)

    asyncio.run(flood())
    assert [event.detail["count"] for event in written] == [1, 499]
    lines = [
        orjson.dumps(
            {"kind": event.kind, "request": event.request, **event.detail}
        )
        for event in written
    ]
    found = losses.read(lines)
    assert found.asked == {_CLASS: 500}
    cause = losses.Cause("", "overload-deeper", 0)
    assert found.lost == {(_CLASS, cause): 500}


def test_why_says_that_an_event_stands_for_several_requests():
    # An operator who looks at one refused request must learn that others of
    # the same moment have no event.
    event = timeline.Event(
        1,
        "n1",
        "dc1",
        "entry.answered",
        "r1",
        {"outcome": "not-run", "reason": "overload-deeper", "count": 37},
    )
    text = explanations._describe_outcome([event])
    assert "overload-deeper" in text
    assert "stands for 37 requests" in text


def test_entry_serves_again_without_news_and_after_a_restart():
    # When levels stop arriving, an old one must not outlast its cause. For
    # 2 s an urgent request passes that was refused; within 10 s all pass. A
    # restarted node has received no level.
    chain = _chain(level=1)
    tracker = chain.dispatcher.level_tracker
    now_s = time.monotonic()
    lowest = _RANK * context_lib.ORDINALS
    assert tracker.refuses(_SERVICE, _CLASS, lowest, now_s)
    assert not tracker.refuses(_SERVICE, _CLASS, 300, now_s + 2.0)
    assert not tracker.refuses(_SERVICE, _CLASS, 8 * 256 - 1, now_s + 10.0)
    restarted = route_chain.RouteChain(builders.a_table(7, builders.a_route()))
    answer = restarted.run(route_chain.an_entry())
    assert answer.outcome is outcomes.Outcome.DONE
