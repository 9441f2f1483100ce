"""What counts against requests that were at servers which crashed.

Seen: the repeats of one request crashed server after server, since each repeat
had an id of its own and all bounds are kept for an id.
"""

import pytest

from burdockfront import crashes
from burdockfront import errors
from burdockfront import tables
from tests import builders

_RULES = crashes.Rules(crashes=3, pause_s=5.0, remember_s=600.0)
_DEADLY = crashes.Suspect("deadly", "fees")
_INNOCENT = crashes.Suspect("innocent", "fees")


def _book(*entries: tables.Entry) -> crashes.CrashTracker:
    book = crashes.CrashTracker(_RULES)
    for entry in entries:
        book.merge(entry, 0.0, 0.0)
    return book


def _standing(
    book: crashes.CrashTracker,
    suspect: crashes.Suspect = _DEADLY,
    now_s: float = 100.0,
) -> crashes.Standing:
    return book.assess(suspect, now_s, now_s).standing


def test_request_is_treated_by_how_many_servers_crashed_under_it():
    book = _book()
    assert _standing(book) is crashes.Standing.CLEAR
    book.merge(builders.a_crash("a.1", _DEADLY), 10.0, 10.0)
    assert _standing(book, now_s=10.1) is crashes.Standing.ALONE
    book.merge(builders.a_crash("b.1", _DEADLY), 11.0, 11.0)
    assert _standing(book, now_s=11.1) is crashes.Standing.PAUSED
    assert _standing(book, now_s=16.1) is crashes.Standing.ALONE
    book.merge(builders.a_crash("c.1", _DEADLY), 17.0, 17.0)
    assert _standing(book, now_s=500.0) is crashes.Standing.QUARANTINED
    assert book.quarantined == [_DEADLY.fingerprint]


def test_request_comes_from_any_caller():
    # It enters at nodes beside servers of different services in turn. Counted
    # by where it entered, it would crash three servers for each of them.
    callers = ("fees", "catalogue", "")
    book = _book(
        *[
            builders.a_crash(f"{caller}.1", crashes.Suspect("deadly", caller))
            for caller in callers
        ]
    )
    assert _standing(book) is crashes.Standing.QUARANTINED


def test_crash_that_is_heard_of_twice_counts_once():
    crash = builders.a_crash("a.1", _DEADLY)
    more = builders.a_crash("a.1", _DEADLY, _INNOCENT)
    book = _book(crash, crash, more, crash)
    assert _standing(book) is crashes.Standing.ALONE
    assert _standing(book, _INNOCENT) is crashes.Standing.ALONE


def test_answer_acquits_of_all_that_counts_from_this_caller():
    book = _book(
        builders.a_crash("a.1", _DEADLY, _INNOCENT),
        builders.a_crash("b.1", _DEADLY, _INNOCENT),
    )
    for entry in book.acquittals_of(_INNOCENT, 0.0):
        book.merge(entry, 0.0, 0.0)
    assert _standing(book, _INNOCENT) is crashes.Standing.CLEAR
    assert _standing(book) is not crashes.Standing.CLEAR


def test_answer_to_another_caller_acquits_nobody():
    book = _book(builders.a_crash("a.1", _DEADLY))
    other = crashes.Suspect(_DEADLY.fingerprint, "catalogue")
    assert book.acquittals_of(other, 0.0) == []


def test_operator_releases_a_request_whoever_sent_it():
    other = crashes.Suspect(_DEADLY.fingerprint, "catalogue")
    book = _book(
        builders.a_crash("a.1", _DEADLY, other),
        builders.a_crash("b.1", _DEADLY),
        builders.a_crash("c.1", other, _INNOCENT),
    )
    for entry in book.release_of(_DEADLY.fingerprint, 0.0):
        book.merge(entry, 0.0, 0.0)
    assert _standing(book) is crashes.Standing.CLEAR
    assert _standing(book, _INNOCENT) is not crashes.Standing.CLEAR
    assert book.release_of("unknown", 0.0) == []


def test_acquittal_that_comes_before_its_crash_holds():
    crash = builders.a_crash("a.1", _INNOCENT)
    acquittals = _book(crash).acquittals_of(_INNOCENT, 0.0)
    book = _book(*acquittals, crash)
    assert _standing(book, _INNOCENT) is crashes.Standing.CLEAR


def test_refusal_tells_when_to_come_back():
    book = _book(
        *[builders.a_crash(f"a.{n}", _DEADLY, at_s=n) for n in (1, 2, 3, 4)]
    )
    judgement = book.assess(_DEADLY, 10.0, 10.0)
    # When the second of four is forgotten, two are left.
    assert judgement.refused_s == pytest.approx(592.0)


def test_crashes_are_forgotten_and_not_taken_back_from_a_peer():
    crash = builders.a_crash("a.1", _DEADLY)
    book = _book(crash)
    book.forget(601.0)
    assert _standing(book, now_s=601.0) is crashes.Standing.CLEAR
    assert len(book.table) == 0
    assert not book.merge(crash, 601.0, 601.0)


def test_table_stays_bounded_and_keeps_what_is_newest():
    book = _book()
    for number in range(6000):
        suspect = crashes.Suspect(f"f-{number}")
        entry = builders.a_crash(f"a.{number}", suspect, at_s=number / 100)
        book.merge(entry, 60.0, 60.0)
    assert len(book.table) <= 4096
    assert book.suspects == len(book.table)
    newest = crashes.Suspect("f-5999")
    assert _standing(book, newest, 60.0) is crashes.Standing.ALONE


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
def test_entry_that_is_something_else_is_refused(entry):
    with pytest.raises(errors.InvalidInputError, match="compatible releases"):
        _book(entry)


def _of(account: str) -> crashes.Suspect:
    return crashes.Suspect("listing", "fees", account)


def _book_of(*accounts: tuple[str, ...]) -> crashes.CrashTracker:
    book = crashes.CrashTracker()
    for number, names in enumerate(accounts):
        found = [_of(name) for name in names]
        book.merge(builders.a_crash(f"n.{number}", *found), 0.0, 0.0)
    return book


def test_listing_that_crashes_from_one_account_runs_for_the_others():
    """Guards against one account that has a listing refused to everybody."""
    book = _book_of(("a",), ("a", "b"), ("a",))
    assert _standing(book, _of("a")) is crashes.Standing.QUARANTINED
    assert _standing(book, _of("b")) is crashes.Standing.ALONE
    assert _standing(book, _of("c")) is crashes.Standing.ALONE


def test_listing_that_crashes_whoever_asks_ends_at_three():
    """Guards against three crashes for each account that asks."""
    book = _book_of(("a",), ("b",), ("c",))
    for account in ("a", "b", "c", "d", ""):
        assert _standing(book, _of(account)) is crashes.Standing.QUARANTINED


def test_answer_to_one_account_acquits_no_other():
    book = _book_of(("a",), ("b",), ("c",))
    for entry in book.acquittals_of(_of("b"), 0.0):
        book.merge(entry, 0.0, 0.0)
    assert _standing(book, _of("d")) is not crashes.Standing.QUARANTINED
    assert len(book.crash_entries_of("listing")) == 2
