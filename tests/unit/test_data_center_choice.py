"""Choice between guards of the same and of other data centres."""

import random

from burdockfront import guard_estimates
from burdockfront import routing
from tests import builders

_CLASS = "rule"


def _router() -> routing.Router:
    router = routing.Router("dc1", random.Random(3))
    near = builders.a_target("near", data_center="dc1", slots=8)
    far = builders.a_target("far", data_center="dc2", slots=8)
    router.update([near, far])
    return router


def _far_share(
    router: routing.Router, now_s: float = 1.0, limit_s: float = 0.5
) -> float:
    chosen = [
        router.choose(
            "fees", frozenset(), now_s, class_name=_CLASS, limit_s=limit_s
        )
        for _ in range(100)
    ]
    return sum(target.node_id == "far" for target in chosen) / len(chosen)


def _answers(
    router: routing.Router, near_s: float, far_s: float, kb: float = 1.0
) -> None:
    for _ in range(200):
        router.estimates.record_answer("fees", "near", _CLASS, near_s, 1.0)
        router.estimates.record_answer("fees", "far", _CLASS, far_s, 1.0)
        router.estimates.record_size("fees", _CLASS, kb)


def test_call_stays_near_when_all_slots_there_are_in_use():
    # Waiting for one call is cheaper than a transfer between data centres.
    router = _router()
    _answers(router, 0.03, 0.03)
    router.record_answer("near", 1.1, False, 1.0)
    assert _far_share(router) == 0.0


def test_call_leaves_an_overloaded_data_centre():
    # Failure: the only near server of the deepest service has a queue several
    # times its slots while the next data centre is idle, and calls exceed
    # their limit of 150 ms.
    router = _router()
    _answers(router, 0.03, 0.03)
    router.record_answer("near", 5.0, False, 1.0)
    assert _far_share(router, limit_s=0.15) == 1.0


def test_slow_near_server_is_used_while_it_answers_in_time():
    router = _router()
    _answers(router, 0.05, 0.03)
    assert _far_share(router) == 0.0


def test_slow_near_server_is_avoided_when_it_answers_too_late():
    # Failure: the servers of one data centre take twice as long without being
    # overloaded, and every deep request there misses its time limit.
    router = _router()
    _answers(router, 0.5, 0.2)
    assert _far_share(router, limit_s=0.4) == 1.0


def test_large_answers_stay_near_when_few_more_would_be_in_time():
    # Requests with large bodies take two thirds of their limit, and one in six
    # takes too long. Faster servers in another data centre would save one
    # answer in six, at 60 KB between data centres for each answer saved.
    router = _router()
    _answers(router, 0.17, 0.06, kb=10.0)
    assert _far_share(router, limit_s=0.25) == 0.0
    _answers(router, 0.17, 0.06, kb=0.5)
    assert _far_share(router, limit_s=0.25) == 1.0


def test_calls_stay_near_when_answers_are_late_everywhere():
    # Failure: a service is overloaded in all data centres, so that answers are
    # late everywhere, and a third of all calls cause expensive transfers to
    # other data centres without any gain.
    router = _router()
    _answers(router, 0.5, 0.48)
    assert _far_share(router, limit_s=0.1) == 0.0


def test_small_latency_differences_do_not_move_calls():
    router = _router()
    _answers(router, 0.034, 0.030)
    assert _far_share(router, limit_s=0.1) == 0.0


def test_server_that_refuses_half_of_its_requests_is_avoided():
    # Its health check passes and it answers quickly. Each refusal costs a
    # reroute, or fails one of the many calls of a request.
    router = _router()
    _answers(router, 0.1, 0.1)
    for _ in range(40):
        router.estimates.record_failure("near", 1.0)
        router.estimates.record_answer("fees", "near", _CLASS, 0.1, 1.0)
    assert _far_share(router) == 1.0


def test_failing_server_is_tried_again_after_some_time():
    # Failure: a server that is avoided gets no requests, so no router learns
    # that it has recovered.
    router = _router()
    _answers(router, 0.1, 0.1)
    for _ in range(100):
        router.estimates.record_failure("near", 1.0)
    assert router.estimates.failure_rate("near", 1.0) > 0.9
    assert _far_share(router) == 1.0
    assert _far_share(router, now_s=9.0) == 0.0


def test_successful_answers_lower_the_failure_rate():
    estimates = guard_estimates.GuardEstimates()
    for _ in range(100):
        estimates.record_failure("near", 1.0)
    for _ in range(200):
        estimates.record_answer("fees", "near", _CLASS, 0.1, 1.0)
    assert estimates.failure_rate("near", 1.0) < 0.01


def test_calls_stay_near_when_a_service_refuses_everywhere():
    # Failure: all servers refuse half of all requests, their estimates differ
    # only by chance, and calls cause transfers without any gain.
    router = _router()
    rng = random.Random(5)
    _answers(router, 0.1, 0.1)
    far = 0
    for step in range(1000):
        now_s = 1.0 + step / 200
        target = router.choose(
            "fees", frozenset(), now_s, class_name=_CLASS, limit_s=0.5
        )
        if rng.random() < 0.5:
            router.estimates.record_failure(target.node_id, now_s)
        else:
            router.estimates.record_answer(
                "fees", target.node_id, _CLASS, 0.1, now_s
            )
        far += target.node_id == "far"
    assert far < 400


def test_server_that_never_answers_in_time_is_estimated_as_slow():
    # Failure: a server takes twelve times as long, so each request times out.
    # With estimates from answers alone, its router kept sending to it.
    router = _router()
    _answers(router, 0.1, 0.1)
    for _ in range(30):
        router.estimates.record_timeout("fees", "near", _CLASS, 0.4)
    assert _far_share(router, limit_s=0.4) == 1.0


def test_of_two_near_servers_the_one_that_fails_is_avoided():
    # Both have free slots. One refuses half of its requests while its health
    # check passes.
    router = routing.Router("dc1", random.Random(3))
    names = ("good", "grey")
    router.update(
        builders.a_target(name, data_center="dc1", slots=8) for name in names
    )
    for _ in range(100):
        router.estimates.record_failure("grey", 1.0)
        router.estimates.record_answer("fees", "grey", _CLASS, 0.1, 1.0)
        router.estimates.record_answer("fees", "good", _CLASS, 0.1, 1.0)
    chosen = {
        router.choose(
            "fees", frozenset(), 1.0, class_name=_CLASS, limit_s=0.5
        ).node_id
        for _ in range(50)
    }
    assert chosen == {"good"}


def test_estimates_of_a_removed_server_are_dropped():
    router = _router()
    _answers(router, 0.5, 0.2)
    router.update([])
    assert router.estimates.relative_latency("near") == 1.0


def test_request_leaves_when_its_calls_below_would_leave():
    # The deepest service is missing in this data centre: each request that
    # stays makes eight calls that leave, and one that leaves makes none. No
    # server is slow or overloaded, so only the reported costs show it.
    router = _router()
    _answers(router, 0.2, 0.2)
    router.transfer_costs.record_report("near", _CLASS, 8.0, 1.0)
    router.transfer_costs.record_report("far", _CLASS, 0.0, 1.0)
    assert _far_share(router) == 1.0


def test_share_of_requests_that_leave_is_proportional_to_a_small_saving():
    # Failure: in an overload of all data centres, calls leave each of them. The
    # reports of guards lag, so if all requests reacted at once, they would
    # oscillate between the data centres.
    router = _router()
    _answers(router, 0.2, 0.2)
    router.transfer_costs.record_report("near", _CLASS, 2.5, 1.0)
    router.transfer_costs.record_report("far", _CLASS, 0.0, 1.0)
    assert 0.4 < _far_share(router) < 0.8


def test_request_stays_when_transfer_costs_are_equal_elsewhere():
    router = _router()
    _answers(router, 0.2, 0.2)
    router.transfer_costs.record_report("near", _CLASS, 3.0, 1.0)
    router.transfer_costs.record_report("far", _CLASS, 3.0, 1.0)
    assert _far_share(router) == 0.0


def test_transfer_costs_do_not_justify_a_server_twice_as_slow():
    router = _router()
    _answers(router, 0.2, 0.5)
    router.transfer_costs.record_report("near", _CLASS, 8.0, 1.0)
    assert _far_share(router) == 0.0


def test_old_reports_of_transfer_costs_are_ignored():
    # Failure: a router that avoids a guard gets no reports of it any more, and
    # does not learn that the service below it has recovered.
    router = _router()
    _answers(router, 0.2, 0.2)
    router.transfer_costs.record_report("near", _CLASS, 8.0, -60.0)
    assert _far_share(router) == 0.0
