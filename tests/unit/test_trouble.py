"""Drawn faults must be repeatable and leave something to measure."""

from burdockfront_bench import mesh
from burdockfront_bench import scenario
from burdockfront_bench import trouble

_DRAWN = scenario.DrawnFaults(
    kinds=["freeze", "kill", "platform-down"], every_s=1.0
)


def _draw(seed: int) -> list[scenario.Fault]:
    return trouble.draw(_DRAWN, mesh.gandhinagar(), 120.0, seed)


def test_the_same_seed_draws_the_same_faults():
    assert _draw(3) == _draw(3)
    assert _draw(3) != _draw(4)


def test_no_machine_is_hit_twice_at_once_and_half_of_a_service_stays():
    for seed in range(20):
        hits = [f for f in _draw(seed) if f.kind != "platform-down"]
        assert len(hits) > 20
        for fault in hits:
            during = [
                other
                for other in hits
                if other.service == fault.service
                and other.begin_s <= fault.begin_s < other.until_s
            ]
            numbers = [other.first for other in during]
            assert len(set(numbers)) == len(numbers) <= 2


def test_drawn_faults_end_within_the_trigger():
    assert all(fault.until_s < 120.0 for fault in _draw(1))
