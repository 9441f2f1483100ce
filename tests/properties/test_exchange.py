"""Membership and configuration under loss, repetition, reordering, restart.

Nodes exchange table entries through a network that keeps every message and
delivers any of them at any time, also repeatedly. Versions that a node has
stored never decrease; once the nodes exchange all entries without faults, all
tables are equal; an old message does not revive a member that was declared
dead.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from burdockfront import configuration
from burdockfront import members
from burdockfront import membership
from tests import builders

_NAMES = ["n1", "n2", "n3"]
_TIMING = membership.Timing(period_s=1.0, suspicion_periods=2.0)
_index = strategies.integers(0, 200)
_name = strategies.sampled_from(_NAMES)


class Exchange(stateful.RuleBasedStateMachine):
    """Three nodes on a network that loses, repeats and reorders messages."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.incarnations = dict.fromkeys(_NAMES, 0)
        self.nodes = {}
        self.configurations = {}
        self.member_mail = []
        self.policy_mail = []
        self.revision = 0
        self.seen = {}
        self.applied_revisions = dict.fromkeys(_NAMES, 0)
        for name in _NAMES:
            self._start(name)

    def _start(self, name):
        self.incarnations[name] += 1
        local = builders.a_member(
            name,
            incarnation=self.incarnations[name],
            boot_id=f"{name}-{self.incarnations[name]}",
        )
        self.nodes[name] = membership.Membership(
            local, _TIMING, random.Random(1)
        )
        self.configurations[name] = configuration.Configuration()
        self.seen = {k: v for k, v in self.seen.items() if k[0] != name}
        self.applied_revisions[name] = 0

    @stateful.rule(name=_name)
    def send_all(self, name):
        self.member_mail += self.nodes[name].table.entries()
        self.policy_mail += self.configurations[name].table.entries()

    @stateful.rule(name=_name, index=_index)
    def deliver_any_member(self, name, index):
        if self.member_mail:
            entry = self.member_mail[index % len(self.member_mail)]
            self.nodes[name].merge(entry, self.now_s)

    @stateful.rule(name=_name, index=_index)
    def deliver_any_policy(self, name, index):
        if self.policy_mail:
            entry = self.policy_mail[index % len(self.policy_mail)]
            self.configurations[name].merge(entry, self.now_s)

    @stateful.rule(name=_name, other=_name)
    def suspect(self, name, other):
        self.nodes[name].suspect(other, self.now_s)

    @stateful.rule(name=_name)
    def restart(self, name):
        self._start(name)

    @stateful.rule(name=_name)
    def drain(self, name):
        self.nodes[name].update_local_member(self.now_s, draining=True)

    @stateful.rule(seconds=strategies.sampled_from([1.0, 10.0]))
    def time_passes(self, seconds):
        self.now_s += seconds
        for node in self.nodes.values():
            node.advance(self.now_s)

    @stateful.rule(name=_name, allowance=strategies.integers(0, 30))
    def operator_changes(self, name, allowance):
        # Allowances above 16 are invalid: passed on to peers, but not applied.
        self.revision += 1
        document = {"service": "fees", "retry": {"allowance": allowance}}
        entry = configuration.entry_of(
            "fees", self.revision, document, f"c{self.revision}"
        )
        self.configurations[name].merge(entry, self.now_s)

    @stateful.invariant()
    def stored_versions_never_decrease(self):
        for name, node in self.nodes.items():
            for entry in node.table.entries():
                before = self.seen.get((name, entry.key), ())
                assert entry.version >= before
                self.seen[(name, entry.key)] = entry.version

    @stateful.invariant()
    def applied_revisions_never_decrease(self):
        for name, known in self.configurations.items():
            applied = known.applied().get("fees")
            revision = applied.revision if applied else 0
            assert revision >= self.applied_revisions[name]
            self.applied_revisions[name] = revision

    @stateful.invariant()
    def each_node_is_alive_in_its_own_view(self):
        for name, node in self.nodes.items():
            assert node.get(name).status is members.Status.ALIVE

    def teardown(self):
        # The network delivers everything from now on. One round is not enough,
        # since a refutation is a change that must spread as well.
        for _ in range(3):
            for name in _NAMES:
                for other in _NAMES:
                    self._exchange(name, other)
        digests = {node.table.digest() for node in self.nodes.values()}
        assert len(digests) == 1
        documents = {k.table.digest() for k in self.configurations.values()}
        assert len(documents) == 1
        for node in self.nodes.values():
            for name in _NAMES:
                found = node.get(name)
                assert (
                    found.incarnation
                    == self.nodes[name].local_member.incarnation
                )
                assert found.status is members.Status.ALIVE

    def _exchange(self, name, other):
        for entry in self.nodes[name].table.entries():
            self.nodes[other].merge(entry, self.now_s)
        for entry in self.configurations[name].table.entries():
            self.configurations[other].merge(entry, self.now_s)


TestExchange = Exchange.TestCase
TestExchange.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=40, deadline=None, derandomize=True
)


def test_old_message_does_not_revive_a_dead_member():
    # A node starts and receives a member's death first, then an older "alive"
    # from a slow peer. Accepting it would send calls to a dead server.
    local = builders.a_member("n1")
    node = membership.Membership(local, _TIMING, random.Random(1))
    alive = builders.a_member("n2", revision=3)
    dead = builders.a_member("n2", revision=3, status=members.Status.DEAD)
    node.merge(dead.to_entry(), 0.0)
    assert node.merge(alive.to_entry(), 1.0) is None
    assert node.get("n2").status is members.Status.DEAD


def test_refutation_of_a_suspicion_has_a_higher_version():
    local = builders.a_member("n1")
    node = membership.Membership(local, _TIMING, random.Random(1))
    claimed = builders.a_member("n1", status=members.Status.SUSPECT)
    change = node.merge(claimed.to_entry(), 0.0)
    assert change.member.to_entry().version > claimed.to_entry().version


def test_only_entries_of_differing_buckets_are_offered():
    first = configuration.Configuration()
    second = configuration.Configuration()
    for number in range(50):
        entry = configuration.entry_of(
            f"s{number}", 1, {"service": f"s{number}"}, "c"
        )
        first.merge(entry, 0.0)
        second.merge(entry, 0.0)
    newer = configuration.entry_of("s7", 2, {"service": "s7"}, "d")
    first.merge(newer, 0.0)
    offered = first.table.differing(second.table.bucket_digests())
    assert newer in offered
    assert len(offered) < 10
