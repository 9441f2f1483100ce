"""Sends JSON messages to the internal ports of peers, and counts their cost."""

import collections
from typing import Any

import orjson

from burdockfront import errors
from burdockfront_client import peers as peers_lib
from burdockfront_node.internal import compression

_LIMIT_BYTES = 4_000_000


class PeerLink:
    """Asks peers.

    Attributes:
        messages: Messages sent since the start.
        sent_bytes: Bodies sent since the start.
        received_bytes: Bodies of answers since the start.
        transferred: Bodies in both directions since the start, by the last word of
            the path, `near` or `far`.
        far_addresses: Peers of other data centres.

    Args:
        headers: Headers that authenticate this node; replaced in place when
            keys are.
        source_ip: Own IP number that connections come from, if it matters.
    """

    def __init__(self, headers: dict[str, str], source_ip: str | None):
        self._headers = headers
        self._peers = peers_lib.Peers(source_ip)
        self.messages = 0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.transferred: collections.Counter[str] = collections.Counter()
        self.far_addresses: frozenset[str] = frozenset()

    async def ask(
        self,
        address: str,
        path: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> dict[str, Any]:
        """Sends a message and returns the answer.

        Raises:
            DispatchError: No answer, or a refusal.
        """
        body, encoding = compression.pack(orjson.dumps(message))
        headers = {**self._headers, "Accept-Encoding": compression.ENCODING}
        if encoding:
            headers["Content-Encoding"] = encoding
        self.messages += 1
        self.sent_bytes += len(body)
        reply = await self._peers.request(
            address, "POST", path, headers, body, timeout_s, _LIMIT_BYTES
        )
        self.received_bytes += len(reply.body)
        kind = path.rpartition("/")[2]
        way = "far" if address in self.far_addresses else "near"
        self.transferred[f"{kind}.{way}"] += len(body) + len(reply.body)
        if reply.status != 200:
            raise errors.DispatchError(
                f"{address} answered {reply.status} to {path}; check that "
                f"both nodes share the same peer_keys."
            )
        try:
            body = compression.unpack(
                reply.body,
                reply.header("content-encoding") or "",
                _LIMIT_BYTES,
            )
            data: dict[str, Any] = orjson.loads(body)
        except (errors.InvalidInputError, orjson.JSONDecodeError) as error:
            raise errors.DispatchError(
                f"{address} answered {path} with what is no JSON ({error}); "
                f"check that the address is a node's internal port."
            ) from None
        return data

    @property
    def transferred_bytes(self) -> int:
        """Bodies in both directions since the start."""
        return self.sent_bytes + self.received_bytes

    async def close(self) -> None:
        """Closes connections."""
        await self._peers.close()
