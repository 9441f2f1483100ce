"""Routing around guards that refuse for limits of their backend servers."""

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
    """Returns a dispatcher whose guards answer with these functions."""
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


def _done(attempt: calls.Attempt) -> outcomes.Answer:
    return builders.an_answer()


def test_router_avoids_a_limited_guard_for_the_requested_time():
    # All slots of the limited guard are free, so by load alone it would be
    # chosen every time.
    router = _router("n1", "n2")
    router.record_limited("n1", 1.0, 10.0)
    chosen = {router.choose("fees", frozenset(), 10.4) for _ in range(40)}
    assert {target.node_id for target in chosen} == {"n2"}
    chosen = {router.choose("fees", frozenset(), 11.6) for _ in range(40)}
    assert {target.node_id for target in chosen} == {"n1", "n2"}


def test_guard_gets_calls_at_once_when_its_limit_ends():
    router = _router("n1", "n2")
    router.record_limited("n1", 5.0, 10.0)
    router.clear_limit("n1")
    chosen = {router.choose("fees", frozenset(), 10.1) for _ in range(40)}
    assert {target.node_id for target in chosen} == {"n1", "n2"}


def test_limit_of_a_guard_is_reported_once_while_it_lasts():
    router = _router("n1", "n2")
    reported = [
        router.record_limited("n1", 1.0, 10.0 + 2 * n) for n in range(5)
    ]
    assert reported == [True, False, False, False, False]


def test_listing_is_refused_without_calls_when_all_servers_are_limited():
    """Failure: a listing tries each guard in turn, and all refuse it."""

    async def scenario() -> None:
        asked = []

        def refuse(attempt: calls.Attempt) -> outcomes.Answer:
            asked.append(attempt)
            return _limited(attempt)

        dispatcher = _dispatcher(n1=refuse, n2=refuse)
        await dispatcher.call(builders.a_call("first"))
        assert len(asked) == 2, "each guard refuses for its limit"
        answer = await dispatcher.call(builders.a_call("second"))
        assert answer.outcome is outcomes.Outcome.NOT_RUN
        assert answer.reason is outcomes.Reason.LIMITED
        assert len(asked) == 2
        assert (
            dispatcher.router.limit_ends_in_s("fees", time.monotonic())
            is not None
        )

    asyncio.run(scenario())


def test_confirmation_and_nested_call_are_sent_to_limited_servers():
    """Failure: limited servers do not get the requests that they take first."""

    async def scenario() -> None:
        dispatcher = _dispatcher(n1=_limited, n2=_limited)
        await dispatcher.call(builders.a_call("first"))
        dispatcher.sender.transport = _dispatcher(
            n1=_done, n2=_done
        ).sender.transport
        for changes in ({"rank": 0}, {"depth": 1}):
            context = builders.a_context(**changes)
            call = builders.a_call("second", context=context)
            answer = await dispatcher.call(call)
            assert answer.outcome is outcomes.Outcome.DONE, changes

    asyncio.run(scenario())


def test_call_carries_the_last_report_of_its_guard():
    async def scenario() -> None:
        received = []

        def serve(attempt: calls.Attempt) -> outcomes.Answer:
            received.append(attempt.received)
            answer = builders.an_answer()
            answer.report = _REPORT
            return answer

        dispatcher = _dispatcher(n1=serve)
        for name in ("first", "second"):
            await dispatcher.call(builders.a_call(name))
        assert received == [None, _REPORT]

    asyncio.run(scenario())
