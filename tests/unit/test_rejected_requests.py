"""Tests of the memory of requests that a backend server has rejected."""

from burdockfront_node import rejected_requests


def test_rejected_request_is_remembered_past_its_deadline():
    """Guards against a late attempt that is handed over once more."""
    rejected = rejected_requests.RejectedRequests()
    rejected.add("r-1", 5.0)
    assert rejected.contains("r-1", 5.5)
    assert not rejected.contains("r-2", 5.5)


def test_rejected_requests_are_forgotten_in_order_of_their_deadlines():
    """Guards against a process whose memory grows with each rejection."""
    rejected = rejected_requests.RejectedRequests()
    for number in range(100):
        rejected.add(f"r-{number}", 100.0 - number)
        rejected.add(f"r-{number}", 100.0 - number)
    assert len(rejected) == 100
    assert not rejected.contains("r-99", 100.0)
    assert rejected.contains("r-0", 100.0)
    assert not rejected.contains("r-0", 200.0)
    assert len(rejected) == 0
