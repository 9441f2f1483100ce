"""Client of the platform's key-value service: writes, leases, watches.

Every call is counted against this node's budget and passes a breaker, so an
outage costs the service nothing and its end is not met by a stampede.
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
_PATIENCE_S = 4.0
_POLL_S = 0.05
_FIRST_WAIT_S = 0.2
_MOST_WAIT_S = 5.0
# Somebody else was first: another revision, or another holder.
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
    """The call was not sent: it provably had no effect."""

    def __init__(self) -> None:
        super().__init__(
            "the platform service is not asked now (it failed lately, or "
            "this node's call budget is spent), so nothing was changed; try "
            "again in seconds."
        )


class PlatformClient:
    """Asks the platform's service within a budget.

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
            platform_budget.Backoff(_FIRST_WAIT_S, _MOST_WAIT_S, rng),
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
            PlatformUnavailableError: No answer, or the budget is spent.
        """
        target = f"/kv?prefix={prefix}"
        data = await self._ask("GET", target, None, 0.0, wait_for_budget)
        return snapshot_from_json(data)

    async def watch(self, prefix: str, after: int) -> Snapshot:
        """Waits for items newer than a revision; may return none.

        The wait is bounded on both sides: a watch whose connection went
        silent ends by our own timeout and is made again on a new one.

        Raises:
            PlatformUnavailableError: No answer, or the budget is spent.
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
            PlatformNotAskedError: It was not sent: it had no effect.
            PlatformUnavailableError: No answer: it may have taken effect.
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
        """Acquires or renews a lease; None when somebody else holds it.

        Raises:
            PlatformUnavailableError: No answer, or the budget is spent.
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
        await self._take_budget(_PATIENCE_S if wait_for_budget else 0.0)
        reply = await self.link.ask(
            store_link.StoreRequest(method, target, body),
            wait_s + self._settings.timeout_s,
            _REFUSALS,
        )
        return reply.data

    async def _take_budget(self, patience_s: float) -> None:
        """Takes one call from the budget, waiting for it if allowed."""
        until_s = time.monotonic() + patience_s
        while True:
            now_s = time.monotonic()
            if not self.link.backoff.open(now_s) and self._budget.take(now_s):
                return
            if now_s >= until_s:
                raise PlatformNotAskedError()
            await asyncio.sleep(_POLL_S)


def snapshot_from_json(data: dict[str, Any]) -> Snapshot:
    """Reads an answer of the service.

    A value that is no object was not written by us. It is read as an empty
    one, which is rejected where it is used, so that a stray value costs its
    own key and not all others.
    """
    items = tuple(
        Item(item["key"], _object(item["value"]), item["revision"])
        for item in data["items"]
    )
    return Snapshot(data["revision"], items)


def _object(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}
