"""Synchronizes policies between the platform's service and the nodes.

Few nodes of each data centre watch the service; all others receive changes from
their peers. The watchers follow from the members' names alone, without an
agreement: while views of the members differ, one node more or less watches,
which is harmless.
"""

import asyncio
import logging
import time
from typing import Any

import xxhash

from burdockfront import configuration as configuration_lib
from burdockfront import errors
from burdockfront import members as members_lib
from burdockfront import policy
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import platform as platform_lib

_LOG = logging.getLogger(__name__)

PREFIX = "burdockfront/policy/"
WATCHERS_PER_DATA_CENTER = 2
_HISTORY = 20
_IDLE_S = 1.0
_READ_BACK_TRIES = 5
_READ_BACK_PAUSE_S = 0.3


class Policies:
    """Reads, watches and writes policy documents.

    Args:
        platform: Client of the platform's service; None: there is none.
        exchange: Distributes documents to peers.
    """

    def __init__(
        self,
        platform: platform_lib.PlatformClient | None,
        exchange: exchange_lib.Exchange,
    ):
        self._platform = platform
        self._exchange = exchange
        self._after = 0

    async def read(self) -> bool:
        """Reads all documents; returns False if the service is unavailable."""
        if self._platform is None:
            return False
        try:
            self._take(await self._platform.read(PREFIX))
        except errors.PlatformUnavailableError as error:
            _LOG.warning("reading policies failed", extra={"why": str(error)})
            return False
        return True

    async def watch_forever(self) -> None:
        """Watches while this node is one of its data centre's watchers."""
        if self._platform is None:
            return
        while True:
            if not self.watching():
                await asyncio.sleep(_IDLE_S)
                continue
            try:
                self._take(await self._platform.watch(PREFIX, self._after))
            except errors.PlatformUnavailableError:
                await asyncio.sleep(_IDLE_S)

    def watching(self) -> bool:
        """Whether this node is one of its data centre's watchers."""
        local = self._exchange.membership.local_member
        return local.node_id in watchers_of(
            self._exchange.membership.usable(), local.data_center
        )

    async def change(
        self,
        service: str,
        path: str,
        value: object,
        expected: int | None,
        who: str,
        change_id: str,
    ) -> dict[str, Any]:
        """Changes one field of a document.

        Args:
            service: The document.
            path: Field names joined by dots.
            value: New value.
            expected: Revision on which the operator based the change.
            who: The operator, for the history.
            change_id: Unique id of this change.

        Returns:
            The new revision and the history entry.

        Raises:
            PolicyError: The result would not be valid.
            RevisionConflictError: The document has another revision.
            WriteUnsettledError: It is unknown whether the change took effect.
            PlatformUnavailableError: Nothing was written.
        """
        if self._platform is None:
            raise errors.PlatformUnavailableError(
                "this node runs without a platform service; set 'platform' "
                "in its settings to change policies."
            )
        try:
            current = await self._current(service)
        except errors.PlatformUnavailableError as error:
            raise errors.PlatformUnavailableError(
                f"nothing was changed: {error}"
            ) from None
        revision = current.revision if current else 0
        configuration_lib.check_expected(service, expected, revision)
        before = _document_of(current, service)
        after = policy.with_field(before, path, value)
        line = {
            "change_id": change_id,
            "who": who,
            "when_s": time.time(),
            "path": path,
            "before": _field(before, path),
            "after": value,
            "from_revision": revision,
        }
        history = current.value.get("history", []) if current else []
        document = {
            "document": after,
            "change_id": change_id,
            "history": [*history, line][-_HISTORY:],
        }
        written = await self._write(service, document, revision, change_id)
        self._publish(written)
        return {"revision": written.revision, "line": line}

    async def history(self, service: str) -> list[dict[str, Any]]:
        """Returns the history entries of a document, oldest first.

        Raises:
            PlatformUnavailableError: The service is unavailable.
        """
        current = await self._current(service)
        return list(current.value.get("history", [])) if current else []

    async def _current(self, service: str) -> platform_lib.Item | None:
        if self._platform is None:
            raise errors.PlatformUnavailableError(
                "this node runs without a platform service."
            )
        key = PREFIX + service
        snapshot = await self._platform.read(key, wait_for_budget=True)
        for item in snapshot.items:
            if item.key == key:
                return item
        return None

    async def _write(
        self,
        service: str,
        document: dict[str, Any],
        expected: int,
        change_id: str,
    ) -> platform_lib.Item:
        """Writes, and reads back a write whose answer was lost.

        A write can take effect while its answer is lost. Symptom: the operator
        repeats the change and gets a conflict with the first attempt, or
        assumes that nothing happened. The change id in the document that is
        read back shows whether the write took effect.
        """
        assert self._platform is not None
        key = PREFIX + service
        try:
            revision = await self._platform.write(key, document, expected)
            return platform_lib.Item(key, document, revision)
        except platform_lib.WriteConflictError as conflict:
            raise errors.RevisionConflictError(
                service, expected, conflict.found
            ) from None
        except platform_lib.PlatformNotAskedError:
            raise
        except errors.PlatformUnavailableError:
            return await self._read_back(service, expected, change_id)

    async def _read_back(
        self, service: str, expected: int, change_id: str
    ) -> platform_lib.Item:
        """Returns the current item once it contains this node's write.

        Another write may have followed already. Then the later document has to
        be published: with this node's document under the later revision, nodes
        would keep different documents of the same revision for ever.
        """
        for _ in range(_READ_BACK_TRIES):
            await asyncio.sleep(_READ_BACK_PAUSE_S)
            try:
                current = await self._current(service)
            except errors.PlatformUnavailableError:
                continue
            if current is not None and _contains(current, change_id):
                return current
            if current is not None and current.revision != expected:
                raise errors.RevisionConflictError(
                    service, expected, current.revision
                )
        raise errors.WriteUnsettledError(change_id)

    def _take(self, snapshot: platform_lib.Snapshot) -> None:
        for item in snapshot.items:
            self._publish(item)
        # A stale read may be older than what was already received: never watch
        # from its revision.
        self._after = max(self._after, snapshot.revision)

    def _publish(self, item: platform_lib.Item) -> None:
        """Activates a document here and distributes it to peers."""
        entry = configuration_lib.entry_of(
            item.key.removeprefix(PREFIX),
            item.revision,
            item.value.get("document", {}),
            item.value.get("change_id", ""),
        )
        self._exchange.merge_policy(entry)


def watchers_of(
    members: list[members_lib.Member], data_center: str
) -> list[str]:
    """Returns the ids of the watchers of a data centre."""
    near = [m.node_id for m in members if m.data_center == data_center]
    near.sort(key=lambda node_id: xxhash.xxh3_64_intdigest(node_id.encode()))
    return near[:WATCHERS_PER_DATA_CENTER]


def _document_of(
    current: platform_lib.Item | None, service: str
) -> dict[str, Any]:
    document = current.value.get("document") if current else None
    return policy.full_document(document or {"service": service})


def _field(document: dict[str, Any], path: str) -> Any:
    target: Any = document
    for name in path.split("."):
        if isinstance(target, list):
            target = next(i for i in target if i.get("name") == name)
        else:
            target = target[name]
    return target


def _contains(current: platform_lib.Item, change_id: str) -> bool:
    lines = current.value.get("history", [])
    return any(line["change_id"] == change_id for line in lines)
