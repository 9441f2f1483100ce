"""Crashes that count against requests in flight at crashed servers.

Guards against one request that crashes server after server: each repeat has an
id of its own, so bounds that are kept per id do not stop it.
"""

import pytest

from burdockfront import crashes
from burdockfront import errors
from burdockfront import tables
from tests import builders

_RULES = crashes.Rules(crashes=3, pause_s=5.0, remember_s=600.0)
_CRASHING = crashes.Suspect("deadly", "fees")
_INNOCENT = crashes.Suspect("innocent", "fees")


def _tracker(*entries: tables.Entry) -> crashes.CrashTracker:
    tracker = crashes.CrashTracker(_RULES)
    for entry in entries:
        tracker.merge(entry, 0.0, 0.0)
    return tracker


def _standing(
    tracker: crashes.CrashTracker,
    suspect: crashes.Suspect = _CRASHING,
    now_s: float = 100.0,
) -> crashes.Standing:
    return tracker.assess(suspect, now_s, now_s).standing


def test_standing_follows_the_number_of_crashes():
    tracker = _tracker()
    assert _standing(tracker) is crashes.Standing.CLEAR
    tracker.merge(builders.a_crash("a.1", _CRASHING), 10.0, 10.0)
    assert _standing(tracker, now_s=10.1) is crashes.Standing.ALONE
    tracker.merge(builders.a_crash("b.1", _CRASHING), 11.0, 11.0)
    assert _standing(tracker, now_s=11.1) is crashes.Standing.PAUSED
    assert _standing(tracker, now_s=16.1) is crashes.Standing.ALONE
    tracker.merge(builders.a_crash("c.1", _CRASHING), 17.0, 17.0)
    assert _standing(tracker, now_s=500.0) is crashes.Standing.QUARANTINED
    assert tracker.quarantined == [_CRASHING.fingerprint]


def test_crashes_count_across_callers():
    # The request enters at nodes of different services in turn. Counted per
    # caller, it could crash three servers for each of them.
    callers = ("fees", "catalogue", "")
    tracker = _tracker(
        *[
            builders.a_crash(f"{caller}.1", crashes.Suspect("deadly", caller))
            for caller in callers
        ]
    )
    assert _standing(tracker) is crashes.Standing.QUARANTINED


def test_crash_received_twice_counts_once():
    crash = builders.a_crash("a.1", _CRASHING)
    more = builders.a_crash("a.1", _CRASHING, _INNOCENT)
    tracker = _tracker(crash, crash, more, crash)
    assert _standing(tracker) is crashes.Standing.ALONE
    assert _standing(tracker, _INNOCENT) is crashes.Standing.ALONE


def test_answer_acquits_of_all_crashes_from_this_caller():
    tracker = _tracker(
        builders.a_crash("a.1", _CRASHING, _INNOCENT),
        builders.a_crash("b.1", _CRASHING, _INNOCENT),
    )
    for entry in tracker.acquittals_of(_INNOCENT, 0.0):
        tracker.merge(entry, 0.0, 0.0)
    assert _standing(tracker, _INNOCENT) is crashes.Standing.CLEAR
    assert _standing(tracker) is not crashes.Standing.CLEAR


def test_answer_to_another_caller_does_not_acquit():
    tracker = _tracker(builders.a_crash("a.1", _CRASHING))
    other = crashes.Suspect(_CRASHING.fingerprint, "catalogue")
    assert tracker.acquittals_of(other, 0.0) == []


def test_release_covers_all_callers():
    other = crashes.Suspect(_CRASHING.fingerprint, "catalogue")
    tracker = _tracker(
        builders.a_crash("a.1", _CRASHING, other),
        builders.a_crash("b.1", _CRASHING),
        builders.a_crash("c.1", other, _INNOCENT),
    )
    for entry in tracker.release_of(_CRASHING.fingerprint, 0.0):
        tracker.merge(entry, 0.0, 0.0)
    assert _standing(tracker) is crashes.Standing.CLEAR
    assert _standing(tracker, _INNOCENT) is not crashes.Standing.CLEAR
    assert tracker.release_of("unknown", 0.0) == []


def test_acquittal_received_before_its_crash_is_effective():
    crash = builders.a_crash("a.1", _INNOCENT)
    acquittals = _tracker(crash).acquittals_of(_INNOCENT, 0.0)
    tracker = _tracker(*acquittals, crash)
    assert _standing(tracker, _INNOCENT) is crashes.Standing.CLEAR


def test_refusal_has_the_time_until_the_quarantine_ends():
    tracker = _tracker(
        *[builders.a_crash(f"a.{n}", _CRASHING, at_s=n) for n in (1, 2, 3, 4)]
    )
    judgement = tracker.assess(_CRASHING, 10.0, 10.0)
    # When the second of four crashes expires, two are left.
    assert judgement.refused_s == pytest.approx(592.0)


def test_expired_crashes_are_not_accepted_from_a_peer():
    crash = builders.a_crash("a.1", _CRASHING)
    tracker = _tracker(crash)
    tracker.forget(601.0)
    assert _standing(tracker, now_s=601.0) is crashes.Standing.CLEAR
    assert len(tracker.table) == 0
    assert not tracker.merge(crash, 601.0, 601.0)


def test_table_is_bounded_and_keeps_the_newest_entries():
    tracker = _tracker()
    for number in range(6000):
        suspect = crashes.Suspect(f"f-{number}")
        entry = builders.a_crash(f"a.{number}", suspect, at_s=number / 100)
        tracker.merge(entry, 60.0, 60.0)
    assert len(tracker.table) <= 4096
    assert tracker.suspects == len(tracker.table)
    newest = crashes.Suspect("f-5999")
    assert _standing(tracker, newest, 60.0) is crashes.Standing.ALONE


@pytest.mark.parametrize(
    "entry",
    [
        tables.Entry("nonsense", (1,), {}),
        tables.Entry("member/x", (1,), {"at_ms": 1, "suspects": []}),
        tables.Entry("crash/a.1", (1,), {"at_ms": "soon", "suspects": []}),
        tables.Entry("crash/a.1", (1,), {"at_ms": 1, "suspects": [["f"]]}),
        tables.Entry("crash/a.1", (1,), {"at_ms": 1, "suspects": 3}),
    ],
)
def test_invalid_entry_is_rejected(entry):
    with pytest.raises(errors.InvalidInputError, match="compatible releases"):
        _tracker(entry)


def _of(account: str) -> crashes.Suspect:
    return crashes.Suspect("listing", "fees", account)


def _tracker_of(*accounts: tuple[str, ...]) -> crashes.CrashTracker:
    tracker = crashes.CrashTracker()
    for number, names in enumerate(accounts):
        suspects = [_of(name) for name in names]
        tracker.merge(builders.a_crash(f"n.{number}", *suspects), 0.0, 0.0)
    return tracker


def test_listing_that_crashes_for_one_account_runs_for_others():
    """Guards against one account causing refusals for all accounts."""
    tracker = _tracker_of(("a",), ("a", "b"), ("a",))
    assert _standing(tracker, _of("a")) is crashes.Standing.QUARANTINED
    assert _standing(tracker, _of("b")) is crashes.Standing.ALONE
    assert _standing(tracker, _of("c")) is crashes.Standing.ALONE


def test_listing_that_crashes_for_any_account_is_refused_after_three():
    """Guards against three crashes per account."""
    tracker = _tracker_of(("a",), ("b",), ("c",))
    for account in ("a", "b", "c", "d", ""):
        assert _standing(tracker, _of(account)) is crashes.Standing.QUARANTINED


def test_answer_to_one_account_does_not_acquit_others():
    tracker = _tracker_of(("a",), ("b",), ("c",))
    for entry in tracker.acquittals_of(_of("b"), 0.0):
        tracker.merge(entry, 0.0, 0.0)
    assert _standing(tracker, _of("d")) is not crashes.Standing.QUARANTINED
    assert len(tracker.crash_entries_of("listing")) == 2
