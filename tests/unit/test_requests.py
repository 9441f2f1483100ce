"""Encoding of contexts, keys, tickets and headers of a request."""

import pytest

from burdockfront import context
from burdockfront import errors
from burdockfront import tickets
from burdockfront_client import wire
from tests import builders


def test_context_round_trip():
    keys = builders.a_key_ring()
    sent = builders.a_context(remaining_s=1.25, parent="up")
    assert context.decode(context.encode(sent, keys), keys) == sent


def test_forged_context_is_refused():
    # Guards against callers that copy the context header of another system and
    # set their own priority. An unsigned context of this kind would be served
    # before all confirmations.
    foreign = builders.a_key_ring("another-key-0123456789")
    forged = context.encode(builders.a_context(rank=0), foreign)
    with pytest.raises(errors.ForgedContextError, match="not signed"):
        context.decode(forged, builders.a_key_ring())


@pytest.mark.parametrize("text", ["", ".", "abc", "W10=.", "é.é"])
def test_malformed_context_is_refused_as_forged(text):
    with pytest.raises(errors.ForgedContextError):
        context.decode(text, builders.a_key_ring())


def test_depth_of_nested_calls_is_limited():
    keys = builders.a_key_ring()
    deep = builders.a_context(depth=context.MAX_DEPTH + 1)
    with pytest.raises(errors.InvalidInputError, match="cycle"):
        context.decode(context.encode(deep, keys), keys)


def test_maximum_depth_is_at_least_28():
    assert context.MAX_DEPTH >= 28


def test_nested_call_can_not_gain_allowance():
    with pytest.raises(AssertionError, match="gain"):
        builders.a_context(allowance=1).for_nested_call("a", 1.0, 2)


def test_contexts_stay_valid_during_key_rotation():
    old, new = "old-key-0123456789", "new-key-0123456789"
    both = builders.a_key_ring(new, old)
    signed_before = context.encode(
        builders.a_context(), builders.a_key_ring(old)
    )
    assert context.decode(signed_before, both)
    signed_after = context.encode(builders.a_context(), both)
    assert context.decode(signed_after, builders.a_key_ring(new))
    with pytest.raises(errors.ForgedContextError):
        context.decode(signed_after, builders.a_key_ring(old))


def test_short_key_is_refused_with_the_remedy():
    with pytest.raises(errors.SettingsError, match="new-key"):
        builders.a_key_ring("short")


def test_failed_replacement_keeps_the_old_keys():
    keys = builders.a_key_ring()
    with pytest.raises(errors.SettingsError):
        keys.replace([])
    assert keys.accepts(builders.KEY)


def test_ticket_made_up_by_a_caller_is_refused_with_the_remedy():
    with pytest.raises(errors.MalformedTicketError, match="POST /tickets"):
        tickets.decode("my-own-key-17", builders.a_key_ring())


def test_answer_of_another_attempt_is_refused():
    # Guards against a late answer that arrives on a reused connection. Without
    # the echoed attempt id, a caller would receive the personal data of another
    # caller's user.
    described = wire.encode_answer(builders.an_answer(), "mine", 7)
    with pytest.raises(errors.DispatchError, match="got the one to mine"):
        wire.decode_answer(described, "yours", 200, (), b"")


def test_answer_round_trip():
    answer = builders.an_answer()
    described = wire.encode_answer(answer, "a", 7)
    found, stamp = wire.decode_answer(described, "a", 200, (), answer.body)
    assert (found, stamp) == (answer, 7)


def test_internal_and_hop_by_hop_headers_are_not_forwarded():
    headers = [
        ("Connection", "close"),
        ("Burdockfront-Outcome", "done"),
        ("X-Mine", "1"),
    ]
    assert wire.end_to_end(headers) == (("X-Mine", "1"),)
