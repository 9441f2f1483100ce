"""Routes of operators among nodes that are killed, cut off and turned away.

Any sequence of changes, kills, starts, cuts and refusals of the store, played
by the real controllers in virtual time. What must hold:

* the version in force at a process never goes back;
* a change is in force within two seconds at every node that has run for three
  seconds and that the store or a peer reaches;
* when all is well again, all nodes know each other and the last change.
"""

import asyncio
import random

import hypothesis
from hypothesis import strategies

from burdockfront_bench import exchange_model
from burdockfront_bench import virtual_time

_NODES = 12
_PLACES = 3
_IN_FORCE_S = 2.0
_RUNNING_S = 3.0
_CALM_S = 40.0

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["change", "kill", "start", "cut", "heal", "refuse", "serve"]
        ),
        strategies.integers(0, _NODES - 1),
        strategies.floats(0.05, 3.0),
    ),
    min_size=3,
    max_size=14,
)


class _Play:
    """One fleet, and what its nodes had in force so far."""

    def __init__(self, seed: int):
        self.fleet = exchange_model.Fleet(_NODES, _PLACES, seed)
        self.version = 1
        # By the name of the process.
        self._since_s: dict[str, float] = {}
        self._seen: dict[str, int] = {}
        self._changes_s: list[tuple[int, float]] = []

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
        elif kind == "cut" and len(fleet.faults.cut) < _NODES // 3:
            fleet.faults.cut.add(name)
        elif kind == "heal":
            fleet.faults.cut.discard(name)
        elif kind == "refuse":
            if len(fleet.faults.store_refuses) < _NODES // 3:
                fleet.faults.store_refuses.add(name)
        elif kind == "serve":
            fleet.faults.store_refuses.discard(name)

    async def watch(self, for_s: float) -> None:
        """Lets time pass, and looks at every node meanwhile."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        while loop.time() < until_s:
            await asyncio.sleep(0.05)
            for node in self.fleet.living():
                self._look_at(node, loop.time())

    def _look_at(self, node: exchange_model.Node, now_s: float) -> None:
        process = node.membership.me.boot_id
        version = node.book.version
        assert version >= self._seen.get(process, -1), "went back"
        self._seen[process] = version
        if not self._reached(node):
            # Counted anew from the moment in which it is reached again.
            self._since_s.pop(process, None)
            return
        since_s = self._since_s.setdefault(process, now_s)
        if now_s - since_s < _RUNNING_S:
            return
        for changed, at_s in self._changes_s:
            if now_s - at_s > _IN_FORCE_S:
                assert version >= changed, (node.name, changed)

    def _reached(self, node: exchange_model.Node) -> bool:
        """Whether the store, or peers that it serves, reach a node."""
        faults = self.fleet.faults
        if node.name not in faults.store_refuses:
            return True
        if node.name in faults.cut:
            return False
        return any(
            peer.name not in faults.store_refuses | faults.cut
            for peer in self.fleet.living()
        )

    async def end(self) -> None:
        """Ends all faults, and waits until all is well."""
        faults = self.fleet.faults
        faults.cut.clear()
        faults.store_refuses.clear()
        for name in list(faults.down):
            self.fleet.start(int(name.partition("-")[2]))
        await self.watch(_CALM_S)
        assert exchange_model.all_know_all(self.fleet)
        assert exchange_model.all_have(self.fleet, self.version)


async def _play(steps: list[tuple[str, int, float]], seed: int) -> None:
    play = _Play(seed)
    await play.begin()
    for kind, number, pause_s in steps:
        play.step(kind, number)
        await play.watch(pause_s)
    await play.end()


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(_STEPS, strategies.integers(0, 1_000))
def test_changes_arrive_in_time_and_never_go_back(steps, seed):
    virtual_time.run(_play(steps, seed))


def test_long_series_of_faults_keeps_every_promise():
    rng = random.Random(4)
    kinds = ["change", "kill", "start", "cut", "heal", "refuse", "serve"]
    steps = [
        (rng.choice(kinds), rng.randrange(_NODES), rng.uniform(0.05, 2.0))
        for _ in range(60)
    ]
    virtual_time.run(_play(steps, 4))
