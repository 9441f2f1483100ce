"""Keeps in the store which requests are quarantined.

Nodes tell each other of crashes, so the store is needed only where no other
node can tell: after all processes were lost at once, and for a node that is cut
off from all others. Without it the caller of such a request, who goes on all
the while, would crash three servers more.

What is kept ends with a lease, as the crashes themselves are forgotten. Leases
may lapse with an outage of the store, so they are renewed now and then.
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
# As long as a crash counts, and the longest that stores grant.
_LEASE_S = 600.0
# A key that is gone is found out by the next renewal, a tenth of a read each.
_RENEW_S = 10.0
_RETRY_S = 0.5
# A node that can't reach a member may be cut off from all; it asks for as long
# as it has doubts, which are renewed by each probe that fails.
_DOUBT_S = 3.0
_READ_EVERY_S = 1.0


class QuarantineStore:
    """Writes what is quarantined here, and reads what others wrote.

    Args:
        boot_id: Names this process.
        store: Client of the store.
        crashes: Crashes that this node knows of.
        take: Takes an entry into them, and tells other nodes.
    """

    def __init__(
        self,
        boot_id: str,
        store: store_lib.StoreClient,
        crashes: crashes_lib.CrashBook,
        take: Callable[[tables.Entry], object],
    ):
        self._boot_id = boot_id
        self._store = store
        self._crashes = crashes
        self._take = take
        self._due: set[str] = set()
        self._leases: dict[str, store_lib.Lease] = {}
        self._has_due = asyncio.Event()
        self._doubts_until_s = 0.0
        self._has_doubts = asyncio.Event()

    def persist(self, fingerprint: str) -> None:
        """Has a request kept that is quarantined.

        By each node that saw one of its crashes. They may hear of the others'
        crashes all in one moment, and the store may turn one of them away.
        """
        if self._crashes.is_witness(fingerprint, self._boot_id):
            self._due.add(fingerprint)
            self._has_due.set()

    def on_probe_failure(self) -> None:
        """Notes that a peer was not reached: news may not reach this node."""
        self._doubts_until_s = time.monotonic() + _DOUBT_S
        self._has_doubts.set()

    def load(self, item: store_lib.Item) -> None:
        """Takes an item of the store, if it is one of these."""
        if not item.key.startswith(PREFIX):
            return
        try:
            for data in orjson.loads(item.value):
                self._take(tables.entry_from_json(data))
        except (errors.InvalidInputError, ValueError, TypeError) as error:
            _LOG.warning(
                "a quarantined request can't be read; remove its key",
                extra={"key": item.key, "why": str(error)},
            )

    def on_store_recovered(self) -> None:
        """Notes that the store answers again: leases may have lapsed."""
        self._has_due.set()

    async def write_forever(self) -> None:
        """Writes what is due, and keeps it alive."""
        while True:
            await self._wait_for_work()
            self._has_due.clear()
            try:
                for fingerprint in sorted(self._due):
                    await self._keep(fingerprint)
            except errors.PlatformError as error:
                _LOG.info("quarantine not kept", extra={"why": str(error)})
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

    async def _keep(self, fingerprint: str) -> None:
        """Renews the key of a quarantined request, or writes it."""
        evidence = self._crashes.evidence_of(fingerprint)
        if fingerprint not in self._crashes.quarantined:
            # Its crashes are forgotten; the key goes with its lease.
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
        # A key for each node that writes it: the store may take away what one
        # of them wrote, and tell nobody.
        key = f"{PREFIX}{fingerprint}/{self._boot_id}"
        await self._store.write((store_lib.Write(key, value, lease.lease_id),))
        self._leases[fingerprint] = lease

    async def read_forever(self) -> None:
        """Reads while this node may be cut off from the others."""
        while True:
            await self._has_doubts.wait()
            if time.monotonic() > self._doubts_until_s:
                self._has_doubts.clear()
                continue
            try:
                # Asked again a second later, so it may be a little old.
                page = await self._store.read(PREFIX, stale=True)
            except errors.PlatformError as error:
                _LOG.info("quarantine not read", extra={"why": str(error)})
            else:
                for item in page.items:
                    self.load(item)
            await asyncio.sleep(_READ_EVERY_S)
