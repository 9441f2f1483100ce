"""For which request a backend server makes a call."""

from burdockfront import call_correlation
from tests import builders


def _running(*ids: str) -> call_correlation.CallCorrelator:
    known = call_correlation.CallCorrelator()
    for request_id in ids:
        known.add(builders.a_context(request_id=request_id))
    return known


def _parent_of(
    known: call_correlation.CallCorrelator, request_id: str
) -> str | None:
    parent = known.parent_of(request_id)
    return parent.request_id if parent else None


def test_id_that_extends_that_of_a_running_request_is_its_call():
    known = _running("a1", "b2")
    assert _parent_of(known, "b2.77") == "b2"
    assert _parent_of(known, "a1-3") == "a1"


def test_the_closest_of_several_is_the_parent():
    known = _running("a1", "a1.b2")
    assert _parent_of(known, "a1.b2.c3") == "a1.b2"
    assert _parent_of(known, "a1.d4") == "a1"


def test_ids_that_begin_alike_by_chance_are_no_calls():
    known = _running("a1")
    assert _parent_of(known, "a12") is None
    assert _parent_of(known, "a1") is None
    assert _parent_of(known, "c3.a1") is None


def test_request_that_has_ended_is_nobodys_parent():
    known = call_correlation.CallCorrelator()
    context = builders.a_context(request_id="a1")
    again = builders.a_context(request_id="a1", attempt_id="second")
    known.add(context)
    known.add(again)
    known.remove(context)
    assert _parent_of(known, "a1.b2") == "a1", "it runs a second time"
    known.remove(again)
    assert _parent_of(known, "a1.b2") is None
