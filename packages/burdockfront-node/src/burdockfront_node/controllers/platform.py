"""Client of the platform's key-value service: writes, leases, watches.

Each call consumes this node's call budget and passes a circuit breaker: nodes
put no load on the service in an outage, and do not stampede when it ends.
"""

import asyncio
import dataclasses
import random
import time
from typing import Any

from burdockfront import errors
from burdockfront import leases
from burdockfront import platform_budget
from burdockfront_node import settings as settings_lib
from burdockfront_node.controllers import store_link

_BURST = 8
# How long an operator's call waits for the budget.
_BUDGET_WAIT_S = 4.0
_POLL_S = 0.05
_FIRST_WAIT_S = 0.2
_MAX_WAIT_S = 5.0
# Conflict: the key has another revision, or the lease another holder.
_REFUSALS = frozenset([409])


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value and the revision that last changed it."""

    key: str
    value: dict[str, Any]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Items of a prefix at a revision of the whole store."""

    revision: int
    items: tuple[Item, ...]


class WriteConflictError(errors.PlatformError):
    """The key is not at the expected revision."""

    def __init__(self, key: str, found: int):
        super().__init__(
            f"{key} is at revision {found}, not at the expected one; read it "
            f"again and decide again."
        )
        self.found = found


class PlatformNotAskedError(errors.PlatformUnavailableError):
    """The call was not sent, so it had no effect."""

    def __init__(self) -> None:
        super().__init__(
            "the call to the platform service was not sent (the service failed "
            "recently, or this node's call budget is exhausted), so nothing "
            "was changed; try again in seconds."
        )


class PlatformClient:
    """Calls the platform's service within a budget.

    Args:
        settings: Address, rate and timeouts.
        rng: Source of randomness for waits.
    """

    def __init__(
        self, settings: settings_lib.PlatformSettings, rng: random.Random
    ):
        self._settings = settings
        self._budget = platform_budget.CallBudget(settings.rate_per_s, _BURST)
        self.link = store_link.StoreLink(
            settings.address,
            platform_budget.Backoff(_FIRST_WAIT_S, _MAX_WAIT_S, rng),
            fresh=True,
        )

    async def read(
        self, prefix: str, wait_for_budget: bool = False
    ) -> Snapshot:
        """Returns all items below a prefix.

        Args:
            prefix: Beginning of the keys.
            wait_for_budget: Wait for the budget instead of failing.

        Raises:
            PlatformUnavailableError: No valid answer, or the budget is
                exhausted.
        """
        target = f"/kv?prefix={prefix}"
        data = await self._ask("GET", target, None, 0.0, wait_for_budget)
        return snapshot_from_json(data)

    async def watch(self, prefix: str, after: int) -> Snapshot:
        """Waits for items newer than a revision; may return none.

        The wait is bounded on both sides: a watch on a dead connection ends by
        this node's own timeout, and is repeated on a new connection.

        Raises:
            PlatformUnavailableError: No valid answer, or the budget is
                exhausted.
        """
        wait_s = self._settings.watch_s
        target = f"/watch?prefix={prefix}&after={after}&wait_s={wait_s}"
        return snapshot_from_json(await self._ask("GET", target, None, wait_s))

    async def write(
        self, key: str, value: dict[str, Any], expected: int
    ) -> int:
        """Writes by compare-and-swap; 0 expects that the key is absent.

        Returns:
            The new revision.

        Raises:
            WriteConflictError: The key has another revision.
            PlatformNotAskedError: The call was not sent: it had no effect.
            PlatformUnavailableError: No valid answer: the write may have taken
                effect.
        """
        body = {"value": value, "expected": expected}
        data = await self._ask(
            "PUT", f"/kv/{key}", body, 0.0, wait_for_budget=True
        )
        if "conflict" in data:
            raise WriteConflictError(key, data["conflict"])
        return int(data["revision"])

    async def acquire(
        self, name: str, holder: str, duration_s: float
    ) -> leases.Grant | None:
        """Acquires or renews a lease; None if it has another holder.

        Raises:
            PlatformUnavailableError: No valid answer, or the budget is
                exhausted.
        """
        body = {"holder": holder, "duration_s": duration_s}
        data = await self._ask("POST", f"/lease/{name}", body, 0.0)
        if "fencing_token" not in data:
            return None
        return leases.Grant(name, int(data["fencing_token"]), duration_s)

    async def close(self) -> None:
        """Closes connections."""
        await self.link.close()

    async def _ask(
        self,
        method: str,
        target: str,
        body: dict[str, Any] | None,
        wait_s: float,
        wait_for_budget: bool = False,
    ) -> dict[str, Any]:
        await self._take_budget(_BUDGET_WAIT_S if wait_for_budget else 0.0)
        reply = await self.link.ask(
            store_link.StoreRequest(method, target, body),
            wait_s + self._settings.timeout_s,
            _REFUSALS,
        )
        return reply.data

    async def _take_budget(self, max_wait_s: float) -> None:
        """Takes one call from the budget, waiting at most `max_wait_s`."""
        until_s = time.monotonic() + max_wait_s
        while True:
            now_s = time.monotonic()
            if not self.link.backoff.open(now_s) and self._budget.take(now_s):
                return
            if now_s >= until_s:
                raise PlatformNotAskedError()
            await asyncio.sleep(_POLL_S)


def snapshot_from_json(data: dict[str, Any]) -> Snapshot:
    """Reads an answer of the service.

    Nodes write only objects. Any other value is read as an empty object, which
    is rejected where it is used, so a stray value affects only its own key.
    """
    items = tuple(
        Item(item["key"], _object(item["value"]), item["revision"])
        for item in data["items"]
    )
    return Snapshot(data["revision"], items)


def _object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}
