"""To which servers a call is sent again after a server has rejected it.

Where answers name the request and not the attempt, a copy of a rejection can't
be told from the answer to a repeat at the same server.
"""

import asyncio
import collections

import pytest

from burdockfront import guards
from burdockfront import outcomes
from burdockfront_client import calls
from tests import builders

_RETRY_BURST = 100.0


class _RejectingServers:
    """A dispatcher whose guards report that their servers reject each call.

    Attributes:
        received: Number of attempts by guard.
    """

    def __init__(self, *names: str, answers_name_attempts: bool = False):
        self.received: collections.Counter[str] = collections.Counter()
        self.dispatcher = builders.a_dispatcher(
            retry_burst=_RETRY_BURST,
            answers_name_attempts=answers_name_attempts,
        )
        self.dispatcher.sender.transport = self._transport
        self.dispatcher.router.update(builders.a_target(name) for name in names)

    async def _transport(
        self,
        attempt: calls.Attempt,
        target: guards.Target,
        timeout_s: float,
        limit_bytes: int,
    ) -> outcomes.Answer:
        self.received[target.node_id] += 1
        return outcomes.not_run(outcomes.Reason.REJECTED, 1.0)

    def call(self, **changes: object) -> outcomes.Answer:
        """Processes one call, by default of a confirmation."""
        fields = {"method": "POST", "repeatable": False, **changes}

        async def scenario() -> outcomes.Answer:
            answer = await self.dispatcher.call(builders.a_call(**fields))
            await self.dispatcher.sender.close()
            return answer

        return asyncio.run(scenario())


def test_rejected_confirmation_goes_to_each_server_at_most_once():
    """Guards against a confirmation that runs twice, or is refused and runs."""
    servers = _RejectingServers("n1", "n2", "n3")
    answer = servers.call()
    assert servers.received == {"n1": 1, "n2": 1, "n3": 1}
    assert answer.reason is outcomes.Reason.REJECTED


def test_rejected_confirmation_goes_to_no_more_servers_than_permitted():
    """Guards against a repeat at the last server once the limit is reached."""
    servers = _RejectingServers("n1", "n2", "n3")
    answer = servers.call(max_backends=2)
    assert sorted(servers.received.values()) == [1, 1]
    assert answer.outcome is outcomes.Outcome.NOT_RUN


def test_confirmation_rejected_by_the_only_server_uses_no_retry():
    """Guards against retries that are spent although no server is left."""
    servers = _RejectingServers("n1")
    assert servers.call().reason is outcomes.Reason.REJECTED
    assert servers.received == {"n1": 1}
    assert servers.dispatcher.counters.reroutes == 0


@pytest.mark.parametrize(
    ("changes", "answers_name_attempts"),
    [({"method": "GET", "repeatable": True}, False), ({}, True)],
    ids=["read", "answers-name-attempts"],
)
def test_other_rejected_calls_may_go_to_the_same_server_again(
    changes, answers_name_attempts
):
    """Guards against calls that are refused though a repeat is safe."""
    servers = _RejectingServers(
        "n1", answers_name_attempts=answers_name_attempts
    )
    servers.call(**changes)
    assert servers.received["n1"] > 1
