"""Keeps the operators' route table up to date, from the store and from peers.

A few nodes watch the store (`burdockfront.watchers`) and announce each version
that they activate; each peer fetches the table from the node that announced it,
and announces it in turn. Gossip messages carry the version, so a node that an
announcement missed learns of the version from the next probe.

A node accesses the store itself

* once when it starts: a peer may be a moment behind, and a node must not go
  back to a table that it had already replaced before it stopped;
* while it is one of the watchers, or the store did not answer its last request;
* periodically, watcher or not (`route_checks`);
* once when its table has not been confirmed for seconds (`route_freshness`);
* after a probe failure: this node itself may be cut off from its peers, and
  would continue with an old table without noticing, though callers and the
  store still reach it. This costs a call or two for each failed member.

If every node watched, each change would cost a call of each node: 555 calls of
the store on a quiet day with 30 nodes, and more than the store allows in a
second when hundreds start together.
"""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Any

from burdockfront import errors
from burdockfront import freshness
from burdockfront import routes
from burdockfront import timeline
from burdockfront_node.controllers import peer_link
from burdockfront_node.controllers import peer_notifier
from burdockfront_node.controllers import route_activation
from burdockfront_node.controllers import route_checks
from burdockfront_node.controllers import route_freshness
from burdockfront_node.controllers import route_peers
from burdockfront_node.controllers import store as store_lib
from burdockfront_node.controllers import store_watch

_LOG = logging.getLogger(__name__)

ROUTES = route_peers.ROUTES
# How long a watcher waits for its own watch to deliver a table that a peer has
# announced, before it fetches the table from the peer.
OWN_WATCH_WAIT_S = 0.1
# How long to wait for the answers of further peers after the first table: two
# round trips between regions, and some processing time there.
_MORE_ANSWERS_S = 0.2
# Nodes that start together learn of each other within this time; before that,
# each considers itself a watcher.
_SETTLE_S = 0.3
# Stores keep a history of some tens of seconds. A watch from a revision older
# than this may fail, which costs one call more than reading at once.
_HISTORY_S = 10.0
# Pause before reading again after a watch without history: a store that has no
# history at all must not be called in a tight loop.
_REREAD_PAUSE_S = 0.05
# How long a node that may be isolated acts as a watcher. A waiting watch lasts
# longer than this, so it costs one read and one watch.
_ISOLATION_S = 3.0


class RouteWatch:
    """Keeps the active route table up to date.

    Args:
        store: Client of the store.
        prefix: Prefix of operators' keys.
        read_table: Reads a table from an item.
        resolver: Holds the active table.
        link: Sends messages to peers.
        recorder: Where events go.
        on_store_recovered: Called when the store answers again after failures.
        notifier: Notifies the peers of what this node learns.
        rng: Source of randomness.

    Attributes:
        freshness: How long ago the table was known to be the newest.
        checks: Polls the store periodically.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        prefix: str,
        read_table: route_activation.ReadTable,
        resolver: routes.RouteResolver,
        link: peer_link.PeerLink,
        recorder: timeline.Recorder,
        on_store_recovered: Callable[[], None],
        notifier: peer_notifier.PeerNotifier,
        rng: random.Random,
    ):
        self._notifier = notifier
        self._store = store
        self._prefix = prefix
        self._resolver = resolver
        self._recorder = recorder
        self._on_store_recovered = on_store_recovered
        self._after = 0
        self._store_unavailable = False
        # Whether the table must be read again before the next watch, as its
        # revision is no longer valid.
        self._must_reread = False
        self._watch = store_watch.StoreWatch(
            store, prefix, self._confirm, self._should_watch
        )
        self._early_claim: tuple[str, int] | None = None
        self._activator = route_activation.RouteActivator(
            read_table,
            resolver,
            recorder,
            notifier.notify_routes,
            lambda: self.freshness.claim().age_s,
        )
        self.checks = route_checks.RouteChecks(
            store,
            prefix,
            lambda item: self._activator.accept_item(item, "check"),
            self._confirm,
            lambda: self._has_read and not self._store_unavailable,
            notifier.count,
            rng,
        )
        self._peers = route_peers.RoutePeers(
            resolver,
            link,
            self._activator.accept_from_peer,
            self.suspect_isolation,
        )
        self._is_watcher = False
        self._has_read = False
        self._suspects_isolation_until_s = 0.0
        # When the store last answered.
        self._answered_at_s = 0.0
        self._duty_changed = asyncio.Event()
        self.freshness = route_freshness.RouteFreshness(
            resolver, recorder, self._current_duty, self._read_once, rng
        )

    def set_watcher(self, watcher: bool) -> None:
        """Sets whether this node is one of the watchers."""
        self._is_watcher = watcher
        self._duty_changed.set()

    def suspect_isolation(self) -> None:
        """Acts as a watcher for a while, as updates may not reach this node."""
        self._suspects_isolation_until_s = time.monotonic() + _ISOLATION_S
        self._duty_changed.set()

    def on_store_restored(self) -> None:
        """Reads again after the store was restored from an older copy.

        The store's latest writes are lost and its revisions continue from an
        older one, so the revision of the last read may lie in the future. The
        active table stays: operators write the lost one again, under the
        version that it had.
        """
        self._must_reread = True
        self._duty_changed.set()
        # The watch waits for changes after a revision that the store will use
        # for another change.
        self._watch.stop()

    @property
    def revision(self) -> int:
        """The store's revision up to which all changes were received."""
        return self._after

    @property
    def is_behind(self) -> bool:
        """Whether a newer table is being fetched from a peer."""
        return self._peers.fetching

    @property
    def store_unavailable(self) -> bool:
        """Whether the store did not answer the last request."""
        return self._store_unavailable

    async def wait_for_routes(self, max_wait_s: float) -> None:
        """Waits until a table is active, at most `max_wait_s`."""
        await self._activator.wait_for_first(max_wait_s)

    async def read(self) -> bool:
        """Reads the table from the store.

        Not a stale read: a node that starts must not go back to a table that
        it had already replaced before it stopped.

        Returns:
            Whether the store answered.
        """
        asked_s = time.monotonic()
        try:
            page = await self._store.read(self._prefix)
        except errors.PlatformUnavailableError as error:
            self._on_store_failure(str(error))
            return False
        self._on_store_answer()
        self._has_read = True
        self._must_reread = False
        for item in page.items:
            self._activator.accept_item(item)
        # Not the maximum so far: a restored store continues from an older
        # revision.
        self._after = page.revision
        self.checks.on_read(page.revision)
        self._confirm(asked_s)
        self._fetch_early_claim()
        return True

    async def watch_forever(self) -> None:
        """Reads the table, and watches the store whenever this node should."""
        known = False
        while True:
            if not self._should_watch():
                # A watch that starts soon after continues from the revision
                # read last, and delivers changes of the meantime at once.
                await self._wait_for_duty_change()
                age_s = time.monotonic() - self._answered_at_s
                known = known and age_s < _HISTORY_S
                continue
            if not known or self._must_reread:
                first = not self._has_read
                known = await self.read()
                if not known:
                    await asyncio.sleep(self._pause_s())
                elif first:
                    await asyncio.sleep(_SETTLE_S)
                continue
            known = await self._watch_once()

    def _confirm(self, at_s: float) -> None:
        self.freshness.confirm(at_s, "store")

    def _current_duty(self) -> route_freshness.Duty:
        return route_freshness.Duty(
            self._is_watcher, self._store_unavailable, self._notifier.count()
        )

    async def _read_once(self) -> None:
        """Reads the table once, though this node is not to watch.

        A failure changes nothing: if each node kept retrying after one, all
        nodes would call the store during an outage.
        """
        if self._should_watch():
            return
        asked_s = time.monotonic()
        try:
            page = await self._store.read(self._prefix)
        except errors.PlatformUnavailableError as error:
            _LOG.info(
                "reading routes from the store failed",
                extra={"why": str(error)},
            )
            return
        for item in page.items:
            self._activator.accept_item(item)
        self._confirm(asked_s)

    def _should_watch(self) -> bool:
        """Whether this node should watch the store now."""
        unsure = time.monotonic() < self._suspects_isolation_until_s
        unsure = unsure or self._must_reread
        return (
            not self._has_read
            or self._store_unavailable
            or unsure
            or self._is_watcher
        )

    async def _wait_for_duty_change(self) -> None:
        self._duty_changed.clear()
        await self._duty_changed.wait()

    async def _watch_once(self) -> bool:
        """Waits for changes once; returns whether none can have been missed."""
        try:
            events = await self._watch.wait(self._after)
        except store_watch.StoppedError:
            return False
        except errors.PlatformUnavailableError as error:
            self._on_store_failure(str(error))
            await asyncio.sleep(self._pause_s())
            return False
        except errors.PlatformError:
            # The store's history may again be too short at the next watch.
            await asyncio.sleep(_REREAD_PAUSE_S)
            return False
        self._on_store_answer()
        self._accept_events(events)
        self._confirm(time.monotonic())
        return True

    def on_claim(self, address: str, claim: freshness.Claim) -> None:
        """Processes a peer's claim about its table."""
        if not address:
            return
        self.freshness.on_claim(address, claim)
        version = claim.version
        if not self._has_read and not self._store_unavailable:
            # The first read from the store is in flight, and may bring the same
            # or a newer table.
            if self._early_claim is None or version > self._early_claim[1]:
                self._early_claim = (address, version)
            return
        self._peers.fetch(address, version, self._own_watch_wait_s())

    async def fetch_from_peers(self, addresses: list[str]) -> bool:
        """Fetches the tables of some peers and activates the newest.

        The first peer to answer may itself be behind, so there is a short wait
        for the answers of the others.

        Returns:
            Whether a table is active.
        """
        asking = {
            asyncio.create_task(self._peers.fetch_now(address))
            for address in addresses
        }
        try:
            while asking and self._resolver.table is None:
                _, asking = await asyncio.wait(
                    asking, return_when=asyncio.FIRST_COMPLETED
                )
            if asking:
                await asyncio.wait(asking, timeout=_MORE_ANSWERS_S)
        finally:
            for task in asking:
                task.cancel()
        return self._resolver.table is not None

    def _fetch_early_claim(self) -> None:
        """Fetches a table newer than the store's that a peer claimed meanwhile.

        The store may have been restored from an older copy.
        """
        claim, self._early_claim = self._early_claim, None
        if claim is not None:
            self._peers.fetch(*claim, self._own_watch_wait_s())

    def _own_watch_wait_s(self) -> float:
        watches = self._is_watcher and not self._store_unavailable
        return OWN_WATCH_WAIT_S if watches else 0.0

    def on_peer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a peer that asks for the table."""
        table = self._resolver.table
        return {"routes": table.to_json() if table else None}

    def _accept_events(self, events: store_lib.Events) -> None:
        for change in events.changes:
            if isinstance(change, store_lib.Item):
                self._activator.accept_item(change)
        if not self._must_reread:
            self._after = events.revision
            self.checks.on_read(events.revision)

    def _pause_s(self) -> float:
        """Returns how long to wait before the next request to the store."""
        return self._store.link.backoff.wait_s(time.monotonic())

    def _on_store_failure(self, why: str) -> None:
        if not self._store_unavailable:
            self._recorder.record(time.time(), "store.lost", why=why)
            self._notifier.notify_store_unavailable(True)
        self._store_unavailable = True

    def _on_store_answer(self) -> None:
        self._answered_at_s = time.monotonic()
        if self._store_unavailable:
            self._recorder.record(time.time(), "store.regained")
            self._notifier.notify_store_unavailable(False)
            self._on_store_recovered()
        self._store_unavailable = False
