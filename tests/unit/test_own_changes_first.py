"""A node's own changes are sent first even if many others are queued."""

import asyncio
import random

import orjson

from burdockfront import configuration
from burdockfront import membership
from burdockfront import timeline
from burdockfront_node import settings
from burdockfront_node.controllers import exchange as exchange_lib
from tests import builders


class _Link:
    """A link to peers that records messages and answers at once."""

    transferred_bytes = 0

    def __init__(self) -> None:
        self.sent: list[dict[str, object]] = []
        self.sent_bytes = 0

    async def ask(
        self,
        address: str,
        path: str,
        message: dict[str, object],
        timeout_s: float,
    ) -> dict[str, object]:
        self.sent.append(message)
        self.sent_bytes += len(orjson.dumps(message))
        return {}

    async def close(self) -> None:
        """Does nothing, as no connection is open."""


def _an_exchange(link: _Link) -> exchange_lib.Exchange:
    rng = random.Random(1)
    return exchange_lib.Exchange(
        membership.Membership(
            builders.a_member("n1"), membership.Timing(), rng
        ),
        configuration.Configuration(),
        settings.GossipSettings(members_bytes_per_s=500),
        link,
        timeline.Recorder("n1", "dc1", 10),
        asyncio.Event(),
        lambda: None,
        rng,
    )


def _changes_of(count: int) -> dict[str, object]:
    members = [builders.a_member(f"m{index}") for index in range(count)]
    return {"m": [m.to_entry().to_json() for m in members], "c": []}


async def _push_for_a_while(exchange: exchange_lib.Exchange) -> None:
    pushing = asyncio.create_task(exchange.push_forever())
    for _ in range(8):
        exchange.on_push(_changes_of(1))
        await asyncio.sleep(0.12)
    pushing.cancel()


def _names(message: dict[str, object]) -> list[str]:
    return [entry[0] for entry in message["m"]]


def test_leaving_is_announced_although_the_byte_budget_is_used_up():
    # The changes of a lost data centre fill the queue and use up the byte
    # budget. A node that is stopped just then must still announce that it
    # leaves. Otherwise peers notice only by failing probes, and callers try it
    # meanwhile.
    async def scenario() -> list[dict[str, object]]:
        link = _Link()
        exchange = _an_exchange(link)
        exchange.on_push(_changes_of(300))
        await _push_for_a_while(exchange)
        assert len(link.sent) <= 9, "the byte budget is not used up"
        link.sent.clear()
        exchange.leave()
        await exchange.close()
        return link.sent

    sent = asyncio.run(scenario())
    assert len(sent) == 3
    assert all(_names(message) == ["n1"] for message in sent)


def test_own_drain_is_sent_before_changes_of_other_members():
    async def scenario() -> dict[str, object]:
        link = _Link()
        exchange = _an_exchange(link)
        exchange.on_push(_changes_of(300))
        exchange.update_local_member(draining=True)
        await _push_for_a_while(exchange)
        return link.sent[0]

    assert _names(asyncio.run(scenario()))[0] == "n1"
