"""Request context that is propagated through all layers.

The entry node creates the context; later layers can only reduce its budgets. It
is signed, so callers can't forge a priority, and backend servers pass it on as
an opaque header. Deadlines are sent as remaining time, never as wall clock
time, because the clocks of two VMs disagree.
"""

import dataclasses

import orjson

from burdockfront import errors
from burdockfront import keyring as keyring_lib

HEADER = "Burdockfront-Context"
ORDINALS = 256
MAX_DEPTH = 32
# A level from which on all requests are admitted.
OPEN_LEVEL = 8 * ORDINALS
# End of the ranks that routes use.
TOP_LEVEL = 4 * ORDINALS


@dataclasses.dataclass(slots=True)
class RequestContext:
    """The identity, priority and budgets of one call.

    Instances are not modified, except that the guard at which a request enters
    sets `admitted_share`. The class is not frozen, because a frozen one
    takes twice as long to create, and each call creates several.

    Attributes:
        request_id: Id of the request, the same in all layers.
        attempt_id: Id of this attempt, which the next hop echoes.
        class_name: Class that the entry service's policy gave the request.
        rank: Rank of the class; 0 is shed last.
        ordinal: 0 to 255, the same in all layers. Overloaded layers therefore
            shed the same requests, and a request completes as a whole or not
            at all.
        depth: Number of layers above; 0 at the entry.
        remaining_s: Time left until the deadline.
        allowance: Retries that this call and all calls below it may use.
        parent: Id of the attempt that made this call, for the timeline.
        repeated: Whether this attempt, or one above it, is a retry.
        account_tag: Digest of the client account that the request belongs to,
            for fair shares; empty if there is none.
        admitted_share: Share of the requests of this rank that was admitted
            when the request entered the system.
        limited_by: Service whose level set `admitted_share`; empty if it is 1.
    """

    request_id: str
    attempt_id: str
    class_name: str
    rank: int
    ordinal: int
    depth: int
    remaining_s: float
    allowance: int
    parent: str = ""
    repeated: bool = False
    account_tag: str = ""
    admitted_share: float = 1.0
    limited_by: str = ""

    @property
    def priority(self) -> int:
        """Priority for shedding: smaller numbers are shed later."""
        return self.rank * ORDINALS + self.ordinal

    def for_attempt(
        self,
        attempt_id: str,
        remaining_s: float,
        allowance: int,
        repeated: bool,
    ) -> "RequestContext":
        """Returns the context of one attempt of this call."""
        return RequestContext(
            self.request_id,
            attempt_id,
            self.class_name,
            self.rank,
            self.ordinal,
            self.depth,
            remaining_s,
            allowance,
            self.parent,
            repeated,
            self.account_tag,
            self.admitted_share,
            self.limited_by,
        )

    def for_nested_call(
        self, attempt_id: str, remaining_s: float, allowance: int
    ) -> "RequestContext":
        """Returns the context of a call one layer deeper."""
        assert allowance <= self.allowance, "a call can't gain allowance"
        return dataclasses.replace(
            self,
            attempt_id=attempt_id,
            depth=self.depth + 1,
            remaining_s=remaining_s,
            allowance=allowance,
            parent=self.attempt_id,
        )


def encode(
    context: RequestContext,
    keys: keyring_lib.KeyRing,
    request_id: str | None = None,
) -> str:
    """Returns the signed header value.

    Args:
        context: The context.
        keys: Key ring, whose first key signs.
        request_id: Written in place of the request id, if that is sent
            separately.
    """
    if request_id is None:
        request_id = context.request_id
    parts = [
        request_id,
        context.attempt_id,
        context.class_name,
        context.rank,
        context.ordinal,
        context.depth,
        round(context.remaining_s, 4),
        context.allowance,
        context.parent,
        context.repeated,
    ]
    is_limited = context.admitted_share < 1.0
    if context.account_tag or is_limited:
        # Nodes of earlier releases fail on more than ten parts, so these are
        # sent only where accounts compete or a service limits what is admitted.
        parts.append(context.account_tag)
    if is_limited:
        parts += [round(context.admitted_share, 3), context.limited_by]
    payload = keys.pack(orjson.dumps(parts))
    return f"{payload.decode()}.{keys.sign(payload)}"


def decode(value: str, keys: keyring_lib.KeyRing) -> RequestContext:
    """Verifies and parses a signed header value.

    Raises:
        ForgedContextError: The signature is missing or wrong.
        InvalidInputError: The chain of calls is too deep.
    """
    payload, _, tag = value.rpartition(".")
    if not keys.verify(payload.encode(), tag):
        raise errors.ForgedContextError()
    context = RequestContext(*orjson.loads(keys.unpack(payload)))
    if context.depth > MAX_DEPTH:
        raise errors.InvalidInputError(
            f"expected a chain of at most {MAX_DEPTH} calls, got "
            f"{context.depth}; look for a cycle in the call graph with "
            f"'timeline request {context.request_id}'."
        )
    return context
