"""Client for the operator interface of nodes."""

import asyncio
import dataclasses
from typing import Any

import orjson

from burdockfront import errors
from burdockfront_client import peers as peers_lib

_TIMEOUT_S = 5.0
_MAX_REPLY_BYTES = 16_000_000
_MAX_CONCURRENT = 64


class RefusedError(errors.BurdockfrontError):
    """A node refused a query or command; the message is that of the node."""

    def __init__(self, status: int, kind: str, message: str):
        super().__init__(message)
        self.status = status
        self.kind = kind


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply of one node.

    Attributes:
        node: The node.
        data: Its answer, or None if it refused or did not answer.
        error: Why there is no answer.
    """

    node: str
    data: dict[str, Any] | None
    error: str = ""


class Nodes:
    """The nodes of a system, as an operator queries them.

    Args:
        addresses: Internal addresses of some nodes. They are tried in order;
            the first one that answers provides the list of members.
        key: An operator key.
    """

    def __init__(self, addresses: list[str], key: str):
        self._addresses = addresses
        self._headers = {"Authorization": f"Bearer {key}"}
        self._peers = peers_lib.Peers()

    async def close(self) -> None:
        """Closes connections."""
        await self._peers.close()

    async def ask(
        self, address: str, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        """Sends a query or command to one node.

        Raises:
            RefusedError: The node refused.
            DispatchError: The node did not answer.
        """
        reply = await self._peers.request(
            address,
            "POST",
            f"/operator/{path}",
            self._headers,
            orjson.dumps(message),
            _TIMEOUT_S,
            _MAX_REPLY_BYTES,
        )
        data: dict[str, Any] = orjson.loads(reply.body)
        if reply.status != 200:
            raise RefusedError(
                reply.status, data.get("error", ""), data.get("message", "")
            )
        return data

    async def ask_any(
        self, path: str, message: dict[str, Any]
    ) -> dict[str, Any]:
        """Sends a query or command to the first node that answers.

        Raises:
            RefusedError: That node refused.
            DispatchError: No node answered.
        """
        for address in self._addresses:
            try:
                return await self.ask(address, path, message)
            except errors.DispatchError:
                continue
        raise errors.DispatchError(
            f"none of {', '.join(self._addresses)} answers; check 'nodes' in "
            f"the settings, and that the daemons run."
        )

    async def members(self) -> list[dict[str, Any]]:
        """Returns the members in the view of the first node that answers."""
        found = (await self.ask_any("members", {}))["members"]
        return sorted(found, key=lambda member: str(member["node"]))

    async def ask_all(self, path: str, message: dict[str, Any]) -> list[Reply]:
        """Sends a query to every member that is alive or suspected."""
        members = [
            m
            for m in await self.members()
            if m["status"] in ("alive", "suspect")
        ]
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT)

        async def query(member: dict[str, Any]) -> Reply:
            async with semaphore:
                try:
                    data = await self.ask(member["address"], path, message)
                except errors.BurdockfrontError as error:
                    return Reply(member["node"], None, str(error))
                return Reply(member["node"], data)

        return list(await asyncio.gather(*(query(m) for m in members)))
