"""Nodes that receive crash entries in any order reach the same assessment.

The oracle keeps plain sets of the suspects of each crash and of the acquittals.
Three trackers merge the entries in different orders, some entries twice.
"""

import collections
import random

import hypothesis
from hypothesis import strategies

from burdockfront import crashes
from burdockfront import tables
from tests import builders

_FINGERPRINTS = strategies.sampled_from(["f1", "f2", "f3"])
_CALLERS = strategies.sampled_from(["", "fees"])
_SUSPECTS = strategies.builds(crashes.Suspect, _FINGERPRINTS, _CALLERS)
# One node reports each crash, first with some suspects and then with all.
_CRASHES = strategies.lists(
    strategies.lists(_SUSPECTS, min_size=1, max_size=4, unique=True),
    min_size=1,
    max_size=6,
)
_AT_S = 50.0


def _acquittal(crash_id: str, suspect: crashes.Suspect) -> tables.Entry:
    tracker = crashes.CrashTracker()
    tracker.merge(builders.a_crash(crash_id, suspect, at_s=_AT_S), 0.0, _AT_S)
    (entry,) = tracker.acquittals_of(suspect, _AT_S)
    return entry


@hypothesis.given(
    crashed=_CRASHES,
    acquitted=strategies.lists(
        strategies.tuples(strategies.integers(0, 5), _SUSPECTS), max_size=8
    ),
    seed=strategies.integers(0, 2**32),
)
def test_trackers_agree_with_plain_sets_in_any_order(crashed, acquitted, seed):
    entries = []
    counts = collections.defaultdict(set)
    for number, suspects in enumerate(crashed):
        crash_id = f"boot.{number}"
        for reported in (suspects[:1], suspects):
            entry = builders.a_crash(crash_id, *reported, at_s=_AT_S)
            entries.append(entry)
        for suspect in suspects:
            if (number, suspect) not in acquitted:
                counts[suspect.fingerprint].add(crash_id)
    entries += [
        _acquittal(f"boot.{number}", suspect) for number, suspect in acquitted
    ]
    rng = random.Random(seed)
    trackers = [crashes.CrashTracker() for _ in range(3)]
    for tracker in trackers:
        order = entries + rng.sample(entries, len(entries) // 2)
        rng.shuffle(order)
        for entry in order:
            tracker.merge(entry, 0.0, _AT_S)
    assert len({tracker.table.digest() for tracker in trackers}) == 1
    expected = {f for f, ids in counts.items() if len(ids) >= 3}
    for tracker in trackers:
        assert set(tracker.quarantined) == expected
        assert tracker.suspects == len(counts)
        for fingerprint in ("f1", "f2", "f3"):
            standing = tracker.assess(
                crashes.Suspect(fingerprint), 0.0, _AT_S
            ).standing
            clear = not counts.get(fingerprint)
            assert (standing is crashes.Standing.CLEAR) == clear
