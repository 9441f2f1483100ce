"""Estimates of the transfer costs that requests cause in lower layers."""

import dataclasses
import random

from burdockfront import transfer_costs


@dataclasses.dataclass(order=True)
class _Event:
    at_s: float
    kind: str
    class_name: str


def _events(seed: int, length_s: float) -> list[_Event]:
    """Returns the events at a node with two classes of requests.

    Both arrive at random: rosters (60 a second, with four calls each) and
    timings (10 a second, without calls). This is the mix at a timetable server
    on a day of high load.
    """
    rng = random.Random(seed)
    events = []
    for class_name, per_s, work_s, calls in (
        ("roster", 60.0, 0.12, 4),
        ("timings", 10.0, 0.25, 0),
    ):
        at_s = rng.expovariate(per_s)
        while at_s < length_s:
            duration_s = work_s * rng.uniform(0.5, 1.5)
            events.append(_Event(at_s, "began", class_name))
            for number in range(calls):
                call_s = at_s + duration_s * (number + 0.5) / calls
                events.append(_Event(call_s, "called", class_name))
            events.append(_Event(at_s + duration_s, "ended", class_name))
            at_s += rng.expovariate(per_s)
    return sorted(events)


def test_calls_are_attributed_to_the_class_that_makes_them():
    # A call does not name its request. Failure: a class that makes no calls is
    # sent to another data centre because of one that does.
    tracker = transfer_costs.TransferCostTracker(0.0)
    for event in _events(seed=1, length_s=12.0):
        if event.kind == "began":
            tracker.record_start(event.class_name, event.at_s)
        elif event.kind == "ended":
            tracker.record_end(event.class_name, event.at_s)
        else:
            tracker.record_call(1.0, event.at_s)
    assert 3.0 < tracker.kb_per_request("roster") < 4.5
    assert tracker.kb_per_request("timings") < 1.0


def test_costs_decay_after_a_server_recovers():
    tracker = transfer_costs.TransferCostTracker(0.0)
    for number in range(100):
        at_s = number / 10
        tracker.record_start("browse", at_s)
        far = number < 50
        tracker.record_call(8.0 if far else 0.0, at_s + 0.01)
        tracker.record_end("browse", at_s + 0.02)
        if number == 49:
            assert tracker.kb_per_request("browse") > 7.0
    assert tracker.kb_per_request("browse") < 2.0


def test_unknown_class_has_no_costs():
    tracker = transfer_costs.TransferCostTracker(0.0)
    tracker.record_call(1.0, 1.0)
    assert tracker.kb_per_request("browse") == 0.0
