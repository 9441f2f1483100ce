"""Tests of how the levels of short services spread with answers."""

import random

import pytest

from burdockfront import levels
from burdockfront import routing
from burdockfront import service_levels
from tests import builders

_NODES = 70
_ANSWERS_PER_S = 50
_STEP_S = 0.01


class _Nodes:
    """Nodes that answer random others, without a network."""

    def __init__(self, seed: int):
        self._rng = random.Random(seed)
        self.nodes = [service_levels.ServiceLevels() for _ in range(_NODES)]
        self.now_s = 100.0

    def run(self, for_s: float, guard_level: int | None) -> None:
        """Lets nodes answer each other; node 0 is a guard of the service."""
        for _ in range(round(for_s / _STEP_S)):
            self.now_s += _STEP_S
            if guard_level is not None:
                self.nodes[0].record("fees", guard_level, self.now_s)
            for node in self.nodes:
                if self._rng.random() < _ANSWERS_PER_S * _STEP_S:
                    sent = self._rng.choice(self.nodes).to_send(self.now_s)
                    node.observe(sent, self.now_s)

    def known(self) -> list[int | None]:
        """Returns the level that each node knows."""
        return [n.level_of("fees", self.now_s) for n in self.nodes]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_level_reaches_all_nodes_in_less_than_half_a_second(seed):
    nodes = _Nodes(seed)
    nodes.run(0.4, 600)
    assert nodes.known() == [600] * _NODES


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_end_of_a_shortage_reaches_all_nodes_in_less_than_a_second(seed):
    # Failure: entries that refuse nearly everything hear no answers of the
    # class, and kept refusing it beside idle slots.
    nodes = _Nodes(seed)
    nodes.run(2.0, 600)
    nodes.run(0.8, levels.OPEN)
    assert set(nodes.known()) <= {None, levels.OPEN}


def test_level_is_forgotten_when_its_guards_fall_silent():
    nodes = _Nodes(seed=4)
    nodes.run(1.0, 600)
    nodes.run(1.1, None)
    assert nodes.known() == [None] * _NODES
    assert nodes.nodes[5].to_send(nodes.now_s) == []


def test_nothing_is_sent_while_no_service_is_short():
    node = service_levels.ServiceLevels()
    node.record("fees", levels.OPEN, 1.0)
    assert node.to_send(1.0) == []


def test_older_level_does_not_replace_a_newer_one():
    node = service_levels.ServiceLevels()
    node.record("fees", 700, 5.0)
    node.observe([service_levels.ServiceLevel("fees", 300, 0.4)], 5.2)
    assert node.level_of("fees", 5.2) == 700


def test_levels_of_several_guards_are_merged():
    node = service_levels.ServiceLevels()
    for step in range(200):
        node.record("fees", 500 if step % 2 else 700, step * 0.01)
    level = node.level_of("fees", 1.99)
    assert level is not None and 560 < level < 640


def test_lowest_levels_are_sent_if_many_services_are_short():
    node = service_levels.ServiceLevels()
    for number in range(8):
        node.record(f"service-{number}", 900 - number, 1.0)
    sent = node.to_send(1.1)
    assert [one.service for one in sent] == [
        "service-7",
        "service-6",
        "service-5",
        "service-4",
    ]


def test_entry_follows_the_level_of_the_bottleneck_of_a_path():
    # Failure: the level of a deep service reached an entry only through each
    # layer's answers to the same class.
    tracker = levels.LevelTracker()
    tracker.observe("catalogue", "browse", 600, 1.0, bottleneck="fees")
    tracker.services.record("fees", 650, 1.2)
    assert tracker.level_of("catalogue", "browse", 1.3) == 650
    assert tracker.level_of("catalogue", "other", 1.3) == levels.OPEN
    tracker.services.record("fees", levels.OPEN, 1.4)
    assert tracker.level_of("catalogue", "browse", 1.4) == levels.OPEN


def _router(counts: dict[str, int]) -> routing.Router:
    router = routing.Router("dc1", random.Random(1))
    router.detects_scarcity = True
    _update(router, counts)
    return router


def _update(router: routing.Router, counts: dict[str, int]) -> None:
    router.update(
        builders.a_target(f"{service}-{number}", service=service)
        for service, count in counts.items()
        for number in range(count)
    )


def test_service_with_few_servers_for_the_size_of_the_system_is_scarce():
    assert _router({"fees": 4, "catalogue": 30, "ledger": 30}).balances_load
    even = _router({"fees": 15, "catalogue": 23, "ledger": 29})
    assert not even.has_scarce_service
    small = _router({"fees": 1, "catalogue": 10, "ledger": 10})
    assert not small.has_scarce_service


def test_scarcity_does_not_flip_when_some_nodes_are_lost():
    # Failure: guards changed their kind of admission, and forgot the demand,
    # each time that a few nodes were suspected.
    router = _router({"fees": 4, "catalogue": 30, "ledger": 30})
    _update(router, {"fees": 4, "catalogue": 20, "ledger": 20})
    assert router.has_scarce_service
    _update(router, {"fees": 8, "catalogue": 20, "ledger": 20})
    assert not router.has_scarce_service


def test_expired_levels_are_removed():
    # Failure: after one shortage every answer paid for levels of long ago.
    tracker = levels.LevelTracker()
    tracker.services.record("fees", 600, 1.0)
    tracker.remove_expired(1.5)
    assert tracker.services.any_known
    tracker.remove_expired(2.1)
    assert not tracker.services.any_known


def test_levels_are_not_sent_with_each_of_many_answers():
    # Failure: the guard of a short service spent its processor time on telling
    # its level a thousand times a second.
    node = service_levels.ServiceLevels()
    node.record("fees", 600, 10.0)
    sent = [node.to_send(10.0 + step / 1000.0) for step in range(500)]
    assert 20 <= sum(bool(levels_sent) for levels_sent in sent) <= 26
