"""Tickets: at most once without a store.

A ticket names the one node incarnation that may ever hand its confirmation
to a backend server. Whichever node a caller repeats the ticket to, the call
goes to that incarnation, whose ledger knows whether it ran. A dead or
replaced incarnation can never run it, a partition can't make a second owner,
and a paused owner that wakes finds its own ledger unchanged. So the safety
needs no agreement; the price is `unknown` for tickets of a node that died.

What was weighed (docs/design/at-most-once.md): a record per confirmation in
the platform service (its write rate caps confirmations, its outages stop
them) and an owner by hash over the members (two views, two owners).
"""

import dataclasses

import orjson

from burdockfront import errors
from burdockfront import keyring as keyring_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission for one incarnation to run one request at most once.

    Attributes:
        nonce: Unique name.
        service: Service that the confirmation is for.
        owner: Id of the owning node.
        boot_id: Names the process of that node; a restart has another one.
        expires_s: Wall clock seconds after which it is not accepted. The
            owner alone judges this, by its own clock.
    """

    nonce: str
    service: str
    owner: str
    boot_id: str
    expires_s: float


def encode(ticket: Ticket, keys: keyring_lib.KeyRing) -> str:
    """Returns the text that callers use as `Idempotency-Key`."""
    payload = keys.pack(
        orjson.dumps(
            [
                ticket.nonce,
                ticket.service,
                ticket.owner,
                ticket.boot_id,
                round(ticket.expires_s, 1),
            ]
        )
    )
    return f"{payload.decode()}.{keys.sign(payload)}"


def decode(text: str, keys: keyring_lib.KeyRing) -> Ticket:
    """Reads a ticket.

    Raises:
        MalformedTicketError: It was not minted by this system.
    """
    payload, _, tag = text.rpartition(".")
    if not keys.verify(payload.encode(), tag):
        raise errors.MalformedTicketError()
    return Ticket(*orjson.loads(keys.unpack(payload)))
