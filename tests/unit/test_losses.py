"""Tests for the analysis of failed requests in nodes' logs."""

import orjson

from burdockfront_ctl import losses


def _line(kind: str, request: str, **fields: object) -> bytes:
    event = {"kind": kind, "request": request, "node": "n1", **fields}
    return orjson.dumps(event)


def _answered(request: str, status: int, **fields: object) -> bytes:
    known = {"outcome": "done", "reason": "", "class_name": "browse"}
    return _line(
        "entry.answered", request, status=status, **{**known, **fields}
    )


def test_failure_is_attributed_to_the_deepest_cause():
    # The deepest service refuses a call for overload. Each service above it
    # fails as a result, and the caller receives an error of the first one.
    found = losses.read(
        [
            b"1.0 n1 " + _answered("a1", 500),
            _line("call.answered", "a1", service="top", status=500, reason=""),
            _line(
                "call.answered", "a1.b2", service="mid", status=500, reason=""
            ),
            _line(
                "call.refused", "a1.b2.c3", service="deep", reason="overload"
            ),
            _answered("d4", 200),
        ]
    )
    assert found.asked["browse"] == 2
    cause = losses.Cause("deep", "overload", 2)
    assert dict(found.lost) == {("browse", cause): 1}
    assert "overload at deep, 2 calls deep" in losses.to_text(found)


def test_calls_by_backend_servers_are_not_counted_as_requests():
    found = losses.read([_answered("a1.b2", 500), _answered("a1", 200)])
    assert found.asked.total() == 1
    assert not found.lost


def test_failure_without_a_log_line_is_reported_as_unexplained():
    found = losses.read([_answered("a1", 500), b"no JSON at all", b"{cut"])
    assert "not in the logs at the entry" in losses.to_text(found)


def test_bytes_to_other_data_centres_are_summed():
    transferred = {"fees rule": 1_500_000}
    line = _line("ways.moved", "", most_bytes=transferred)
    assert "3.00  fees rule" in losses.to_text(losses.read([line, line]))
