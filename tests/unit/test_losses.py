"""What nodes' logs tell of requests that were lost."""

import orjson

from burdockfront_ctl import losses


def _line(kind: str, request: str, **fields: object) -> bytes:
    event = {"kind": kind, "request": request, "node": "n1", **fields}
    return orjson.dumps(event)


def _ended(request: str, status: int, **fields: object) -> bytes:
    known = {"outcome": "done", "reason": "", "class_name": "browse"}
    return _line(
        "entry.answered", request, status=status, **{**known, **fields}
    )


def test_loss_is_laid_to_the_deepest_line_that_explains_it():
    # The fourth layer has no room. Each layer above it fails for that, and
    # the caller sees an error of the first one.
    found = losses.read(
        [
            b"1.0 n1 " + _ended("a1", 500),
            _line("call.answered", "a1", service="top", status=500, reason=""),
            _line(
                "call.answered", "a1.b2", service="mid", status=500, reason=""
            ),
            _line(
                "call.refused", "a1.b2.c3", service="deep", reason="overload"
            ),
            _ended("d4", 200),
        ]
    )
    assert found.asked["browse"] == 2
    cause = losses.Cause("deep", "overload", 2)
    assert dict(found.lost) == {("browse", cause): 1}
    assert "overload at deep, 2 calls deep" in losses.to_text(found)


def test_calls_of_backend_servers_are_not_requests_of_callers():
    found = losses.read([_ended("a1.b2", 500), _ended("a1", 200)])
    assert found.asked.total() == 1
    assert not found.lost


def test_loss_without_a_line_is_said_to_have_none():
    found = losses.read([_ended("a1", 500), b"no JSON at all", b"{cut"])
    assert "not in the logs at the entry" in losses.to_text(found)


def test_bytes_to_other_data_centres_are_added_up():
    ways = {"fees rule": 1_500_000}
    line = _line("ways.moved", "", most_bytes=ways)
    assert "3.00  fees rule" in losses.to_text(losses.read([line, line]))
