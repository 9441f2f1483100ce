"""Start of a node while many of the listed nodes are gone."""

import asyncio
import random

from burdockfront import configuration
from burdockfront import errors
from burdockfront import membership
from burdockfront import tables
from burdockfront import timeline
from burdockfront_node import settings
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import joins
from tests import builders


class _Link:
    """A link to peers on which only living nodes answer."""

    transferred_bytes = 0

    def __init__(self, living: set[str], ready: bool):
        self._living = living
        self._ready = ready
        self.asked: list[str] = []
        self.cancelled: list[str] = []

    async def ask(self, address: str, path: str, *_: object) -> object:
        if path == exchange_lib.PUSH:
            return {}
        self.asked.append(address)
        if address not in self._living:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.cancelled.append(address)
                raise
        await asyncio.sleep(0)
        empty = tables.Table().bucket_digests()
        return {
            "m": [],
            "c": [],
            "mb": empty,
            "cb": empty,
            "ready": self._ready,
        }


def _exchange(link: _Link) -> exchange_lib.Exchange:
    rng = random.Random(1)
    return exchange_lib.Exchange(
        membership.Membership(
            builders.a_member("n1"), membership.Timing(), rng
        ),
        configuration.Configuration(),
        settings.GossipSettings(),
        link,
        timeline.Recorder("n1", "dc1", 10),
        asyncio.Event(),
        lambda: None,
        rng,
    )


_LIVING = {f"10.0.0.{number}:1" for number in range(2, 8)}
_GONE = {f"10.0.1.{number}:1" for number in range(2, 7)}


def test_start_does_not_wait_for_nodes_that_are_gone():
    # All processes were killed at once, a minute after some VMs had been
    # removed for good that the store still listed. No node had the
    # configuration from another one yet, so all listed nodes were asked. They
    # were asked one after the other, and the time-outs of the removed ones kept
    # every node from serving for a second and a half.
    async def scenario() -> None:
        link = _Link(_LIVING, ready=False)
        ready = await _exchange(link).join(sorted(_LIVING | _GONE), 3)
        assert ready == 0
        assert set(link.asked) >= _LIVING
        await asyncio.sleep(0)
        assert set(link.cancelled) == set(link.asked) & _GONE

    asyncio.run(scenario())


def test_start_asks_no_more_nodes_than_it_needs():
    # In a cluster of hundreds of nodes, a starting node asks only a few.
    many = {f"10.0.{number}.1:1" for number in range(200)}

    async def scenario() -> None:
        link = _Link(many, ready=True)
        ready = await _exchange(link).join(sorted(many), 3)
        assert ready >= 3
        assert len(link.asked) <= 3 + joins._MAX_CONCURRENT

    asyncio.run(scenario())


def test_join_without_any_answer_is_not_an_error():
    class _Refusing(_Link):
        async def ask(self, address: str, path: str, *_: object) -> object:
            raise errors.DispatchError("refused")

    async def scenario() -> None:
        link = _Refusing(set(), ready=False)
        assert await _exchange(link).join(sorted(_GONE), 3) == 0

    asyncio.run(scenario())
