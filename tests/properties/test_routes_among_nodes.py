"""Routes of operators among nodes that are killed, cut off and turned away.

Any sequence of changes, kills, starts, cuts, refusals and silence of the store,
answers to watches that are lost, and all who watch lost in one moment, played
by the real controllers in virtual time. What must hold:

* the version in force at a process never goes back;
* a change is in force within two seconds at every node that has run for three
  seconds and that the store or a peer reaches, once the store has answered all
  for three seconds; within seven where it answers some and not others;
* when all is well again, all nodes know each other and the last change.
"""

import asyncio
import random

import hypothesis
from hypothesis import strategies

from burdockfront import watchers
from burdockfront_bench import exchange_model
from burdockfront_bench import virtual_time

_NODES = 12
_PLACES = 3
_IN_FORCE_S = 2.0
_RUNNING_S = 3.0
_CALM_S = 40.0

# While the store is silent to some, changes may be later by so much.
_STRETCH_S = 5.0
# How long those who watch are frozen or cut off.
_STRUCK_S = 2.5
# An outage that is shorter than what nodes could notice.
_SHORT_S = 0.3
_KINDS = [
    "change",
    "kill",
    "start",
    "cut",
    "heal",
    "refuse",
    "serve",
    "silence",
    "hush",
    "lose",
    "part",
    "join",
    "strike",
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


class _Play:
    """One fleet, and what its nodes had in force so far."""

    def __init__(self, seed: int):
        self.fleet = exchange_model.Fleet(_NODES, _PLACES, seed)
        self.version = 1
        # By the name of the process.
        self._since_s: dict[str, float] = {}
        self._seen: dict[str, int] = {}
        self._changes_s: list[tuple[int, float]] = []
        # When the store was last silent to some, and to all or lost answers.
        self._silent_s = self._lost_s = float("-inf")
        # Frozen or cut off from everything, so that nobody is excused but them.
        self._struck: set[str] = set()

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
            fleet.faults.store_silent.discard(name)
        elif kind == "silence":
            if len(fleet.faults.store_silent) < _NODES // 3:
                fleet.faults.store_silent.add(name)
        elif kind == "part":
            fleet.faults.cut_data_centers.add(f"dc{number % _PLACES}")
        elif kind == "join":
            fleet.faults.cut_data_centers.clear()
        elif kind == "strike":
            self._strike_watchers(number)
        else:
            self._lose_news(kind)

    def _strike_watchers(self, number: int) -> None:
        """Freezes all who watch the store, as some node believes."""
        faults = self.fleet.faults
        knows = self.fleet.nodes[f"node-{number}"].membership
        chosen = watchers.watchers_of(knows)
        names = {member.node_id for member in chosen} - self._struck
        names -= faults.cut | faults.store_silent
        faults.cut |= names
        faults.store_silent |= names
        self._struck |= names

        def over() -> None:
            faults.cut -= names
            faults.store_silent -= names
            self._struck -= names

        asyncio.get_running_loop().call_later(_STRUCK_S, over)

    def _lose_news(self, kind: str) -> None:
        """Has the store be silent to all, or lose answers, for a moment."""
        faults = self.fleet.faults
        before = set(faults.store_silent)

        def over() -> None:
            faults.watches_lost = 0.0
            faults.store_silent.intersection_update(before)

        if kind == "lose":
            faults.watches_lost = 1.0
        else:
            faults.store_silent.update(self.fleet.nodes)
        loop = asyncio.get_running_loop()
        self._lost_s = loop.time() + _SHORT_S
        loop.call_later(_SHORT_S, over)

    async def watch(self, for_s: float) -> None:
        """Lets time pass, and looks at every node meanwhile."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        while loop.time() < until_s:
            await asyncio.sleep(0.05)
            if self.fleet.faults.store_silent - self._struck:
                self._silent_s = loop.time()
            for node in self.fleet.living():
                self._look_at(node, loop.time())

    def _look_at(self, node: exchange_model.Node, now_s: float) -> None:
        process = node.membership.local_member.boot_id
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
        if now_s - self._lost_s < _RUNNING_S:
            return
        late = now_s - self._silent_s < _RUNNING_S
        bound_s = _IN_FORCE_S + (_STRETCH_S if late else 0.0)
        for changed, at_s in self._changes_s:
            if now_s - at_s > bound_s:
                assert version >= changed, (node.name, changed)

    def _reached(self, node: exchange_model.Node) -> bool:
        """Whether the store, or peers that it serves, reach a node."""
        faults = self.fleet.faults
        turned_away = faults.store_refuses | faults.store_silent
        if node.name not in turned_away:
            return True
        if node.name in faults.cut:
            return False
        apart = node.data_center in faults.cut_data_centers
        return any(
            peer.name not in turned_away | faults.cut
            and (not apart or peer.data_center == node.data_center)
            and (
                peer.data_center == node.data_center
                or peer.data_center not in faults.cut_data_centers
            )
            for peer in self.fleet.living()
        )

    async def end(self) -> None:
        """Ends all faults, and waits until all is well."""
        faults = self.fleet.faults
        faults.cut.clear()
        faults.store_refuses.clear()
        faults.store_silent.clear()
        faults.cut_data_centers.clear()
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
    steps = [
        (rng.choice(_KINDS), rng.randrange(_NODES), rng.uniform(0.05, 2.0))
        for _ in range(60)
    ]
    virtual_time.run(_play(steps, 4))
