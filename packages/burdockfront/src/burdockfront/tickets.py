"""Tickets: at-most-once execution without a store.

A ticket names the one node incarnation that may hand its confirmation to a
backend server. Any node that receives the ticket forwards the call to that
incarnation, whose ledger knows whether the call ran. An incarnation that has
exited or been replaced can never run it, a partition cannot create a second
owner, and an owner that was paused finds its ledger unchanged. Safety therefore
needs no agreement between nodes. The cost is the outcome `unknown` for tickets
of a node that failed.

Rejected alternatives (docs/design/at-most-once.md): a record per confirmation
in the platform service, because its write rate limits confirmations and its
outages stop them; and an owner chosen by a hash over the members, because two
membership views give two owners.
"""

import dataclasses

import orjson

from burdockfront import errors
from burdockfront import keyring as keyring_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Permission for one incarnation to run one request at most once.

    Attributes:
        nonce: Unique id.
        service: Service that the confirmation is for.
        owner: Id of the owning node.
        boot_id: Id of that node's process; a restart changes it.
        expires_s: Wall clock time in seconds after which it is not accepted.
            Only the owner checks this, by its own clock.
    """

    nonce: str
    service: str
    owner: str
    boot_id: str
    expires_s: float


def encode(ticket: Ticket, keys: keyring_lib.KeyRing) -> str:
    """Encodes a ticket as callers send it in `Idempotency-Key`."""
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
    """Decodes a ticket.

    Raises:
        MalformedTicketError: The ticket was not issued by this system.
    """
    payload, _, tag = text.rpartition(".")
    if not keys.verify(payload.encode(), tag):
        raise errors.MalformedTicketError()
    return Ticket(*orjson.loads(keys.unpack(payload)))
