"""Sets the context of a request: id, priority, deadline and retry allowance.

For a caller's request, the entry node creates the context. A nested call of a
backend server carries the signed context of the attempt that it is made for,
and inherits from it.
"""

import hashlib
import math
import re
import time

from burdockfront import allowance
from burdockfront import context as context_lib
from burdockfront import errors
from burdockfront import outcomes
from burdockfront_client import calls
from burdockfront_client import wire
from burdockfront_node.filters import base

_REQUEST_ID = re.compile(r"^[A-Za-z0-9_-]{8,64}$")
_REPEAT = "burdockfront-repeat"


@base.FILTERS.register("identify")
class Identify:
    """Sets context, deadline and call."""

    def __init__(self, tools: base.Tools):
        self._tools = tools

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Refuses requests with a forged context or an invalid deadline."""
        signed = entry.request.header(context_lib.HEADER.lower())
        if signed is None:
            self._create_context(entry)
        else:
            keys = self._tools.dispatcher.sender.keys
            self._inherit_context(entry, context_lib.decode(signed, keys))
        return await following(entry)

    def _create_context(self, entry: base.Entry) -> None:
        policy = entry.policy
        assert policy is not None
        request = entry.request
        remaining_s = min(policy.deadline_s, _deadline_of(request))
        request_class = policy.class_of(request.method, entry.target)
        request_id = self._request_id(entry)
        # A repeat is itself a retry by the caller. With an allowance of its
        # own, each repeat of a retry storm would cause further retries.
        repeated = request.header(_REPEAT) not in (None, "0")
        units = 0 if repeated else policy.retry.allowance
        entry.context = context_lib.RequestContext(
            request_id=request_id,
            attempt_id=request_id,
            class_name=request_class.name,
            rank=request_class.rank,
            ordinal=ordinal_of(request_id),
            depth=0,
            remaining_s=remaining_s,
            allowance=units,
        )
        entry.deadline_s = time.monotonic() + remaining_s
        entry.call = calls.Call(
            service=entry.service,
            method=request.method,
            target=entry.target,
            headers=wire.end_to_end(list(request.headers)),
            body=request.body,
            context=entry.context,
            deadline_s=entry.deadline_s,
            pool=allowance.AllowancePool(units),
            hold=request.hold,
        )

    def _inherit_context(
        self, entry: base.Entry, given: context_lib.RequestContext
    ) -> None:
        policy = entry.policy
        assert policy is not None
        entry.parent = self._tools.attempts.parent_of(given)
        entry.call = calls.nested_call(
            entry.parent,
            entry.service,
            entry.request.method,
            entry.target,
            wire.end_to_end(list(entry.request.headers)),
            entry.request.body,
            policy.deadline_s,
        )
        entry.call.hold = entry.request.hold
        entry.context = entry.call.context
        entry.deadline_s = entry.call.deadline_s

    def _request_id(self, entry: base.Entry) -> str:
        given = entry.request.header(wire.REQUEST_ID.lower())
        if given is None:
            return self._tools.dispatcher.new_id()
        if not _REQUEST_ID.match(given):
            raise errors.InvalidInputError(
                f"expected {wire.REQUEST_ID} of 8 to 64 letters, digits, "
                f"'-' or '_', got {given[:70]!r}; leave it out to get one."
            )
        return given


def _deadline_of(request: base.messages.Request) -> float:
    text = request.header(wire.DEADLINE.lower())
    if text is None:
        return math.inf
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0.0 < value < math.inf:
        raise errors.InvalidInputError(
            f"expected {wire.DEADLINE} as seconds that remain, above 0, got "
            f"{text[:40]!r}; e.g. '{wire.DEADLINE}: 1.5'."
        )
    return value


def ordinal_of(request_id: str) -> int:
    """Returns the ordinal, a hash that is equal for repeats of a request.

    With a random ordinal per repeat, callers would gain from repeating requests
    under overload.
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=1).digest()
    return digest[0]
