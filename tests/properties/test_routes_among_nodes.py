"""Distribution of route tables among nodes that fail and are isolated.

Runs the real controllers in virtual time with any sequence of changes, killed
and started nodes, network partitions, a store that rejects or does not answer
some nodes, lost answers to watches, and failures of all watchers at once. It
must hold that

* the active version of a process never goes back;
* a change is active within two seconds at every node that has run for three
  seconds and that the store or a peer reaches, once the store has answered all
  nodes for three seconds; within seven while it does not answer some of them;
* after all faults, all nodes know each other and the last change.
"""

import asyncio
import random

import hypothesis
from hypothesis import strategies

from burdockfront import watchers
from burdockfront_bench import exchange_model
from burdockfront_bench import virtual_time

_NODES = 12
_DATA_CENTERS = 3
_ACTIVE_S = 2.0
_RUNNING_S = 3.0
_CALM_S = 40.0

# How much longer a change may take while the store does not answer some nodes.
_EXTRA_S = 5.0
# How long watchers are frozen or cut off.
_WATCHER_FAULT_S = 2.5
# Duration of an outage too short for nodes to detect.
_SHORT_S = 0.3
_KINDS = [
    "change",
    "kill",
    "start",
    "isolate",
    "reconnect",
    "reject",
    "accept",
    "ignore",
    "outage",
    "lose-answers",
    "partition",
    "rejoin",
    "fail-watchers",
]

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(_KINDS),
        strategies.integers(0, _NODES - 1),
        strategies.floats(0.05, 3.0),
    ),
    min_size=3,
    max_size=14,
)


class _Scenario:
    """A fleet under faults, and the versions that its nodes have activated."""

    def __init__(self, seed: int):
        self.fleet = exchange_model.Fleet(_NODES, _DATA_CENTERS, seed)
        self.version = 1
        # By the id of the process.
        self._since_s: dict[str, float] = {}
        self._seen: dict[str, int] = {}
        self._changes_s: list[tuple[int, float]] = []
        # When the store last did not answer some nodes, and when it last did
        # not answer any node or lost answers.
        self._unanswered_s = self._outage_s = float("-inf")
        # Failed watchers: frozen or cut off from everything. The longer bound
        # does not apply to other nodes because of them.
        self._failed_watchers: set[str] = set()

    async def begin(self) -> None:
        await self.fleet.start_all()
        await asyncio.sleep(8.0)
        self.fleet.change_routes(self.version)
        await asyncio.sleep(3.0)

    def step(self, kind: str, number: int) -> None:
        fleet = self.fleet
        name = f"node-{number}"
        running = name not in fleet.faults.down
        if kind == "change":
            self.version += 1
            fleet.change_routes(self.version)
            now_s = asyncio.get_running_loop().time()
            self._changes_s.append((self.version, now_s))
        elif kind == "kill" and running and len(fleet.living()) > 2:
            fleet.kill(number)
        elif kind == "start" and not running:
            fleet.start(number)
        elif kind == "isolate" and len(fleet.faults.cut) < _NODES // 3:
            fleet.faults.cut.add(name)
        elif kind == "reconnect":
            fleet.faults.cut.discard(name)
        elif kind == "reject":
            if len(fleet.faults.store_refuses) < _NODES // 3:
                fleet.faults.store_refuses.add(name)
        elif kind == "accept":
            fleet.faults.store_refuses.discard(name)
            fleet.faults.store_silent.discard(name)
        elif kind == "ignore":
            if len(fleet.faults.store_silent) < _NODES // 3:
                fleet.faults.store_silent.add(name)
        elif kind == "partition":
            fleet.faults.cut_data_centers.add(f"dc{number % _DATA_CENTERS}")
        elif kind == "rejoin":
            fleet.faults.cut_data_centers.clear()
        elif kind == "fail-watchers":
            self._fail_watchers(number)
        else:
            self._start_outage(kind)

    def _fail_watchers(self, number: int) -> None:
        """Freezes all watchers, in the view of a given node."""
        faults = self.fleet.faults
        membership = self.fleet.nodes[f"node-{number}"].membership
        chosen = watchers.watchers_of(membership)
        names = {member.node_id for member in chosen} - self._failed_watchers
        names -= faults.cut | faults.store_silent
        faults.cut |= names
        faults.store_silent |= names
        self._failed_watchers |= names

        def end() -> None:
            faults.cut -= names
            faults.store_silent -= names
            self._failed_watchers -= names

        asyncio.get_running_loop().call_later(_WATCHER_FAULT_S, end)

    def _start_outage(self, kind: str) -> None:
        """Makes the store answer no node, or lose answers, for a moment."""
        faults = self.fleet.faults
        before = set(faults.store_silent)

        def end() -> None:
            faults.watches_lost = 0.0
            faults.store_silent.intersection_update(before)

        if kind == "lose-answers":
            faults.watches_lost = 1.0
        else:
            faults.store_silent.update(self.fleet.nodes)
        loop = asyncio.get_running_loop()
        self._outage_s = loop.time() + _SHORT_S
        loop.call_later(_SHORT_S, end)

    async def observe(self, for_s: float) -> None:
        """Lets time pass, and checks every node meanwhile."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        while loop.time() < until_s:
            await asyncio.sleep(0.05)
            if self.fleet.faults.store_silent - self._failed_watchers:
                self._unanswered_s = loop.time()
            for node in self.fleet.living():
                self._check(node, loop.time())

    def _check(self, node: exchange_model.Node, now_s: float) -> None:
        process = node.membership.local_member.boot_id
        version = node.book.version
        assert version >= self._seen.get(process, -1), "went back"
        self._seen[process] = version
        if not self._is_reached(node):
            # The time starts again when the node is reached again.
            self._since_s.pop(process, None)
            return
        since_s = self._since_s.setdefault(process, now_s)
        if now_s - since_s < _RUNNING_S:
            return
        if now_s - self._outage_s < _RUNNING_S:
            return
        late = now_s - self._unanswered_s < _RUNNING_S
        bound_s = _ACTIVE_S + (_EXTRA_S if late else 0.0)
        for changed, at_s in self._changes_s:
            if now_s - at_s > bound_s:
                assert version >= changed, (node.name, changed)

    def _is_reached(self, node: exchange_model.Node) -> bool:
        """Whether the store, or peers that it serves, reach a node."""
        faults = self.fleet.faults
        unserved = faults.store_refuses | faults.store_silent
        if node.name not in unserved:
            return True
        if node.name in faults.cut:
            return False
        partitioned = node.data_center in faults.cut_data_centers
        return any(
            peer.name not in unserved | faults.cut
            and (not partitioned or peer.data_center == node.data_center)
            and (
                peer.data_center == node.data_center
                or peer.data_center not in faults.cut_data_centers
            )
            for peer in self.fleet.living()
        )

    async def end(self) -> None:
        """Ends all faults, and checks that all nodes recover."""
        faults = self.fleet.faults
        faults.cut.clear()
        faults.store_refuses.clear()
        faults.store_silent.clear()
        faults.cut_data_centers.clear()
        for name in list(faults.down):
            self.fleet.start(int(name.partition("-")[2]))
        await self.observe(_CALM_S)
        assert exchange_model.all_know_all(self.fleet)
        assert exchange_model.all_have(self.fleet, self.version)


async def _play(steps: list[tuple[str, int, float]], seed: int) -> None:
    scenario = _Scenario(seed)
    await scenario.begin()
    for kind, number, pause_s in steps:
        scenario.step(kind, number)
        await scenario.observe(pause_s)
    await scenario.end()


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(_STEPS, strategies.integers(0, 1_000))
def test_changes_arrive_in_time_and_never_go_back(steps, seed):
    virtual_time.run(_play(steps, seed))


def test_long_series_of_faults_keeps_every_bound():
    rng = random.Random(4)
    steps = [
        (rng.choice(_KINDS), rng.randrange(_NODES), rng.uniform(0.05, 2.0))
        for _ in range(60)
    ]
    virtual_time.run(_play(steps, 4))
