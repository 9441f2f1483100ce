"""Runs a site: its nodes, its callers, and what happens to it."""

import asyncio
import collections
import dataclasses
import math
import random
import time
from typing import Any

from burdockfront import accounts as accounts_lib
from burdockfront import guards
from burdockfront import outcomes
from burdockfront import policy as policy_lib
from burdockfront import routes as routes_lib
from burdockfront_bench import virtual_time
from burdockfront_bench.site_model import nodes as nodes_lib
from burdockfront_bench.site_model import results
from burdockfront_bench.site_model import servers as servers_lib
from burdockfront_bench.site_model import sheet as sheet_lib
from burdockfront_bench.site_model import terms as terms_lib
from burdockfront_client import calls
from burdockfront_client import peers

_SLACK = 50.0
_RATIO = 0.2
_ATTEMPTS = 2
# Of the time that is left a caller waits as told, but no longer.
_PATIENCE_SHARE = 1.0 / 3.0
_LATE_LIMIT = 500
_SPELL_S = 0.6
_WAVE_S = 15.0


class Site:
    """A site in virtual time.

    Args:
        sheet: What it consists of.
        seed: Of all draws.
        admission: Kind of admission; see `burdockfront.admission`.
        troubles: What happens to it.
        fair_shares: Whether client accounts share scarce services fairly.
    """

    def __init__(
        self,
        sheet: sheet_lib.Sheet,
        seed: int,
        admission: str = "flow",
        troubles: tuple[sheet_lib.Trouble, ...] = (),
        fair_shares: bool = True,
    ):
        self._sheet = sheet
        self._rng = random.Random(seed)
        self._troubles = troubles
        self._fair_shares = fair_shares
        self._classes = {one.name: one for one in sheet.classes}
        self._policy = policy_lib.parse(_policy_document(admission))
        self._tallies: dict[str, results.Tally] = collections.defaultdict(
            results.Tally
        )
        self._account_tallies: dict[tuple[str, str], results.Tally] = (
            collections.defaultdict(results.Tally)
        )
        self._nodes: dict[str, nodes_lib.ModelNode] = {}
        self._terms = terms_lib.TermsLog()
        self._earned = 0.0
        self._owed = 0.0
        self._began_s = 0.0

    async def play(self, length_s: float) -> results.Result:
        """Lets callers come for so long, and waits for their answers."""
        self._began_s = time.monotonic()
        self._build()
        ticking = [
            asyncio.create_task(self._tick_forever(node))
            for node in self._nodes.values()
        ]
        coming = [
            asyncio.create_task(self._send_forever(one, length_s))
            for one in self._sheet.classes
            if one.rate_per_s
        ]
        for requests in await asyncio.gather(*coming):
            await asyncio.gather(*requests)
        for task in ticking:
            task.cancel()
        servers = [node.server for node in self._nodes.values()]
        useful_s = sum(server.useful_s for server in servers)
        used_s = useful_s + sum(server.wasted_s for server in servers)
        return results.Result(
            dict(self._tallies),
            self._earned / max(1e-9, self._owed),
            useful_s / max(1e-9, used_s),
            len(self._terms.over_limit()),
            self._terms.after_leaving,
            {
                node.place.node_id: (
                    node.server.useful_s + node.server.wasted_s
                )
                / (node.place.service.slots * length_s)
                for node in self._nodes.values()
            },
            sum(
                node.dispatcher.counters.far_calls
                for node in self._nodes.values()
            ),
            dict(self._account_tallies),
        )

    async def _tick_forever(self, node: nodes_lib.ModelNode) -> None:
        """Runs the guard of a node, and replaces its process when it is due."""
        for trouble in self._troubles:
            if trouble.kind != "anew" or not self._is_struck(node, trouble):
                continue
            left_s = self._began_s + trouble.at_s - time.monotonic()
            try:
                async with asyncio.timeout(max(0.0, left_s)):
                    await node.guard.tick_forever()
            except TimeoutError:
                node.begin_anew()
        await node.guard.tick_forever()

    def _is_struck(
        self, node: nodes_lib.ModelNode, trouble: sheet_lib.Trouble
    ) -> bool:
        return trouble.service in ("", node.place.service.name)

    # ---- building ---------------------------------------------------------

    def _build(self) -> None:
        places = list(self._places())
        table = self._table()
        for place in places:
            self._nodes[place.node_id] = nodes_lib.ModelNode(
                place,
                self._server(place),
                table,
                self._policy,
                random.Random(self._rng.getrandbits(64)),
                self._carry,
                _SLACK / 2 / len(places),
                self._terms,
                self._fair_shares,
            )
        for node in self._nodes.values():
            node.dispatcher.router.update(place.target() for place in places)

    def _places(self) -> list[nodes_lib.Place]:
        found: list[nodes_lib.Place] = []
        names = self._sheet.data_centers
        for service in self._sheet.services:
            for number in range(service.servers):
                found.append(
                    nodes_lib.Place(
                        f"{service.name}-{number}",
                        names[len(found) % len(names)],
                        service,
                        service.speeds[number % len(service.speeds)],
                    )
                )
        return found

    def _server(self, place: nodes_lib.Place) -> servers_lib.ModelServer:
        rng = random.Random(self._rng.getrandbits(64))
        # Drawn once, so a share of servers is the same for the whole run.
        luck = rng.random()

        def struck(kind: str) -> list[sheet_lib.Trouble]:
            if kind != "spells":
                return self._struck(kind, place.service.name, luck)
            spell = int((time.monotonic() - self._began_s) / _SPELL_S)
            drawn = random.Random(f"{luck} {spell}").random()
            return self._struck(kind, place.service.name, drawn)

        return servers_lib.ModelServer(
            place.service,
            place.speed,
            self._classes,
            rng,
            struck,
            self._terms,
        )

    def _struck(
        self, kind: str, service: str, luck: float
    ) -> list[sheet_lib.Trouble]:
        now_s = time.monotonic() - self._began_s
        return [
            trouble
            for trouble in self._troubles
            if trouble.kind == kind
            and trouble.lasts(now_s)
            and trouble.service in ("", service)
            and luck < trouble.share
        ]

    def _table(self) -> routes_lib.RouteTable:
        found = tuple(
            routes_lib.Route(
                name=one.name,
                prefix=f"/{one.name}/",
                repeat=(
                    routes_lib.Repeat.AT_MOST_ONCE
                    if one.confirms
                    else routes_lib.Repeat.IDEMPOTENT
                ),
                shares=(routes_lib.Share(one.service, 1.0),),
                timeout_s=one.deadline_s,
                target_latency_s=one.target_s,
                rank=one.rank,
                max_attempts=_ATTEMPTS,
                public=True,
            )
            for one in self._sheet.classes
        )
        host = routes_lib.VirtualHost(nodes_lib.HOST, found)
        found_accounts = tuple(
            accounts_lib.Account(one.name, (accounts_lib.digest_of(one.name),))
            for one in self._sheet.accounts
        )
        return routes_lib.RouteTable(1, (host,), accounts=found_accounts)

    # ---- ways -------------------------------------------------------------

    async def _carry(
        self,
        origin: nodes_lib.Place,
        target: guards.Target,
        attempt: calls.Attempt,
        timeout_s: float,
    ) -> outcomes.Answer:
        far = origin.data_center != target.data_center
        way_s = self._sheet.far_s if far else self._sheet.near_s
        await asyncio.sleep(way_s)
        node = self._nodes[target.node_id]
        if self._is_lost(node):
            raise peers.UnreachableError(f"{target.node_id} is gone.")
        received = nodes_lib.as_received(attempt)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await node.guard.handle(received)
        except TimeoutError:
            raise nodes_lib.lost(target) from None
        pace = node.server.pace()
        await asyncio.sleep(way_s)
        return dataclasses.replace(answer, pace=pace)

    def _is_lost(self, node: nodes_lib.ModelNode) -> bool:
        return bool(node.server._struck("lost"))

    # ---- callers ------------------------------------------------------------

    async def _send_forever(
        self, request_class: sheet_lib.RequestClass, length_s: float
    ) -> list[asyncio.Task[None]]:
        rng = random.Random(f"{self._rng.random()} {request_class.name}")
        sent: list[asyncio.Task[None]] = []
        until_s = self._began_s + length_s
        while True:
            rate = request_class.rate_per_s
            for trouble in self._troubles:
                now_s = time.monotonic() - self._began_s
                if trouble.kind == "burst" and trouble.lasts(now_s):
                    rate *= trouble.x
            if self._sheet.accounts:
                usual = sum(one.weight for one in self._sheet.accounts)
                rate *= sum(self._weights()) / usual
            await asyncio.sleep(rng.expovariate(rate))
            if time.monotonic() >= until_s:
                return sent
            number = f"{request_class.name}{len(sent)}"
            account = self._account(rng)
            asking = self._ask(request_class, number, rng, account)
            sent.append(asyncio.create_task(asking))

    async def _ask(
        self,
        request_class: sheet_lib.RequestClass,
        number: str,
        rng: random.Random,
        account: str,
    ) -> None:
        """A caller who comes back once, as told."""
        began_s = time.monotonic()
        answer = await self._try(
            request_class, f"{number}a", began_s, rng, account
        )
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            left_s = began_s + request_class.deadline_s - time.monotonic()
            wait_s = answer.retry_after_s or 0.0
            if wait_s <= left_s * _PATIENCE_SHARE:
                await asyncio.sleep(wait_s)
                answer = await self._try(
                    request_class, f"{number}b", began_s, rng, account
                )
        self._count(request_class, account, answer, time.monotonic() - began_s)

    async def _try(
        self,
        request_class: sheet_lib.RequestClass,
        request_id: str,
        began_s: float,
        rng: random.Random,
        account: str,
    ) -> outcomes.Answer:
        standing = [n for n in self._nodes.values() if not self._is_lost(n)]
        node = self._drawn(standing, rng)
        left_s = began_s + request_class.deadline_s - time.monotonic()
        return await node.ask(request_class, request_id, left_s, account)

    def _drawn(
        self, standing: list[nodes_lib.ModelNode], rng: random.Random
    ) -> nodes_lib.ModelNode:
        now_s = time.monotonic() - self._began_s
        for trouble in self._troubles:
            if trouble.kind == "waves" and trouble.lasts(now_s):
                break
        else:
            return rng.choice(standing)
        names = self._sheet.data_centers
        weights = {
            name: 1.0
            + trouble.x
            * math.sin(math.tau * (now_s / _WAVE_S + number / len(names)))
            for number, name in enumerate(names)
        }
        return rng.choices(
            standing, [weights[node.place.data_center] for node in standing]
        )[0]

    def _count(
        self,
        request_class: sheet_lib.RequestClass,
        account: str,
        answer: outcomes.Answer,
        took_s: float,
    ) -> None:
        if account:
            of_account = self._account_tallies[(account, request_class.name)]
            _add(of_account, request_class, answer, took_s)
        tally = self._tallies[request_class.name]
        _add(tally, request_class, answer, took_s)
        self._owed += request_class.worth
        if not _is_good(answer):
            return
        if took_s <= request_class.target_s:
            self._earned += request_class.worth
        else:
            self._earned += request_class.worth * request_class.late_worth

    def _weights(self) -> list[float]:
        """Returns the present weights of the accounts."""
        now_s = time.monotonic() - self._began_s
        return [
            one.weight
            * math.prod(
                trouble.x
                for trouble in self._troubles
                if trouble.kind == "hot"
                and trouble.account == one.name
                and trouble.lasts(now_s)
            )
            for one in self._sheet.accounts
        ]

    def _account(self, rng: random.Random) -> str:
        """Draws the account of a request; empty if there are none."""
        if not self._sheet.accounts:
            return ""
        drawn = rng.choices(self._sheet.accounts, self._weights())
        return drawn[0].name


def _is_good(answer: outcomes.Answer) -> bool:
    done = answer.outcome is outcomes.Outcome.DONE
    return done and answer.status < _LATE_LIMIT


def _add(
    tally: results.Tally,
    request_class: sheet_lib.RequestClass,
    answer: outcomes.Answer,
    took_s: float,
) -> None:
    """Counts a request."""
    tally.asked += 1
    if not _is_good(answer):
        if answer.outcome is outcomes.Outcome.NOT_RUN:
            tally.refused += 1
        else:
            tally.failed += 1
    elif took_s <= request_class.target_s:
        tally.in_time += 1
    else:
        tally.late += 1


def run(
    sheet: sheet_lib.Sheet,
    seed: int,
    length_s: float,
    admission: str = "flow",
    troubles: tuple[sheet_lib.Trouble, ...] = (),
    fair_shares: bool = True,
) -> results.Result:
    """Plays a site in virtual time."""

    async def play() -> results.Result:
        site = Site(sheet, seed, admission, troubles, fair_shares)
        return await site.play(length_s)

    return virtual_time.run(play())


def _policy_document(admission: str) -> dict[str, Any]:
    return {
        "service": "any",
        "deadline_s": 120,
        "attempt_timeout_s": 120,
        "retry": {"allowance": 1, "reroutes": 3, "ratio": _RATIO},
        "admission": {"kind": admission, "queue_s": 0.15, "ramp_s": 0},
    }
