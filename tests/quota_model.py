"""A model of nodes that spend client accounts' quotas, in virtual time.

The decisions are the product's own; what is modelled is who reaches whom, how
long a message takes, and what callers ask for. `python -m tests.quota_model`
compares ways to hold a quota over all nodes.
"""

import collections
import dataclasses
import random

from burdockfront import local_quotas
from burdockfront import quota_allocator
from burdockfront import quotas

TICK_S = 0.01
REPORT_S = 0.5
AVOID_S = 3.0
ACCOUNT = "acme"


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """How quotas are held.

    Attributes:
        unasked: Nodes admit by themselves while an account is far from its
            limit.
        alone: Each node deals its own equal share.
    """

    unasked: bool = True
    alone: bool = False


KEPT = Way()
ASK_ALWAYS = Way(unasked=False)
EQUAL_SHARES = Way(alone=True)


class Limits:
    """Limits that a test sets."""

    def __init__(self, rate_per_s: float, depth: float, first: float = 0.0):
        self.limit = quotas.Limit(rate_per_s, depth, first)

    def limit_of(self, account: str) -> quotas.Limit | None:
        return self.limit

    def is_new(self, account: str, now_s: float) -> bool:
        return False


class _Node:
    def __init__(self, number: int, world: "World", born_s: float):
        self.number = number
        self.born_s = born_s
        self.keeper = quota_allocator.QuotaAllocator(world.limits)
        self.local = local_quotas.LocalQuotas(world.limits, world.rng)
        self.next_report_s = born_s + world.rng.uniform(0.0, REPORT_S)
        self.avoided: dict[int, float] = {}
        self.asked_last: int | None = None

    @property
    def name(self) -> str:
        return f"n{self.number}"


class World:
    """All nodes, and what they admitted.

    Args:
        count: Nodes.
        limits: The limits in force.
        seed: Of all draws.
        way: How quotas are held.
    """

    def __init__(self, count: int, limits: Limits, seed: int, way: Way = KEPT):
        self.limits = limits
        self.rng = random.Random(seed)
        self.way = way
        self.now_s = 0.0
        self.asked_s: list[float] = []
        self.admitted_s: list[float] = []
        self.killed_s: list[float] = []
        # When a node turned to another keeper.
        self.moved_s: list[float] = []
        self.refused = 0
        self.messages = 0
        self.group_of: dict[int, int] = collections.defaultdict(int)
        self.down_until_s: dict[int, float] = {}
        self._nodes = {n: _Node(n, self, 0.0) for n in range(count)}
        # Requests that wait for a token, and until when.
        self._waiting: list[tuple[float, int]] = []

    def pass_time(self, seconds: float) -> None:
        """Lets time pass without requests."""
        self.play(seconds, 0.0)

    def play(
        self, seconds: float, demand_per_s: float, at: list[int] | None = None
    ) -> None:
        """Plays requests that come at random moments.

        Args:
            seconds: For how long.
            demand_per_s: Requests a second, of all nodes together.
            at: Nodes that they come to; all by default.
        """
        chosen = at if at is not None else list(self._nodes)
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self._tick()
            due = demand_per_s * TICK_S
            count = int(due) + (self.rng.random() < due % 1.0)
            for _ in range(count):
                self._arrive(self.rng.choice(chosen))

    def kill(self, numbers: list[int], down_s: float) -> None:
        """Ends processes; they start anew and know nothing."""
        self.killed_s += [self.now_s] * len(set(numbers))
        for number in numbers:
            self.down_until_s[number] = self.now_s + down_s
            node = _Node(number, self, self.now_s + down_s)
            self._nodes[number] = node

    def cut(self, numbers: list[int], alone: bool = True) -> None:
        """Cuts nodes off: each from all, or as a group from the others."""
        for number in numbers:
            self.group_of[number] = 1 + (number if alone else 0)

    def heal(self) -> None:
        """Lets all nodes reach each other again."""
        self.group_of.clear()

    def most_in_window(self, window_s: float) -> int:
        """Returns the most that was admitted in any window."""
        return most_in_window(self.admitted_s, window_s)

    def _tick(self) -> None:
        self.now_s += TICK_S
        for node in self._nodes.values():
            if self._is_up(node) and self.now_s >= node.next_report_s:
                self._report(node, ())
        due = [number for at_s, number in self._waiting if at_s <= self.now_s]
        self._waiting = [one for one in self._waiting if one[0] > self.now_s]
        for number in due:
            if self._is_up(self._nodes[number]):
                self._count(self._ask(self._nodes[number]))

    def _is_up(self, node: _Node) -> bool:
        return self.now_s >= self.down_until_s.get(node.number, 0.0)

    def _arrive(self, number: int) -> None:
        node = self._nodes[number]
        if not self._is_up(node):
            return
        self.asked_s.append(self.now_s)
        refused_s = node.local.admit(ACCOUNT, 0, self.now_s)
        if refused_s is None:
            refused_s = self._ask(node)
            if 0.0 < refused_s <= local_quotas.MAX_TOKEN_WAIT_S:
                self._waiting.append((self.now_s + refused_s, number))
                return
        self._count(refused_s)

    def _count(self, refused_s: float) -> None:
        if refused_s:
            self.refused += 1
        else:
            self.admitted_s.append(self.now_s)

    def _ask(self, node: _Node) -> float:
        """Returns 0 with a token, or when there will be one."""
        dealt = self._report(node, (quotas.TokenRequest(ACCOUNT, 0, 1),))
        granted = dealt.grants[0]
        return 0.0 if granted.count else granted.wait_s

    def _report(
        self, node: _Node, wanted: tuple[quotas.TokenRequest, ...]
    ) -> quotas.Allocation:
        node.local.nodes = len(self._nodes)
        report = quotas.Report(node.name, node.local.report(), wanted)
        keeper = self._keeper_of(node)
        if keeper.number != node.asked_last:
            node.asked_last = keeper.number
            self.moved_s.append(self.now_s)
        self.messages += keeper is not node
        dealt = keeper.keeper.on_report(report, len(self._nodes), self.now_s)
        if not self.way.unasked:
            dealt = dataclasses.replace(dealt, scarce=frozenset([ACCOUNT]))
        node.local.on_allocation(dealt, self.now_s)
        node.next_report_s = self.now_s + REPORT_S
        return dealt

    def _keeper_of(self, node: _Node) -> _Node:
        if self.way.alone:
            return node
        ranked = sorted(
            self._nodes.values(), key=lambda one: (one.born_s, one.number)
        )
        for candidate in ranked:
            if node.avoided.get(candidate.number, 0.0) > self.now_s:
                continue
            if candidate is node:
                return node
            near = self.group_of[candidate.number] == self.group_of[node.number]
            if near and self._is_up(candidate):
                return candidate
            node.avoided[candidate.number] = self.now_s + AVOID_S
        return node


def most_in_window(times_s: list[float], window_s: float) -> int:
    """Returns how many of some rising times lie in one window at most."""
    most = 0
    begin = 0
    for end, at_s in enumerate(times_s):
        while times_s[begin] <= at_s - window_s:
            begin += 1
        most = max(most, end - begin + 1)
    return most


def refused_by_one_bucket(limit: quotas.Limit, asked_s: list[float]) -> int:
    """Returns how many requests a full bucket at one place would refuse."""
    refused = 0
    level = limit.depth
    before_s = asked_s[0] if asked_s else 0.0
    for at_s in asked_s:
        gained = limit.rate_per_s * (at_s - before_s)
        level = min(limit.depth, level + gained)
        before_s = at_s
        if level < 1.0:
            refused += 1
        else:
            level -= 1.0
    return refused


def _compare() -> None:
    """Prints what each way admits, refuses and costs."""
    print("way  account  case  admitted  refused  most/5s  limit  messages")
    for rate in (3.0, 122.0):
        for name, way in (
            ("kept", KEPT),
            ("ask-always", ASK_ALWAYS),
            ("equal-shares", EQUAL_SHARES),
        ):
            for case in ("calm", "times-eight", "one-node", "keeper-lost"):
                limits = Limits(rate, rate + 5.0, 5.0)
                world = World(65, limits, 1, way)
                world.pass_time(12.0)
                usual = rate / 1.6
                asked = sum(_play_case(world, case, usual))
                print(
                    f"{name:13} {rate:6} {case:12} {len(world.admitted_s):6} "
                    f"{world.refused:6} {world.most_in_window(5.0):5} "
                    f"{(rate * 5 + rate) * 1.1 + 20:8.1f} "
                    f"{world.messages:7} {asked:5.0f}"
                )


def _play_case(world: World, case: str, usual: float) -> list[float]:
    world.play(5.0, usual)
    world.messages = 0
    if case == "times-eight":
        world.play(6.5, usual * 7.5)
    elif case == "one-node":
        world.play(3.0, usual, [7])
        world.play(3.0, usual, [8])
    elif case == "keeper-lost":
        world.kill([0], 3.5)
        world.play(6.5, usual)
    else:
        world.play(6.5, usual)
    return [world.now_s]


if __name__ == "__main__":
    _compare()
