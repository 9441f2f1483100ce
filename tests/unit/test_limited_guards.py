"""Routers beside guards whose backend servers name limits."""

import asyncio
import random
import time
from collections.abc import Awaitable
from collections.abc import Callable

from burdockfront import guards
from burdockfront import incarnations
from burdockfront import outcomes
from burdockfront import routing
from burdockfront import self_reports
from burdockfront_client import calls
from burdockfront_client import dispatcher as dispatcher_lib
from tests import builders

_REPORT = self_reports.SelfReport(
    incarnations.Incarnation("i-1"), limit_per_s=2.0
)

_Answers = Callable[[calls.Attempt], outcomes.Answer]


def _router(*names: str) -> routing.Router:
    router = routing.Router("dc1", random.Random(3))
    router.update(builders.a_target(name) for name in names)
    return router


def _dispatcher(**answers: _Answers) -> dispatcher_lib.Dispatcher:
    """Returns a dispatcher whose guards answer as these functions say."""
    dispatcher = builders.a_dispatcher()

    def transport_of() -> Callable[..., Awaitable[outcomes.Answer]]:
        async def transport(
            attempt: calls.Attempt,
            target: guards.Target,
            timeout_s: float,
            limit_bytes: int,
        ) -> outcomes.Answer:
            return answers[target.node_id](attempt)

        return transport

    dispatcher.sender.transport = transport_of()
    dispatcher.router.update(builders.a_target(name) for name in answers)
    return dispatcher


def _limited(attempt: calls.Attempt) -> outcomes.Answer:
    refusal = outcomes.not_run(outcomes.Reason.LIMITED, 1.0)
    refusal.report = _REPORT
    return refusal


def _whole(attempt: calls.Attempt) -> outcomes.Answer:
    return builders.an_answer()


def test_router_stays_away_from_a_limited_guard_as_long_as_it_was_told():
    # It has all its slots free, and would be the first choice each time.
    router = _router("n1", "n2")
    router.limited("n1", 1.0, 10.0)
    chosen = {router.choose("fees", frozenset(), 10.4) for _ in range(40)}
    assert {target.node_id for target in chosen} == {"n2"}
    chosen = {router.choose("fees", frozenset(), 11.6) for _ in range(40)}
    assert {target.node_id for target in chosen} == {"n1", "n2"}


def test_limit_that_has_ended_opens_a_guard_at_once():
    router = _router("n1", "n2")
    router.limited("n1", 5.0, 10.0)
    router.unlimited("n1")
    chosen = {router.choose("fees", frozenset(), 10.1) for _ in range(40)}
    assert {target.node_id for target in chosen} == {"n1", "n2"}


def test_one_limited_guard_is_told_of_once_while_its_limit_lasts():
    router = _router("n1", "n2")
    news = [router.limited("n1", 1.0, 10.0 + 2 * n) for n in range(5)]
    assert news == [True, False, False, False, False]


def test_listing_is_refused_at_once_where_all_servers_are_limited():
    """Failure: a listing asks one guard after the other, to be refused."""

    async def scenario() -> None:
        asked = []

        def refuse(attempt: calls.Attempt) -> outcomes.Answer:
            asked.append(attempt)
            return _limited(attempt)

        dispatcher = _dispatcher(n1=refuse, n2=refuse)
        await dispatcher.call(builders.a_call("first"))
        assert len(asked) == 2, "each guard says that it is limited"
        answer = await dispatcher.call(builders.a_call("second"))
        assert answer.outcome is outcomes.Outcome.NOT_RUN
        assert answer.reason is outcomes.Reason.LIMITED
        assert len(asked) == 2
        assert dispatcher.router.limited_s("fees", time.monotonic()) is not None

    asyncio.run(scenario())


def test_confirmation_and_paid_call_still_go_where_all_servers_are_limited():
    """Failure: what a limited server takes first is kept from it."""

    async def scenario() -> None:
        dispatcher = _dispatcher(n1=_limited, n2=_limited)
        await dispatcher.call(builders.a_call("first"))
        dispatcher.sender.transport = _dispatcher(
            n1=_whole, n2=_whole
        ).sender.transport
        for changes in ({"rank": 0}, {"depth": 1}):
            context = builders.a_context(**changes)
            call = builders.a_call("second", context=context)
            answer = await dispatcher.call(call)
            assert answer.outcome is outcomes.Outcome.DONE, changes

    asyncio.run(scenario())


def test_call_to_a_guard_bears_what_the_guard_told_last():
    async def scenario() -> None:
        told = []

        def serve(attempt: calls.Attempt) -> outcomes.Answer:
            told.append(attempt.told)
            answer = builders.an_answer()
            answer.report = _REPORT
            return answer

        dispatcher = _dispatcher(n1=serve)
        for name in ("first", "second"):
            await dispatcher.call(builders.a_call(name))
        assert told == [None, _REPORT]

    asyncio.run(scenario())
