"""Builders of test data: small and composable, with meaningful defaults."""

import random
import time
from typing import Any

from burdockfront import accounts
from burdockfront import admission
from burdockfront import context
from burdockfront import crashes
from burdockfront import guards
from burdockfront import incarnations
from burdockfront import keyring
from burdockfront import limits
from burdockfront import members
from burdockfront import outcomes
from burdockfront import policy
from burdockfront import rate_limits
from burdockfront import routes
from burdockfront import tables
from burdockfront import tickets
from burdockfront import timeline
from burdockfront_client import calls
from burdockfront_client import dispatcher

KEY = "a-key-for-tests-0123456789"


def a_key_ring(*keys: str) -> keyring.KeyRing:
    return keyring.KeyRing(list(keys) or [KEY])


def a_context(**changes: object) -> context.RequestContext:
    fields = {
        "request_id": "r-1",
        "attempt_id": "r-1.n.1",
        "class_name": "browse",
        "rank": 1,
        "ordinal": 100,
        "depth": 0,
        "remaining_s": 2.0,
        "allowance": 2,
    }
    return context.RequestContext(**{**fields, **changes})


def a_call(request_id: str = "r-1", **changes: object) -> calls.Call:
    fields = {
        "service": "fees",
        "method": "GET",
        "target": f"/browse/{request_id}",
        "headers": (),
        "body": b"",
        "context": a_context(request_id=request_id, attempt_id=request_id),
        "deadline_s": time.monotonic() + 5.0,
        "pool": calls.allowance.AllowancePool(0),
        "repeatable": True,
    }
    return calls.Call(**{**fields, **changes})


def an_attempt(request_id: str = "r-1", **changes: object) -> calls.Attempt:
    call = a_call(request_id, **changes)
    return calls.Attempt(call, call.context, None)


def a_ticket(nonce: str = "t-1", **changes: object) -> tickets.Ticket:
    fields = {
        "nonce": nonce,
        "service": "enrolment",
        "owner": "n1",
        "boot_id": "b1",
        "expires_s": 1000.0,
    }
    return tickets.Ticket(**{**fields, **changes})


def a_target(node_id: str = "n1", **changes: object) -> guards.Target:
    fields = {
        "node_id": node_id,
        "boot_id": f"{node_id}-boot",
        "service": "fees",
        "address": "127.0.0.1:1",
        "data_center": "dc1",
        "slots": 4,
    }
    return guards.Target(**{**fields, **changes})


def a_member(node_id: str = "n1", **changes: object) -> members.Member:
    fields = {
        "node_id": node_id,
        "boot_id": f"{node_id}-boot",
        "incarnation": 1,
        "revision": 0,
        "status": members.Status.ALIVE,
        "address": f"127.0.0.1:{1000 + len(node_id)}",
        "data_center": "dc1",
        "region": "r1",
    }
    return members.Member(**{**fields, **changes})


def an_admission(
    kind: str = "level",
    slots: int = 2,
    queue_s: float = 0.25,
    rate: rate_limits.RateLimit | None = None,
) -> admission.Admission:
    rules = policy.AdmissionPolicy(kind=kind, queue_s=queue_s, ramp_s=0.0)
    limit = limits.ConcurrencyLimit(slots, 0.0, 0.0)
    return admission.create(rules, limit, 0.0, rate)


def a_refusal() -> outcomes.Answer:
    return outcomes.not_run(outcomes.Reason.OVERLOAD, 1.0)


def an_answer(body: bytes = b"whole") -> outcomes.Answer:
    return outcomes.Answer(outcomes.Outcome.DONE, 200, body=body)


def a_route(name: str = "browse", **changes: object) -> routes.Route:
    fields = {
        "name": name,
        "prefix": "/a/",
        "repeat": routes.Repeat.IDEMPOTENT,
        "shares": (routes.Share("catalogue", 1.0),),
        "timeout_s": 5.0,
        "target_latency_s": 1.0,
        "rank": 2,
        "max_attempts": 2,
    }
    return routes.Route(**{**fields, **changes})


def a_table(
    version: int = 1, *found: routes.Route, **changes: object
) -> routes.RouteTable:
    host = routes.VirtualHost("shop.example", found or (a_route(),))
    return routes.RouteTable(version, (host,), **changes)


def an_account(
    name: str = "acme", *keys: str, **changes: object
) -> accounts.Account:
    digests = tuple(map(accounts.digest_of, keys))
    return accounts.Account(name, digests, **changes)


def a_heartbeat(
    instance_id: str = "i-1",
    sequence: int = 1,
    leaving: bool = False,
    born_ms: int | None = None,
) -> incarnations.Heartbeat:
    return incarnations.Heartbeat(
        instance_id=instance_id,
        service="catalogue",
        data_center="dc1",
        release="v1",
        slots=4,
        leaving=leaving,
        warm_in_s=0.0,
        sequence=sequence,
        born_ms=born_ms,
    )


def a_crash(
    crash_id: str, *suspects: crashes.Suspect, at_s: float = 0.0
) -> tables.Entry:
    return crashes.crash_entry(crash_id, suspects, at_s)


def a_dispatcher(
    recorder: timeline.Recorder | None = None, **settings: Any
) -> dispatcher.Dispatcher:
    return dispatcher.Dispatcher(
        "n1",
        "dc1",
        a_key_ring(),
        policy.default,
        recorder or timeline.Recorder("n1", "dc1", 100),
        900.0,
        random.Random(1),
        **settings,
    )
