"""Fair shares on the way of a request: entry, guards, answers and operators.

No test opens a connection. The ratios themselves are tested in
`test_fair_shares`.
"""

import asyncio
import random
import time

import orjson
import pytest

from burdockfront import accounts
from burdockfront import admission as admission_lib
from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import fair_shares
from burdockfront import levels
from burdockfront import outcomes
from burdockfront import routes
from burdockfront import timeline
from burdockfront_client import attempts as attempts_lib
from burdockfront_client import peers as peers_lib
from burdockfront_client import wire
from burdockfront_node import account_shares
from burdockfront_node import backend
from burdockfront_node import handover as handover_lib
from tests import builders
from tests import route_chain

_ACME = builders.an_account("acme", "k-acme")
_TAG = accounts.tag_of("acme")
_KEY = ("x-api-key", "k-acme")


def _resolver(*found: accounts.Account) -> routes.RouteResolver:
    resolver = routes.RouteResolver(random.Random(1))
    resolver.accept(builders.a_table(1, accounts=found))
    return resolver


def _tracker() -> fair_shares.ShareTracker:
    return fair_shares.ShareTracker(levels.LevelTracker())


def _context_of(
    shares: fair_shares.ShareTracker | None,
    *headers: tuple[str, str],
    known: tuple[accounts.Account, ...] = (_ACME,),
    **changes: object,
) -> context_lib.RequestContext:
    """Returns the context that the entry creates for a request."""
    table = builders.a_table(3, builders.a_route(public=True), accounts=known)
    entry = route_chain.an_entry(*headers)
    route_chain.RouteChain(table, shares=shares, **changes).run(entry)
    assert entry.context is not None
    return entry.context


# ---- entry ----------------------------------------------------------------


def test_call_carries_a_tag_that_does_not_tell_the_account():
    context = _context_of(_tracker(), _KEY)
    assert context.account_tag == _TAG
    assert "acme" not in context.account_tag and len(_TAG) == 10


def test_call_carries_no_tag_if_the_part_is_off_or_there_are_no_accounts():
    assert _context_of(None, _KEY).account_tag == ""
    assert _context_of(_tracker(), known=()).account_tag == ""


def test_nested_call_inherits_the_tag_and_the_ratio_of_its_parent():
    # Failure: a guard four calls below the entry sees work of no account.
    parent = builders.a_context(ordinal=77, depth=1, account_tag="4f2a~3")
    context = _context_of(_tracker(), parent=parent)
    assert (context.account_tag, context.ordinal) == ("4f2a~3", 77)


def test_work_of_a_named_account_is_ordered_after_that_of_others():
    tracker = _tracker()
    plain = _context_of(tracker, _KEY)
    tracker.observe("catalogue", "browse", {_TAG: 64.0}, 0.0, time.monotonic())
    named = _context_of(tracker, _KEY)
    other = _context_of(tracker)
    assert named.account_tag == f"{_TAG}~64"
    assert named.ordinal >= fair_shares.BAND > other.ordinal
    assert other.account_tag == "~1"
    assert named.rank == plain.rank, "ranks come first"
    assert other.ordinal == plain.ordinal // 2


def test_calls_of_backend_servers_keep_their_ordinal():
    # Levels do not refuse these calls, and in the queue their ordinals are
    # compared with those of calls whose request is not known.
    tracker = _tracker()
    plain = _context_of(tracker, new_work=False)
    tracker.observe("catalogue", "browse", {_TAG: 64.0}, 0.0, time.monotonic())
    assert _context_of(tracker, new_work=False).ordinal == plain.ordinal


def test_tag_is_part_of_the_signed_context_only_if_there_is_one():
    keys = builders.a_key_ring()
    for tag in ("", "4f2a~3"):
        context = builders.a_context(account_tag=tag)
        read = context_lib.decode(context_lib.encode(context, keys), keys)
        assert read.account_tag == tag


# ---- guard and answers ----------------------------------------------------


def _overloaded(
    shares: fair_shares.ShareMeter | None,
) -> admission_lib.Admission:
    """Returns an admission that got five times the work that fits, for 2 s."""
    admission = builders.an_admission("flow", slots=2)
    admission.shares = shares
    now_s = 0.0
    for number in range(400):
        tag = f"a{number % 4}" if number % 2 else "large"
        context = builders.a_context(
            attempt_id=str(number),
            account_tag=tag,
            ordinal=number * 37 % 256,
            depth=1,
        )
        admission.offer(str(number), context, now_s)
        now_s += 0.005
        admission.advance(now_s)
    return admission


def test_guard_under_pressure_measures_the_work_of_accounts():
    meter = fair_shares.ShareMeter()
    admission = _overloaded(meter)
    assert admission.level() < levels.OPEN
    assert "large" in meter.over_share


def test_meter_is_idle_where_there_are_no_accounts():
    # Failure: deployments without accounts pay for each call under pressure.
    meter = fair_shares.ShareMeter(lambda: False)
    _overloaded(meter)
    assert not meter.active


def _shares(
    *found: accounts.Account,
    tracker: fair_shares.ShareTracker | None = None,
    recorder: timeline.Recorder | None = None,
) -> account_shares.AccountShares:
    return account_shares.AccountShares(
        _resolver(*found),
        tracker or _tracker(),
        recorder or timeline.Recorder("n1", "dc1", 10),
    )


def _sent(answer: outcomes.Answer) -> outcomes.Answer:
    """Returns an answer as the calling node reads it."""
    described = wire.encode_answer(answer, "a", 7)
    read, _ = wire.decode_answer(described, "a", 200, (), b"")
    return read


def test_entry_hears_of_a_short_service_four_calls_below():
    meter_shares = _shares(_ACME)
    meter_shares.meter.over_share = {_TAG: 4.0}
    answer = builders.an_answer()
    meter_shares.add_to(answer, "class-4", 10.0)
    now_s = 10.0
    for depth in (3, 2, 1, 0):
        level_tracker = levels.LevelTracker()
        level_tracker.record_call(
            f"class-{depth}",
            f"service-{depth + 1}",
            now_s,
            f"class-{depth + 1}",
        )
        tracker = fair_shares.ShareTracker(level_tracker)
        read = _sent(answer)
        assert read.over_share == {_TAG: 4.0}
        tracker.observe(
            f"service-{depth + 1}",
            f"class-{depth + 1}",
            read.over_share,
            read.over_share_age_s,
            now_s,
        )
        now_s += 0.4
        answer = builders.an_answer()
        _shares(_ACME, tracker=tracker).add_to(answer, f"class-{depth}", now_s)
    assert answer.over_share == {_TAG: 4.0}
    assert answer.over_share_age_s == pytest.approx(1.6, abs=0.01)


def test_report_from_below_keeps_its_age_beside_the_guards_own():
    # Failure: accounts that a service below no longer names stay named for as
    # long as this guard names any.
    level_tracker = levels.LevelTracker()
    level_tracker.record_call("browse", "fees", 0.0, "browse")
    tracker = fair_shares.ShareTracker(level_tracker)
    tracker.observe("fees", "browse", {"b": 2.0}, 0.0, 0.0)
    shares = _shares(_ACME, tracker=tracker)
    shares.meter.over_share = {"a": 3.0}
    answer = builders.an_answer()
    shares.add_to(answer, "browse", 1.5)
    assert answer.over_share == {"a": 3.0, "b": 2.0}
    assert answer.over_share_age_s == 1.5
    shares.add_to(answer, "browse", 2.5)
    assert answer.over_share == {"a": 3.0}


@pytest.mark.parametrize("age", ["old", -1.0, [1]])
def test_report_with_an_invalid_age_raises_a_dispatch_error(age: object):
    answer = builders.an_answer()
    answer.over_share = {"a": 3.0}
    answer.over_share_age_s = 0.5
    parts = orjson.loads(wire.encode_answer(answer, "a", 7))
    parts[-1]["a"] = age
    with pytest.raises(errors.DispatchError):
        wire.decode_answer(orjson.dumps(parts).decode(), "a", 200, (), b"")


def test_tag_is_never_sent_to_a_backend_server():
    keys = builders.a_key_ring()
    handover = handover_lib.PlainHandover(
        peers_lib.Peers(), keys, attempts_lib.AttemptTracker()
    )
    announced = backend.parse_announcement(
        {"service": "fees", "address": "127.0.0.1:9", "slots": 2}
    )
    attempt = builders.an_attempt()
    attempt.context.account_tag = _TAG
    headers = dict(handover._headers(announced, attempt, None))
    sent = context_lib.decode(headers[context_lib.HEADER], keys)
    assert sent.account_tag == ""


def test_answer_that_names_nobody_carries_nothing():
    shares = _shares(_ACME)
    answer = builders.an_answer()
    shares.add_to(answer, "browse", 1.0)
    assert answer.over_share is None
    assert '"h"' not in wire.encode_answer(answer, "a", 7)


def test_report_fits_into_a_few_hundred_bytes():
    answer = builders.an_answer()
    plain = len(wire.encode_answer(answer, "a", 7))
    answer.over_share = fair_shares.largest(
        {accounts.tag_of(f"account-{n}"): 12.34 + n for n in range(20)}
    )
    answer.over_share_age_s = 1.234
    assert len(wire.encode_answer(answer, "a", 7)) - plain < 220


# ---- operators ------------------------------------------------------------


def test_change_of_the_named_accounts_is_logged_once_a_second_at_most():
    recorder = timeline.Recorder("n1", "dc1", 100)
    shares = _shares(_ACME, recorder=recorder)
    for step in range(100):
        shares.meter.over_share = {_TAG: 3.0} if step % 2 else {}
        shares.log_change(10.0 + step * 0.05)
    found = recorder.select(timeline.Filter(kind="guard.shares"), 100)
    assert 1 <= len(found) <= 6
    assert found[0].detail["over_share"] == {"acme": 3.0}


def test_status_and_metrics_give_names_and_ratios():
    tracker = _tracker()
    tracker.observe("fees", "browse", {_TAG: 2.0}, 0.0, time.monotonic())
    shares = _shares(_ACME, tracker=tracker)
    shares.meter.over_share = {_TAG: 3.0, "0000": 5.0}
    status = asyncio.run(shares.status({}))
    assert status["over_share"] == {"acme": 3.0, "0000": 5.0}
    assert status["heard"] == {"fees": {"acme": 2.0}}
    values = {
        sample.name: sample.value
        for metric in shares.metrics()
        for sample in metric.samples
    }
    assert values["burdockfront_shares_named"] == 2
    assert values["burdockfront_shares_largest_ratio"] == 5.0


def test_refusal_names_the_ratio_and_the_short_service():
    tracker = _tracker()
    tracker.observe("fees", "browse", {_TAG: 2.0}, 0.0, 1.0)
    shares = _shares(_ACME, tracker=tracker)
    context = builders.a_context(account_tag=f"{_TAG}~2")
    assert shares.refusal_detail(context, 1.0) == {
        "over_share": 2.0,
        "short_services": ["fees"],
    }
    other = builders.a_context(account_tag=f"{_TAG}~1")
    assert shares.refusal_detail(other, 1.0) == {}
