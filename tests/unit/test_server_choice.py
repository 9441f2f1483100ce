"""Choice among the servers of a service by pace, load and learned latency."""

import math
import random

import pytest

from burdockfront import routing
from tests import builders
from tests import choice_model

_CLASS = "rule"


def _router(*names: str, slots: int = 8) -> routing.Router:
    router = routing.Router("dc1", random.Random(3))
    router.update(
        builders.a_target(name, data_center="dc1", slots=slots)
        for name in names
    )
    # Loads count once a guard has told how fast its server is.
    router.record_pace(names[0], 1.0, 0.0)
    return router


def _share(
    router: routing.Router, name: str, now_s: float, limit_s: float = 0.5
) -> float:
    chosen = [
        router.choose(
            "fees", frozenset(), now_s, class_name=_CLASS, limit_s=limit_s
        )
        for _ in range(200)
    ]
    return sum(target.node_id == name for target in chosen) / len(chosen)


def _answers(
    router: routing.Router, elapsed_s: dict[str, float], pace: float = 1.0
) -> None:
    for _ in range(200):
        for name, value in elapsed_s.items():
            router.estimates.record_answer(
                "fees", name, _CLASS, value, 1.0, pace
            )


@pytest.mark.parametrize("silent_s", [2.0, 10.0, 1e6])
def test_pace_is_unknown_when_its_reports_stop(silent_s):
    # Failure: a server is slow when its reports stop, for two seconds, ten, or
    # for good, and routers that avoid it never learn that it has recovered.
    router = _router("a", "b")
    _answers(router, {"a": 0.1, "b": 0.1})
    router.record_pace("a", 5.0, 1.0)
    assert _share(router, "a", 1.0) == 0.0
    assert router.pace("a", 1.0 + silent_s) == 1.0
    assert 0.3 < _share(router, "a", 1.0 + silent_s) < 0.7


def test_pace_loses_weight_with_age():
    # Failure: machines are slow for 0.6 s at a time, and an older report takes
    # a server out of use after it has recovered.
    router = _router("a")
    router.record_pace("a", 2.5, 1.0)
    assert router.pace("a", 1.2) == pytest.approx(2.5)
    assert 1.0 < router.pace("a", 1.5) < 2.5
    assert router.pace("a", 1.8) == 1.0


def test_low_pace_gives_no_preference_and_a_huge_one_is_bounded():
    # Failure: a server reports that it is a hundred times as fast as usual, and
    # gets all calls.
    router = _router("a", "b")
    router.record_pace("a", 0.01, 1.0)
    assert router.pace("a", 1.0) == 1.0
    router.record_pace("a", 1e9, 1.0)
    assert router.pace("a", 1.0) == 10.0


def test_slowdown_that_the_pace_shows_is_not_learned_as_well():
    # Failure: answers take 2.5 times as long during a spell. The router learns
    # that, multiplies it by the pace to six times, and keeps avoiding the
    # server after the spell.
    router = _router("a", "b")
    _answers(router, {"a": 0.1, "b": 0.1})
    for _ in range(100):
        router.estimates.record_answer("fees", "a", _CLASS, 0.25, 1.0, 2.5)
    assert router.estimates.relative_latency("a") == pytest.approx(1.0, abs=0.1)


def test_nested_calls_that_a_slow_spell_does_not_prolong_are_not_learned():
    # Failure: most of the time of an upper server is spent in nested calls. If
    # the whole time were divided by the pace, the server would seem twice as
    # fast as its neighbours after the spell, and get too many calls.
    router = _router("a", "b")
    _answers(router, {"a": 0.1, "b": 0.1})
    for _ in range(100):
        router.estimates.record_answer("fees", "a", _CLASS, 0.115, 1.0, 2.5)
    assert router.estimates.relative_latency("a") == pytest.approx(1.0, abs=0.1)


def test_slowness_beyond_the_pace_is_learned():
    # Failure: a server says that it is at half of its speed, and takes ten
    # times as long.
    router = _router("a", "b")
    _answers(router, {"a": 0.1, "b": 0.1})
    for _ in range(30):
        router.estimates.record_answer("fees", "a", _CLASS, 1.0, 1.0, 2.0)
    assert router.estimates.relative_latency("a") > 1.5


def test_restarted_server_has_no_pace():
    # Failure: a server that was slow starts again under its id, and is avoided
    # for the reports of the process before.
    router = _router("a", "b")
    router.record_pace("a", 5.0, 1.0)
    router.update(
        builders.a_target(name, boot_id=f"{name}-2", slots=8)
        for name in ("a", "b")
    )
    assert router.pace("a", 1.0) == 1.0


def test_pace_of_an_unknown_guard_is_ignored():
    router = _router("a")
    router.record_pace("gone", 5.0, 1.0)
    assert router.pace("gone", 1.0) == 1.0


def _two_data_centers(**changes: object) -> routing.Router:
    router = routing.Router("dc1", random.Random(3))
    router.update(
        [
            builders.a_target("near", data_center="dc1", slots=40),
            builders.a_target("far", data_center="dc2", slots=40, **changes),
        ]
    )
    router.record_pace("near", 1.0, 0.0)
    return router


def test_loads_without_any_pace_move_no_call_to_another_data_center():
    # Failure: deployments whose servers do not tell how fast they are were
    # served differently, and paid for more transfers.
    router = routing.Router("dc1", random.Random(3))
    router.update(
        [
            builders.a_target("near", data_center="dc1", slots=40),
            builders.a_target("far", data_center="dc2", slots=40),
        ]
    )
    router.record_answer("near", 1.0, False, 1.0)
    router.record_answer("far", 0.3, False, 1.0)
    assert _share(router, "near", 1.0) == 1.0


def test_call_leaves_a_full_near_guard_before_calls_wait():
    # Failure: one of four servers of a deep service had 1.6 times the mean
    # load. Its calls waited and its level fell while others had free slots.
    router = _two_data_centers()
    router.record_answer("near", 1.0, False, 1.0)
    router.record_answer("far", 0.3, False, 1.0)
    assert _share(router, "far", 1.0) > 0.3


def test_no_call_leaves_while_slots_are_free():
    router = _two_data_centers()
    for load in (0.0, 0.3, 0.6, 0.9):
        router.record_answer("near", load, False, 1.0)
        router.record_answer("far", 0.0, False, 1.0)
        assert _share(router, "far", 1.0) == 0.0


def test_no_call_leaves_when_all_data_centers_are_full_alike():
    # Failure: in an overload of all data centres, each sends calls to the
    # others, and pays for the transfer without any gain.
    router = _two_data_centers()
    for load in (0.95, 1.0, 1.5, 3.0):
        router.record_answer("near", load, False, 1.0)
        router.record_answer("far", load, False, 1.0)
        assert _share(router, "far", 1.0) == 0.0


def test_load_of_a_far_guard_is_learned_with_one_call_at_a_time():
    # Failure: all calls of all routers leave for a far guard whose last report
    # is old, and it is full when their answers show it.
    router = _two_data_centers()
    router.record_answer("near", 1.0, False, 1.0)
    for _ in range(5):
        router.record_sent("near")
    assert _share(router, "far", 1.0) == 1.0
    router.record_sent("far")
    assert _share(router, "far", 1.0) == 0.0


@pytest.mark.parametrize("silent_s", [2.0, 10.0, 1e6])
def test_full_guard_without_fresh_reports_keeps_its_calls(silent_s):
    # Failure: the reports of guards stop, for two seconds, ten, or for good,
    # and calls leave by what was reported last.
    router = _two_data_centers()
    router.record_answer("near", 1.0, False, 1.0)
    router.record_answer("far", 0.3, False, 1.0)
    assert _share(router, "far", 1.0 + silent_s) == 0.0


def test_large_calls_stay_near_for_a_small_difference_in_load():
    # Failure: calls of 10 KB leave their data centre for waits of milliseconds.
    router = _two_data_centers()
    router.record_answer("near", 1.0, False, 1.0)
    router.record_answer("far", 0.6, False, 1.0)
    assert _share(router, "far", 1.0) > 0.1
    for _ in range(100):
        router.estimates.record_size("fees", _CLASS, 10.0)
    assert _share(router, "far", 1.0) == 0.0


def test_calls_do_not_all_leave_for_a_far_guard_that_gets_full():
    # Failure: a near server is slow, all routers send to the far one until they
    # see a queue there, and then all return at once.
    router = _two_data_centers()
    _answers(router, {"near": 0.2, "far": 0.1})
    shares = []
    for load in (0.5, 0.75, 0.95):
        router.record_answer("near", 0.5, False, 1.0)
        router.record_answer("far", load, False, 1.0)
        shares.append(_share(router, "far", 1.0, limit_s=0.25))
    assert shares[0] == 1.0
    assert 0.3 < shares[1] < 0.8
    assert shares[2] == 0.0


def _three_data_centers() -> list[choice_model.Server]:
    return [
        choice_model.a_server("d1", data_center="dc1", slots=80),
        choice_model.a_server("d2", data_center="dc2", slots=80),
        choice_model.a_server("d3", data_center="dc3", slots=80),
    ]


_ROUTERS = {"dc1": 23, "dc2": 23, "dc3": 24}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_seventy_routers_share_the_load_of_a_full_data_center(seed):
    # Failure: demand shifts to one data centre. Its calls wait while others
    # have free slots, or all routers choose the same far guard and fill that
    # one.
    model = choice_model.Model(
        _three_data_centers(),
        _ROUTERS,
        lambda name, now_s: (
            2200 if name == "dc1" and 2.0 <= now_s < 5.0 else 800
        ),
        seed,
    )
    result = model.run(7.0)
    assert result.far_share(0.5, 2.0) < 0.01
    assert result.far_share(6.0, 7.0) < 0.01
    assert result.mean_load("d1", 2.5, 5.0) < 1.1
    assert max(result.max_load(name, 2.0, 5.0) for name in ("d2", "d3")) < 1.25
    second = result.count("d2", 2.5, 5.0)
    third = result.count("d3", 2.5, 5.0)
    assert 0.8 < second / third < 1.25


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_load_moves_when_a_server_gets_slow_and_returns(seed):
    # Failure: a near server works at 1/2.5 of its speed. Its calls are late for
    # seconds, or move back and forth between the data centres.
    servers = _three_data_centers()
    servers[0].pace = lambda now_s: 2.5 if 2.0 <= now_s < 4.0 else 1.0
    model = choice_model.Model(
        servers, _ROUTERS, lambda name, now_s: 900.0, seed
    )
    result = model.run(6.0)
    assert result.far_share(0.5, 2.0) < 0.01
    assert result.far_share(2.3, 4.0) > 0.1
    shares = [
        result.far_share(2.5 + step * 0.25, 2.75 + step * 0.25)
        for step in range(6)
    ]
    assert max(shares) < 2 * min(shares)
    for name in ("d1", "d2", "d3"):
        assert result.max_load(name, 2.3, 4.0) < 1.15
    assert result.far_share(5.0, 6.0) < 0.01


def test_no_bytes_leave_in_an_overload_of_all_data_centers():
    # Failure: all data centres are full alike, and calls leave each of them for
    # the others without any gain.
    model = choice_model.Model(
        _three_data_centers(), _ROUTERS, lambda name, now_s: 1700.0
    )
    result = model.run(3.0)
    assert result.mean_load("d1", 1.5, 3.0) > 1.0
    # Each router sends two calls per second to a far guard to learn its load.
    assert result.far_share(1.5, 3.0) < 0.04


def test_waves_between_data_centers_are_shared():
    # Failure: demand swings between data centres by 55%, and each is full in
    # turn while the others have free slots.
    names = list(_ROUTERS)

    def rate(name: str, now_s: float) -> float:
        phase = now_s / 15.0 + names.index(name) / 3.0
        return 1150.0 * (1.0 + 0.55 * math.sin(math.tau * phase))

    model = choice_model.Model(_three_data_centers(), _ROUTERS, rate)
    result = model.run(15.0)
    for name in ("d1", "d2", "d3"):
        assert result.max_load(name, 0.5, 15.0) < 1.25
    assert result.mean_latency_s(0.5, 15.0) < 0.07


def test_choice_without_reports_is_as_before():
    # Failure: a deployment whose guards report neither load nor pace is served
    # differently. The sequence is that of commit c3594c4.
    router = routing.Router("dc1", random.Random(11))
    router.update(
        builders.a_target(
            str(number), data_center="dc1" if number < 3 else "dc2"
        )
        for number in range(6)
    )
    draws = random.Random(5)
    sent: list[str] = []
    chosen = ""
    for step in range(150):
        now_s = 1.0 + step / 100
        target = router.choose(
            "fees", frozenset(), now_s, class_name=_CLASS, limit_s=0.2
        )
        chosen += target.node_id
        router.record_sent(target.node_id)
        sent.append(target.node_id)
        if len(sent) <= 8:
            continue
        answered = sent.pop(0)
        router.estimates.record_answer(
            "fees", answered, _CLASS, draws.uniform(0.05, 0.3), now_s
        )
        if draws.random() < 0.2:
            router.estimates.record_failure(answered, now_s)
        router.record_answer(answered, None, False, now_s)
        router.record_pace(answered, 1.0, now_s)
    assert chosen == (
        "120010120114004430305303553033300303022030030330013200033001302200221"
        "030033032030103033030120021020211101302211101202010110102012201001121"
        "001001311001"
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("others", "slots"), [(1, 80), (2, 80), (8, 20)])
def test_joining_server_gets_work_and_is_not_flooded(others, slots, seed):
    # Failure: a server that has just joined seems idle to all routers. It gets
    # twice as many calls as it has slots, while it still warms up at half of
    # its speed.
    servers = [
        choice_model.a_server(f"d{number}", slots=slots)
        for number in range(others)
    ]
    rate = 0.6 * others * slots / 0.05
    model = choice_model.Model(
        servers, {"dc1": 23}, lambda name, now_s: rate, seed
    )
    new = choice_model.a_server(
        "new", slots=slots, pace=lambda now_s: 2.0 if now_s < 5.0 else 1.0
    )
    model.at(2.0, lambda now_s: model.add(new))
    result = model.run(6.0)
    usual = len([one for one in result.sent if 2.0 <= one.at_s < 3.0])
    usual /= others + 1
    assert 0.1 * usual < result.count("new", 2.0, 3.0) < 0.8 * usual
    assert result.max_load("new", 2.0, 6.0) < 1.25
    assert result.count("new", 5.25, 6.0) > 0.4 * usual * 0.75


def test_restarted_server_starts_unknown():
    # Failure: a server was slow and full when its process ended, and the new
    # process under its id is avoided for it.
    router = _router("a", "b")
    _answers(router, {"a": 0.5, "b": 0.1})
    router.record_answer("a", 3.0, False, 1.0)
    router.record_pace("a", 5.0, 1.0)
    router.update(
        [
            builders.a_target("a", boot_id="a-2", slots=8),
            builders.a_target("b", slots=8),
        ]
    )
    assert router.estimates.relative_latency("a") == 1.0
    assert router.estimates.relative_latency("b") < 1.0
    assert router.load_at_s("a") is None
    assert 0.3 < _share(router, "a", 1.0, limit_s=2.0) < 0.7


def test_of_two_near_servers_the_slower_one_gets_less_work():
    # Failure: the machine of one server is at 1/2.5 of its speed for 0.6 s. Its
    # answers would still be in time, so it gets as many calls as before.
    router = _router("a", "b")
    _answers(router, {"a": 0.02, "b": 0.02})
    for name in ("a", "b"):
        router.record_answer(name, 0.3, False, 1.0)
    router.record_pace("a", 2.5, 1.0)
    assert _share(router, "a", 1.0) == 0.0
    # It is in use again where the other one is full.
    router.record_answer("b", 4.0, False, 1.0)
    assert _share(router, "a", 1.0) > 0.5


@pytest.mark.parametrize("until_s", [4.0, 12.0, 1e6])
def test_calls_are_spread_by_own_counts_while_reports_are_missing(until_s):
    # Failure: all reports stop for two seconds, ten, or for good, and routers
    # go on choosing by the last ones, so that one server fills up.
    servers = [
        choice_model.a_server(f"d{number}", slots=20, speed=speed)
        for number, speed in enumerate((0.8, 1.0, 1.2, 1.0))
    ]
    model = choice_model.Model(servers, {"dc1": 23}, lambda name, now_s: 960.0)

    def set_reports(reports: bool) -> None:
        for server in servers:
            server.reports = reports

    model.at(2.0, lambda now_s: set_reports(False))
    model.at(until_s, lambda now_s: set_reports(True))
    result = model.run(14.0)
    with_reports_s = result.mean_latency_s(0.5, 2.0)
    assert result.mean_latency_s(2.0, 14.0) < 1.3 * with_reports_s
    counts = [result.count(f"d{number}", 3.1, until_s) for number in range(4)]
    assert max(counts) < 2.0 * min(counts)
