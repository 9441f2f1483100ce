"""Operators' table of routes: from the store, from peers, or from both.

A few nodes watch the store (`burdockfront.watchers`) and tell the others as
soon as a version is in force there; each fetches the table from whoever told
it, and tells others in turn. Messages of the exchange carry the version, so
what such news missed is found by the next probe.

A node asks the store itself

* once when it starts: a peer may be a moment behind, and a node must not go
  back to a table that it had already replaced before it stopped;
* while it is one of the watchers, or the store did not answer its last
  question;
* in its turn, whoever watches (`route_checks`);
* once when nobody has confirmed its table for seconds (`route_freshness`);
* after a probe that a member did not answer: it may be this node that is cut
  off from the others, and it would go on under an old table without noticing,
  though callers and the store still reach it. Asking for each lost member costs
  a call or two.

Were every node to watch, each change would cost a call of each: 555 calls of
the store on a quiet day of 30 nodes, and more than the store allows in a second
when hundreds start together.
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
from burdockfront_node.controllers import route_checks
from burdockfront_node.controllers import route_freshness
from burdockfront_node.controllers import route_intake
from burdockfront_node.controllers import route_peers
from burdockfront_node.controllers import store as store_lib
from burdockfront_node.controllers import store_watch

_LOG = logging.getLogger(__name__)

ROUTES = route_peers.ROUTES
# Time for the own watch to bring what a peer knows already.
OWN_WATCH_FIRST_S = 0.1
# Two ways to and fro between regions, and some work there.
_OTHER_PEERS_S = 0.2
# Nodes that start together learn of each other in this time; before, each takes
# itself for one that is to watch.
_SETTLE_S = 0.3
# Stores keep a history of some tens of seconds. A watch from a revision that is
# older than this may be in vain, and costs a call more than reading at once.
_HISTORY_S = 10.0
# A store that has no history at all must not be asked without end.
_REREAD_PAUSE_S = 0.05
# A waiting watch covers this and more, so a doubt costs a read and a watch.
_DOUBT_S = 3.0


class RouteWatch:
    """Keeps the table in force up to date.

    Args:
        store: Client of the store.
        prefix: Prefix of operators' keys.
        read_table: Reads a table from an item.
        book: The table in force.
        link: The way to peers.
        recorder: Where events go.
        on_return: Called when the store answers again after failures.
        others: The other nodes, who are told what this one learns.
        rng: Source of randomness.

    Attributes:
        freshness: How long ago the table was known to be the newest.
        checks: Questions to the store in this node's turns.
    """

    def __init__(
        self,
        store: store_lib.StoreClient,
        prefix: str,
        read_table: route_intake.ReadTable,
        book: routes.RouteResolver,
        link: peer_link.PeerLink,
        recorder: timeline.Recorder,
        on_return: Callable[[], None],
        others: peer_notifier.PeerNotifier,
        rng: random.Random,
    ):
        self._others = others
        self._store = store
        self._prefix = prefix
        self._book = book
        self._recorder = recorder
        self._on_return = on_return
        self._after = 0
        self._away = False
        # Whether what was read is still the beginning of what is watched.
        self._reads_anew = False
        self._watch = store_watch.StoreWatch(
            store, prefix, self._confirm, self._on_duty
        )
        self._heard: tuple[str, int] | None = None
        self._intake = route_intake.RouteIntake(
            read_table,
            book,
            recorder,
            others.notify_routes,
            lambda: self.freshness.claim().age_s,
        )
        self.checks = route_checks.RouteChecks(
            store,
            prefix,
            lambda item: self._intake.take(item, "check"),
            self._confirm,
            lambda: self._has_read and not self._away,
            others.count,
            rng,
        )
        self._peers = route_peers.RoutePeers(
            book, link, self._intake.accept, self.doubt
        )
        self._chosen = False
        self._has_read = False
        self._doubts_until_s = 0.0
        # When the store last told what is current.
        self._current_at_s = 0.0
        self._duty = asyncio.Event()
        self.freshness = route_freshness.RouteFreshness(
            book, recorder, self._believed_duty, self._ask_once, rng
        )

    def choose(self, chosen: bool) -> None:
        """Takes whether this node is one of the watchers."""
        self._chosen = chosen
        self._duty.set()

    def doubt(self) -> None:
        """Notes that news may not reach this node: a peer was not reached."""
        self._doubts_until_s = time.monotonic() + _DOUBT_S
        self._duty.set()

    def store_came_back_older(self) -> None:
        """Notes that the store lost what it wrote last.

        Revisions count on from an older one, so that of the last read may lie
        in the future. What is in force here stays: operators write again what
        is lost, under the version that it had.
        """
        self._reads_anew = True
        self._duty.set()
        # It waits for changes after a revision that will be another one.
        self._watch.stop()

    @property
    def revision(self) -> int:
        """The store's revision up to which everything was heard."""
        return self._after

    @property
    def is_behind(self) -> bool:
        """Whether a newer table is on its way from a peer."""
        return self._peers.fetching

    @property
    def away(self) -> bool:
        """Whether the store did not answer the last question."""
        return self._away

    async def wait_for_routes(self, longest_s: float) -> None:
        """Waits until a table is in force, or for so long."""
        await self._intake.wait_for_first(longest_s)

    async def read(self) -> bool:
        """Reads the table anew; returns whether the store answered.

        Not a stale read: a node that starts must not go back to a table that
        it had already replaced before it stopped.
        """
        asked_s = time.monotonic()
        try:
            page = await self._store.read(self._prefix)
        except errors.PlatformUnavailableError as error:
            self._note_away(str(error))
            return False
        self._note_back()
        self._has_read = True
        self._reads_anew = False
        for item in page.items:
            self._intake.take(item)
        # Not the highest so far: a store that came back older counts anew.
        self._after = page.revision
        self.checks.seen(page.revision)
        self._confirm(asked_s)
        self._fetch_what_was_heard()
        return True

    async def watch_forever(self) -> None:
        """Reads once, and watches whenever that is up to this node."""
        known = False
        while True:
            if not self._on_duty():
                # A watch soon after goes on from the revision read last: what
                # has changed meanwhile comes at once.
                await self._wait_for_duty()
                age_s = time.monotonic() - self._current_at_s
                known = known and age_s < _HISTORY_S
                continue
            if not known or self._reads_anew:
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

    def _believed_duty(self) -> route_freshness.Duty:
        return route_freshness.Duty(
            self._chosen, self._away, self._others.count()
        )

    async def _ask_once(self) -> None:
        """Reads the table, though that is not up to this node.

        A failure changes nothing: were it to ask again and again from then on,
        an outage of the store would be met by the questions of all nodes.
        """
        if self._on_duty():
            return
        asked_s = time.monotonic()
        try:
            page = await self._store.read(self._prefix)
        except errors.PlatformUnavailableError as error:
            _LOG.info("the store was asked in vain", extra={"why": str(error)})
            return
        for item in page.items:
            self._intake.take(item)
        self._confirm(asked_s)

    def _on_duty(self) -> bool:
        """Whether this node is to ask the store now."""
        doubts = time.monotonic() < self._doubts_until_s
        doubts = doubts or self._reads_anew
        return not self._has_read or self._away or doubts or self._chosen

    async def _wait_for_duty(self) -> None:
        self._duty.clear()
        await self._duty.wait()

    async def _watch_once(self) -> bool:
        """Waits for changes once; returns whether nothing was missed."""
        try:
            events = await self._watch.wait(self._after)
        except store_watch.StoppedError:
            return False
        except errors.PlatformUnavailableError as error:
            self._note_away(str(error))
            await asyncio.sleep(self._pause_s())
            return False
        except errors.PlatformError:
            # Its history may be gone again by the time of the next watch.
            await asyncio.sleep(_REREAD_PAUSE_S)
            return False
        self._note_back()
        self._take_all(events)
        self._confirm(time.monotonic())
        return True

    def heard_of(self, address: str, claim: freshness.Claim) -> None:
        """Takes what a peer says of its table."""
        if not address:
            return
        self.freshness.heard(address, claim)
        version = claim.version
        if not self._has_read and not self._away:
            # The store's own answer is on its way; it may be enough.
            if self._heard is None or version > self._heard[1]:
                self._heard = (address, version)
            return
        self._peers.fetch(address, version, self._own_watch_first_s())

    async def ask_peers(self, addresses: list[str]) -> bool:
        """Takes the newest table of some peers; returns whether there is one.

        The first to answer may itself be behind, so the others are waited for
        a moment longer.
        """
        asking = {
            asyncio.create_task(self._peers.fetch_now(address))
            for address in addresses
        }
        try:
            while asking and self._book.table is None:
                _, asking = await asyncio.wait(
                    asking, return_when=asyncio.FIRST_COMPLETED
                )
            if asking:
                await asyncio.wait(asking, timeout=_OTHER_PEERS_S)
        finally:
            for task in asking:
                task.cancel()
        return self._book.table is not None

    def _fetch_what_was_heard(self) -> None:
        """Asks who knows a newer table than the store, which may be older."""
        heard, self._heard = self._heard, None
        if heard is not None:
            self._peers.fetch(*heard, self._own_watch_first_s())

    def _own_watch_first_s(self) -> float:
        watches = self._chosen and not self._away
        return OWN_WATCH_FIRST_S if watches else 0.0

    def on_peer(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a peer that asks for the table."""
        table = self._book.table
        return {"routes": table.to_json() if table else None}

    def _take_all(self, events: store_lib.Events) -> None:
        for change in events.changes:
            if isinstance(change, store_lib.Item):
                self._intake.take(change)
        if not self._reads_anew:
            self._after = events.revision
            self.checks.seen(events.revision)

    def _pause_s(self) -> float:
        """Returns how long to wait before the store is asked again."""
        return self._store.link.backoff.wait_s(time.monotonic())

    def _note_away(self, why: str) -> None:
        if not self._away:
            self._recorder.record(time.time(), "store.lost", why=why)
            self._others.notify_store_unavailable(True)
        self._away = True

    def _note_back(self) -> None:
        self._current_at_s = time.monotonic()
        if self._away:
            self._recorder.record(time.time(), "store.regained")
            self._others.notify_store_unavailable(False)
            self._on_return()
        self._away = False
