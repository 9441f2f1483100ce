"""Persists quarantined requests in the store.

Nodes gossip crashes, so the store is needed only where no peer can report them:
after all processes were lost at once, and at a node that is cut off from all
others. Without it the caller of a quarantined request, which keeps retrying,
would crash three more servers.

Stored entries expire with a lease, as the crashes themselves expire. Leases may
lapse during an outage of the store, so they are renewed periodically.
"""

import asyncio
import logging
import time
from collections.abc import Callable

import orjson

from burdockfront import crashes as crashes_lib
from burdockfront import errors
from burdockfront import tables
from burdockfront_node.controllers import store as store_lib

_LOG = logging.getLogger(__name__)

PREFIX = "burdockfront/quarantine/"
# Equal to the time for which a crash counts, and the longest lease that stores
# grant.
_LEASE_S = 600.0
# A lost key is detected by the next renewal, which costs a tenth of a read.
_RENEW_S = 10.0
_RETRY_S = 0.5
# A node that can't reach a member may be cut off from all of them. It reads the
# store for this long after each failed probe.
_READ_FOR_S = 3.0
_READ_INTERVAL_S = 1.0


class QuarantineStore:
    """Writes this node's quarantined requests, and reads those of others.

    Args:
        boot_id: Identifies this process.
        store: Client of the store.
        crashes: Crashes known to this node.
        merge: Merges an entry into the known crashes and gossips it.
    """

    def __init__(
        self,
        boot_id: str,
        store: store_lib.StoreClient,
        crashes: crashes_lib.CrashTracker,
        merge: Callable[[tables.Entry], object],
    ):
        self._boot_id = boot_id
        self._store = store
        self._crashes = crashes
        self._merge = merge
        self._due: set[str] = set()
        self._leases: dict[str, store_lib.Lease] = {}
        self._has_due = asyncio.Event()
        self._read_until_s = 0.0
        self._should_read = asyncio.Event()

    def persist(self, fingerprint: str) -> None:
        """Schedules a quarantined request to be written to the store.

        Each node that observed one of its crashes writes it: these nodes may
        learn of each other's crashes in the same moment, and the store may
        reject one of them.
        """
        if self._crashes.is_reported_by(fingerprint, self._boot_id):
            self._due.add(fingerprint)
            self._has_due.set()

    def on_probe_failure(self) -> None:
        """Makes this node read the store for a while.

        A failed probe means that gossip may not reach this node.
        """
        self._read_until_s = time.monotonic() + _READ_FOR_S
        self._should_read.set()

    def load(self, item: store_lib.Item) -> None:
        """Merges an item of the store, if it is a quarantined request."""
        if not item.key.startswith(PREFIX):
            return
        try:
            for data in orjson.loads(item.value):
                self._merge(tables.entry_from_json(data))
        except (errors.InvalidInputError, ValueError, TypeError) as error:
            _LOG.warning(
                "a stored quarantined request can't be parsed; remove its key",
                extra={"key": item.key, "why": str(error)},
            )

    def on_store_recovered(self) -> None:
        """Renews all keys at once, as leases may have lapsed in an outage."""
        self._has_due.set()

    async def write_forever(self) -> None:
        """Writes quarantined requests and renews their leases."""
        while True:
            await self._wait_for_work()
            self._has_due.clear()
            try:
                for fingerprint in sorted(self._due):
                    await self._write(fingerprint)
            except errors.PlatformError as error:
                _LOG.info("quarantine not written", extra={"why": str(error)})
                await asyncio.sleep(_RETRY_S)
                self._has_due.set()

    async def _wait_for_work(self) -> None:
        if not self._due:
            await self._has_due.wait()
            return
        try:
            async with asyncio.timeout(_RENEW_S):
                await self._has_due.wait()
        except TimeoutError:
            return

    async def _write(self, fingerprint: str) -> None:
        """Renews the key of a quarantined request, or writes it."""
        evidence = self._crashes.crash_entries_of(fingerprint)
        if fingerprint not in self._crashes.quarantined:
            # Its crashes have expired; the key expires with its lease.
            self._due.discard(fingerprint)
            self._leases.pop(fingerprint, None)
            return
        lease = self._leases.get(fingerprint)
        if lease is not None:
            try:
                await self._store.renew(lease)
                return
            except store_lib.LeaseGoneError:
                del self._leases[fingerprint]
        lease = await self._store.grant(_LEASE_S)
        value = orjson.dumps([entry.to_json() for entry in evidence])
        # Each writing node has its own key: the store may remove a key of one
        # of them without notice.
        key = f"{PREFIX}{fingerprint}/{self._boot_id}"
        await self._store.write((store_lib.Write(key, value, lease.lease_id),))
        self._leases[fingerprint] = lease

    async def read_forever(self) -> None:
        """Reads the store while this node may be cut off from its peers."""
        while True:
            await self._should_read.wait()
            if time.monotonic() > self._read_until_s:
                self._should_read.clear()
                continue
            try:
                # The next read follows a second later, so an answer may be
                # slightly stale.
                page = await self._store.read(PREFIX, stale=True)
            except errors.PlatformError as error:
                _LOG.info("quarantine not read", extra={"why": str(error)})
            else:
                for item in page.items:
                    self.load(item)
            await asyncio.sleep(_READ_INTERVAL_S)
