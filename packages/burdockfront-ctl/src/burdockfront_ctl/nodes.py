"""Asks nodes, one or all of them."""

import asyncio
import dataclasses
from typing import Any

import orjson

from burdockfront import errors
from burdockfront_client import peers as peers_lib

_TIMEOUT_S = 5.0
_LIMIT_BYTES = 16_000_000
_AT_ONCE = 64


class RefusedError(errors.BurdockfrontError):
    """A node refused a question or command; the message is the node's."""

    def __init__(self, status: int, kind: str, message: str):
        super().__init__(message)
        self.status = status
        self.kind = kind


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What one node said, or why it said nothing."""

    node: str
    data: dict[str, Any] | None
    error: str = ""


class Nodes:
    """The nodes of a system, from an operator's view.

    Args:
        addresses: Internal addresses to begin with; the first that answers
            is asked for the others.
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
        """Asks one node.

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
            _LIMIT_BYTES,
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
        """Asks the first node that answers.

        Raises:
            RefusedError: It refused.
            DispatchError: None answered.
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
        """Returns the members as the first node that answers knows them."""
        found = (await self.ask_any("members", {}))["members"]
        return sorted(found, key=lambda member: str(member["node"]))

    async def ask_all(self, path: str, message: dict[str, Any]) -> list[Reply]:
        """Asks every member that is not known to be gone."""
        members = [
            m
            for m in await self.members()
            if m["status"] in ("alive", "suspect")
        ]
        gate = asyncio.Semaphore(_AT_ONCE)

        async def one(member: dict[str, Any]) -> Reply:
            async with gate:
                try:
                    data = await self.ask(member["address"], path, message)
                except errors.BurdockfrontError as error:
                    return Reply(member["node"], None, str(error))
                return Reply(member["node"], data)

        return list(await asyncio.gather(*(one(m) for m in members)))
