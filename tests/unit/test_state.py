"""Units of shared state: policies, configuration, leases, budgets, timeline."""

import random

import pytest

from burdockfront import configuration
from burdockfront import errors
from burdockfront import leases
from burdockfront import levels
from burdockfront import members
from burdockfront import membership
from burdockfront import platform_budget
from burdockfront import policy
from burdockfront import tables
from burdockfront import timeline
from tests import builders


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        ("retry.allowance", 99, "retry.allowance: Input should be less"),
        ("retry.kind", "forever", "retry.kind"),
        ("admission.queue", 1, "no field 'admission.queue'"),
        ("classes.browse.rank", -1, "rank"),
        ("deadline_s", "soon", "deadline_s"),
        ("deadline_s.x", 1, "nothing below a plain value"),
    ],
)
def test_wrong_field_is_named(path, value, message):
    document = {"service": "fees"}
    with pytest.raises(errors.PolicyError, match=message):
        policy.with_field(document, path, value)


def test_unknown_key_is_rejected_by_name():
    with pytest.raises(errors.PolicyError, match="retrys: unknown key"):
        policy.parse({"service": "fees", "retrys": {}})


def test_class_is_selected_by_its_name():
    after = policy.with_field({"service": "fees"}, "classes.browse.rank", 3)
    assert policy.parse(after).class_of("GET", "/").rank == 3


def test_unmatched_request_is_in_the_least_important_class():
    assert policy.default("fees").class_of("PUT", "/x").name == "browse"


def test_older_document_never_replaces_a_newer_one():
    # A stale peer or a stale read of the platform's service offers revision 3
    # after revision 5 was applied. Accepting it would undo a change.
    documents = configuration.Configuration()
    assert documents.merge(_document(5, 1), 0.0)
    assert not documents.merge(_document(3, 9), 1.0)
    assert documents.policy_of("fees").retry.allowance == 1


def test_invalid_document_is_reported_and_passed_on():
    documents = configuration.Configuration()
    documents.merge(_document(5, 1), 0.0)
    assert documents.merge(_document(6, 999), 1.0)
    assert documents.applied()["fees"].revision == 5
    assert documents.rejected()["fees"].revision == 6


def _document(revision: int, allowance: int):
    document = {"service": "fees", "retry": {"allowance": allowance}}
    return configuration.entry_of("fees", revision, document, f"c{revision}")


def test_conflict_names_both_revisions_and_the_remedy():
    with pytest.raises(errors.RevisionConflictError, match="if revision 8"):
        configuration.check_expected("fees", 7, 8)


def test_holder_paused_past_its_lease_does_not_act():
    # The process is paused for a minute, resumes, and assumes that it still
    # holds the lease while its successor acts already.
    holder = leases.LeaseHolder(margin_s=1.0)
    holder.record_grant(leases.Grant("seeds", 4, 10.0), requested_at_s=100.0)
    assert holder.token(105.0) == 4
    with pytest.raises(errors.LeaseLostError, match="nothing was done"):
        holder.token(160.0)


def test_late_grant_with_an_older_token_does_not_extend_a_lease():
    holder = leases.LeaseHolder(margin_s=0.0)
    holder.record_grant(leases.Grant("seeds", 4, 10.0), requested_at_s=100.0)
    holder.record_grant(leases.Grant("seeds", 3, 10.0), requested_at_s=150.0)
    assert not holder.holds(120.0)


def test_budget_limits_the_long_term_call_rate():
    budget = platform_budget.CallBudget(2.0, 4)
    taken = sum(budget.take(0.1 * i) for i in range(1000))
    assert taken <= 4 + 2 * 100


def test_breaker_opens_and_closes():
    backoff = platform_budget.Backoff(0.2, 5.0, random.Random(1))
    for _ in range(3):
        backoff.failed(10.0)
    assert backoff.open(10.1)
    assert not backoff.open(20.0)
    backoff.succeeded()
    assert not backoff.open(20.0)


def test_effect_is_sorted_after_its_cause():
    # The receiver's wall clock is ten seconds behind the sender's. If events
    # were sorted by wall clock, the receipt would come before the sending.
    sender = timeline.Recorder("a", "dc1", 10)
    receiver = timeline.Recorder("b", "dc1", 10)
    sent = sender.record(100.0, "sent", "r")
    receiver.clock.observe(sent.stamp, 90.0)
    receiver.record(90.1, "received", "r")
    merged = timeline.merge(
        [
            receiver.select(timeline.Filter(), 10),
            sender.select(timeline.Filter(), 10),
        ]
    )
    assert [event.kind for event in merged] == ["sent", "received"]


def test_filter_selects_by_request_and_kind():
    recorder = timeline.Recorder("a", "dc1", 10)
    recorder.record(1.0, "call.refused", "r1")
    recorder.record(1.0, "call.answered", "r1")
    recorder.record(1.0, "call.refused", "r2")
    wanted = timeline.Filter(request="r1", kind="call.ref")
    assert len(recorder.select(wanted, 10)) == 1


def test_restarted_node_is_alive_after_its_clock_was_set_back():
    # The VM restarts with a clock in the past. Its peers retain the higher
    # incarnation as dead. Unless the node raises its incarnation above that
    # one, it would stay dead for a day.
    local = builders.a_member("n1", incarnation=5)
    node = membership.Membership(local, membership.Timing(), random.Random(1))
    old = builders.a_member("n1", incarnation=9, status=members.Status.DEAD)
    change = node.merge(old.to_entry(), 1.0)
    assert change is not None
    assert node.local_member.incarnation > 9


def test_digest_follows_every_change_of_a_table():
    # The digest is kept between changes. A stale one would make peers sync in
    # vain, or not at all.
    changed = tables.Table()
    first = tables.Entry("a", (1,), {"x": 1})
    changed.merge(first)
    of_first = changed.digest()
    changed.merge(tables.Entry("a", (2,), {"x": 2}))
    assert changed.digest() != of_first
    changed.merge(tables.Entry("b", (1,), {}))
    with_both = changed.digest()
    changed.remove("b")
    assert changed.digest() != with_both
    equal = tables.Table()
    equal.merge(tables.Entry("a", (2,), {"x": 2}))
    assert equal.digest() == changed.digest()


def test_observed_stamp_is_below_all_later_ones():
    # A stamp from a node whose clock is ahead must not be repeated here.
    clock = timeline.HybridClock()
    ahead = timeline.HybridClock().tick(200.0)
    after = clock.observe(ahead, 100.0)
    assert after > ahead
    assert clock.tick(100.0) > after
    assert clock.observe(ahead, 300.0) == timeline.HybridClock().tick(300.0)


def test_open_levels_stay_open_and_a_lower_one_takes_effect():
    # An open level that follows an open one is not averaged. The next lower
    # level must still apply at once, and relax from the time it was received.
    tracker = levels.LevelTracker()
    tracker.observe("fees", "browse", levels.OPEN, 1.0)
    tracker.observe("fees", "browse", levels.OPEN, 50.0)
    tracker.remove_expired(55.0)
    assert tracker.level_of("fees", "browse", 55.0) == levels.OPEN
    tracker.observe("fees", "browse", 100, 56.0)
    assert tracker.level_of("fees", "browse", 56.0) == 100
    tracker.observe("fees", "browse", levels.OPEN, 56.1)
    assert tracker.level_of("fees", "browse", 56.1) == 166
