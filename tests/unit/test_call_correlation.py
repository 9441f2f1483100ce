"""Correlation of a backend server's calls with its requests, by their ids."""

import random

from burdockfront import call_correlation
from tests import builders


def _correlator(*ids: str) -> call_correlation.CallCorrelator:
    correlator = call_correlation.CallCorrelator()
    for request_id in ids:
        correlator.add(builders.a_context(request_id=request_id))
    return correlator


def _parent_of(
    correlator: call_correlation.CallCorrelator, request_id: str
) -> str | None:
    parent = correlator.parent_of(request_id)
    return parent.request_id if parent else None


def test_id_that_extends_the_id_of_a_request_in_flight_is_its_call():
    correlator = _correlator("a1", "b2")
    assert _parent_of(correlator, "b2.77") == "b2"
    assert _parent_of(correlator, "a1-3") == "a1"


def test_request_with_the_longest_matching_id_is_the_parent():
    correlator = _correlator("a1", "a1.b2")
    assert _parent_of(correlator, "a1.b2.c3") == "a1.b2"
    assert _parent_of(correlator, "a1.d4") == "a1"


def test_id_with_a_common_prefix_but_no_separator_is_no_call():
    correlator = _correlator("a1")
    assert _parent_of(correlator, "a12") is None
    assert _parent_of(correlator, "a1") is None
    assert _parent_of(correlator, "c3.a1") is None


def test_request_that_has_ended_is_not_a_parent():
    correlator = call_correlation.CallCorrelator()
    context = builders.a_context(request_id="a1")
    second = builders.a_context(request_id="a1", attempt_id="second")
    correlator.add(context)
    correlator.add(second)
    correlator.remove(context)
    assert _parent_of(correlator, "a1.b2") == "a1", (
        "its second attempt is still in flight"
    )
    correlator.remove(second)
    assert _parent_of(correlator, "a1.b2") is None


def test_parent_is_the_longest_known_prefix_whatever_the_lengths_are():
    # Few lengths of ids are searched by length, many by separator. Both must
    # find the same parent.
    rng = random.Random(11)
    found = 0
    for _ in range(3000):
        count = rng.choice((1, 3, 30))
        ids = {_random_id(rng) for _ in range(count)}
        correlator = _correlator(*ids)
        called = _random_id(rng)
        prefixes = [
            known
            for known in ids
            if called.startswith(known)
            and called[len(known) : len(known) + 1] in (".", "-")
        ]
        expected = max(prefixes, key=len, default=None)
        found += expected is not None
        assert _parent_of(correlator, called) == expected, (ids, called)
    assert found > 300


def test_id_with_too_many_parts_behind_a_known_one_is_no_call():
    correlator = _correlator("a1")
    assert _parent_of(correlator, "a1" + ".b" * 32) == "a1"
    assert _parent_of(correlator, "a1" + ".b" * 33) is None


def _random_id(rng: random.Random) -> str:
    return "".join(rng.choices("a1.-", k=rng.randint(1, 12)))
