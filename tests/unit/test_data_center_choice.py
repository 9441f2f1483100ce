"""Near or far: when work leaves its data centre."""

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


def test_work_stays_near_though_all_slots_there_are_in_use():
    # A wait of one call is cheaper than the way.
    router = _router()
    _answers(router, 0.03, 0.03)
    router.record_answer("near", 1.1, False, 1.0)
    assert _far_share(router) == 0.0


def test_work_leaves_a_data_centre_that_drowns():
    # Its only server of the deepest service has a queue of several rounds,
    # and the next data centre is idle. Calls may take 150 ms each.
    router = _router()
    _answers(router, 0.03, 0.03)
    router.record_answer("near", 5.0, False, 1.0)
    assert _far_share(router, limit_s=0.15) == 1.0


def test_slow_server_is_good_enough_while_answers_come_in_time():
    router = _router()
    _answers(router, 0.05, 0.03)
    assert _far_share(router) == 0.0


def test_slow_server_is_left_for_a_quick_one_once_answers_come_too_late():
    # The slow servers of one data centre take twice as long; nobody is
    # overloaded, and every deep request there misses its time limit.
    router = _router()
    _answers(router, 0.5, 0.2)
    assert _far_share(router, limit_s=0.4) == 1.0


def test_large_answers_do_not_travel_for_a_few_more_in_time():
    # Work with large bodies takes two thirds of its limit, and one in six
    # takes too long. Sent to quicker servers elsewhere, one answer in six
    # is saved, for 60 KB between data centres each.
    router = _router()
    _answers(router, 0.17, 0.06, kb=10.0)
    assert _far_share(router, limit_s=0.25) == 0.0
    _answers(router, 0.17, 0.06, kb=0.5)
    assert _far_share(router, limit_s=0.25) == 1.0


def test_lateness_everywhere_moves_nothing():
    # A service has no room anywhere, and answers are late for that. Quick
    # servers of other data centres are as pressed; hurrying there would send a
    # third of all calls over the dear ways for nothing.
    router = _router()
    _answers(router, 0.5, 0.48)
    assert _far_share(router, limit_s=0.1) == 0.0


def test_small_differences_move_nothing():
    router = _router()
    _answers(router, 0.034, 0.030)
    assert _far_share(router, limit_s=0.1) == 0.0


def test_server_that_refuses_half_of_its_requests_is_avoided():
    # Its health check is good and it answers quickly. Each refusal costs a
    # request that is sent on, or one of many calls of a whole request.
    router = _router()
    _answers(router, 0.1, 0.1)
    for _ in range(40):
        router.estimates.record_failure("near", 1.0)
        router.estimates.record_answer("fees", "near", _CLASS, 0.1, 1.0)
    assert _far_share(router) == 1.0


def test_server_is_not_avoided_for_ever():
    # Nobody asks it any more, so nobody hears that it is well again.
    router = _router()
    _answers(router, 0.1, 0.1)
    for _ in range(100):
        router.estimates.record_failure("near", 1.0)
    assert router.estimates.failure_rate("near", 1.0) > 0.9
    assert _far_share(router) == 1.0
    assert _far_share(router, now_s=9.0) == 0.0


def test_good_answers_of_a_server_that_failed_are_believed():
    book = guard_estimates.GuardEstimates()
    for _ in range(100):
        book.record_failure("near", 1.0)
    for _ in range(200):
        book.record_answer("fees", "near", _CLASS, 0.1, 1.0)
    assert book.failure_rate("near", 1.0) < 0.01


def test_service_that_refuses_everywhere_is_asked_near():
    # All servers refuse half of all requests. Which of them looks a little
    # better is chance, and ways would be paid for nothing.
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


def test_server_that_never_answers_in_time_is_known_to_be_slow():
    # It takes twelve times as long, so each request is given up. Learning from
    # answers alone, its router kept sending: nothing said that it was slow.
    router = _router()
    _answers(router, 0.1, 0.1)
    for _ in range(30):
        router.estimates.record_timeout("fees", "near", _CLASS, 0.4)
    assert _far_share(router, limit_s=0.4) == 1.0


def test_of_two_near_servers_the_one_that_fails_is_avoided():
    # Both have room. One refuses half of its requests while it looks healthy.
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


def test_server_that_is_gone_is_forgotten():
    router = _router()
    _answers(router, 0.5, 0.2)
    router.update([])
    assert router.estimates.relative_latency("near") == 1.0


def test_request_leaves_whose_calls_would_leave_below():
    # The deepest service is missing in this data centre: each request that
    # stays makes eight calls that leave, one that leaves makes none. Nobody is
    # slow or pressed, so nothing else tells.
    router = _router()
    _answers(router, 0.2, 0.2)
    router.transfer_costs.record_report("near", _CLASS, 8.0, 1.0)
    router.transfer_costs.record_report("far", _CLASS, 0.0, 1.0)
    assert _far_share(router) == 1.0


def test_request_leaves_in_proportion_where_little_is_saved():
    # In an overload of all data centres calls leave each of them. What guards
    # say is old: all at once, requests would run from one to the other.
    router = _router()
    _answers(router, 0.2, 0.2)
    router.transfer_costs.record_report("near", _CLASS, 2.5, 1.0)
    router.transfer_costs.record_report("far", _CLASS, 0.0, 1.0)
    assert 0.4 < _far_share(router) < 0.8


def test_request_stays_where_its_calls_leave_as_often_elsewhere():
    router = _router()
    _answers(router, 0.2, 0.2)
    router.transfer_costs.record_report("near", _CLASS, 3.0, 1.0)
    router.transfer_costs.record_report("far", _CLASS, 3.0, 1.0)
    assert _far_share(router) == 0.0


def test_detours_are_not_worth_a_server_that_takes_twice_as_long():
    router = _router()
    _answers(router, 0.2, 0.5)
    router.transfer_costs.record_report("near", _CLASS, 8.0, 1.0)
    assert _far_share(router) == 0.0


def test_detours_heard_long_ago_are_not_believed():
    # Whoever avoids a guard hears nothing of it any more, also not that the
    # service below it is back.
    router = _router()
    _answers(router, 0.2, 0.2)
    router.transfer_costs.record_report("near", _CLASS, 8.0, -60.0)
    assert _far_share(router) == 0.0
