"""Tracks requests that were in flight at backend servers that crashed.

A single request may crash every server that runs it. Its caller repeats it
under other ids and at other nodes, so all bounds that are kept per id (retries,
servers per attempt) start over with each repeat, and a service stays down for
as long as the caller retries. Crashes are therefore counted by the content of a
request, over all nodes:

| crashes since its last answer | its repeats                                |
|-------------------------------|--------------------------------------------|
| 0                             | run as usual                               |
| 1                             | run, but one suspect at a time per server  |
| 2                             | are refused for some seconds, then as 1    |
| 3 and more                    | are refused                                |

Crashes count for the client account that sent the request: a request that
crashes servers for one account may be answered for another. If no single
account was involved in all of the crashes, they count for every account,
because the request itself is then the cause.

Every request in flight at a server is suspected of its crash, so most suspects
are innocent. Because suspects run one at a time, the next crash involves only
one suspect of the previous crash; an innocent suspect is answered, and thereby
acquitted.

Crashes and acquittals are entries of a table that nodes exchange. Each entry is
written once, by the node beside the server (further suspects only raise its
version), so merging entries is commutative and idempotent. All nodes remove an
entry at the same age.
"""

import dataclasses
import enum
from collections.abc import Iterable

from burdockfront import errors
from burdockfront import tables

_MS_PER_S = 1000
# More crashes and acquittals than this are not caused by single requests.
_MAX_ENTRIES = 4096
_EVICTION_BATCH = 512
_CRASH = "crash"
_ACQUITTAL = "acquittal"
# Separates service and account; neither name contains it.
_SEPARATOR = " "


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """How long repeats of a suspect are refused.

    Attributes:
        crashes: Number of crashes after which a suspect is refused until
            crashes expire.
        pause_s: Time for which a suspect is refused after one crash less. A
            crashed server has restarted by then, so a service of three
            servers does not lose the third while the other two are down.
        remember_s: Time for which a crash counts. Requests that crash no more
            than two servers in this time need no further measures. A request
            that no longer crashes servers is served again after it.
    """

    crashes: int = 3
    pause_s: float = 5.0
    remember_s: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request that was in flight at a server when it crashed.

    Attributes:
        fingerprint: Digest of the request's content; see `fingerprints`.
        caller: Service at whose node the request entered; empty if unknown.
        account: Client account that sent it; empty for calls by backend
            servers, and if there are no accounts.
    """

    fingerprint: str
    caller: str = ""
    account: str = ""

    @property
    def source(self) -> str:
        """Caller and account, as encoded in table entries."""
        if not self.account:
            return self.caller
        return f"{self.caller}{_SEPARATOR}{self.account}"


def _suspect_of(fingerprint: str, source: str) -> Suspect:
    caller, _, account = source.partition(_SEPARATOR)
    return Suspect(fingerprint, caller, account)


class Standing(enum.Enum):
    """How a request is handled.

    Attributes:
        CLEAR: It runs as usual.
        ALONE: It runs with no other suspect at the server.
        PAUSED: It is refused for `Rules.pause_s`, then runs as `ALONE`.
        QUARANTINED: It is refused until crashes expire.
    """

    CLEAR = "clear"
    ALONE = "alone"
    PAUSED = "paused"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """The standing of a request.

    Attributes:
        standing: How the request is handled.
        refused_s: Remaining time for which it is refused; 0 if it is not.
    """

    standing: Standing
    refused_s: float = 0.0


_CLEAR = Assessment(Standing.CLEAR)
_ALONE = Assessment(Standing.ALONE)


@dataclasses.dataclass(slots=True)
class _Record:
    """The crashes that count against a request.

    Attributes:
        sources_of: By crash id, the sources whose copies of the request were
            at the server and have not been answered since.
        updated_at_s: Monotonic time at which this node learned of the latest
            crash.
    """

    sources_of: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    updated_at_s: float = 0.0

    def count_for(self, account: str) -> int:
        """Returns the number of crashes that count for an account."""
        account_sets = [
            {_suspect_of("", source).account for source in sources}
            for sources in self.sources_of.values()
        ]
        if not set.intersection(*account_sets):
            return len(account_sets)
        return sum(account in accounts for accounts in account_sets)


class CrashTracker:
    """Tracks the crashes that one node knows of.

    Args:
        rules: How long repeats of a suspect are refused.
    """

    def __init__(self, rules: Rules | None = None):
        self._rules = rules or Rules()
        self._table = tables.Table()
        self._records: dict[str, _Record] = {}
        self._acquitted: dict[str, set[Suspect]] = {}

    @property
    def table(self) -> tables.Table:
        """The table that is exchanged with peers."""
        return self._table

    @property
    def suspects(self) -> int:
        """Number of requests that at least one crash counts against."""
        return len(self._records)

    @property
    def quarantined(self) -> list[str]:
        """Fingerprints of requests with enough crashes for quarantine."""
        return [
            fingerprint
            for fingerprint, record in self._records.items()
            if len(record.sources_of) >= self._rules.crashes
        ]

    def assess(
        self, suspect: Suspect, now_s: float, wall_s: float
    ) -> Assessment:
        """Returns how a request is handled.

        Args:
            suspect: Content and source of the request.
            now_s: Monotonic time.
            wall_s: Wall clock time.
        """
        record = self._records.get(suspect.fingerprint)
        if record is None:
            return _CLEAR
        count = record.count_for(suspect.account)
        if count >= self._rules.crashes:
            refused_s = self._quarantined_s(record, wall_s)
            return Assessment(Standing.QUARANTINED, refused_s)
        paused_s = record.updated_at_s + self._rules.pause_s - now_s
        if count == self._rules.crashes - 1 and paused_s > 0.0:
            return Assessment(Standing.PAUSED, paused_s)
        return _ALONE

    def acquittals_of(
        self, suspect: Suspect, wall_s: float
    ) -> list[tables.Entry]:
        """Returns entries that acquit an answered request.

        They cover only crashes with a copy from the same source: a request
        that a server answers for one caller may crash it for another.
        """
        record = self._records.get(suspect.fingerprint)
        if record is None:
            return []
        return [
            _acquittal_entry(crash_id, suspect, wall_s)
            for crash_id, sources in record.sources_of.items()
            if suspect.source in sources
        ]

    def release_of(self, fingerprint: str, wall_s: float) -> list[tables.Entry]:
        """Returns entries that acquit a request of all crashes."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        return [
            _acquittal_entry(crash_id, _suspect_of(fingerprint, source), wall_s)
            for crash_id, sources in record.sources_of.items()
            for source in sources
        ]

    def is_reported_by(self, fingerprint: str, boot_id: str) -> bool:
        """Whether a process reported a crash that counts against a request."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        prefix = f"{boot_id}."
        return any(crash.startswith(prefix) for crash in record.sources_of)

    def crash_entries_of(self, fingerprint: str) -> list[tables.Entry]:
        """Returns the crashes of a request, without their other suspects."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        return [
            crash_entry(
                crash_id,
                [_suspect_of(fingerprint, source) for source in sources],
                self._at_s(crash_id),
            )
            for crash_id, sources in record.sources_of.items()
        ]

    def merge(self, entry: tables.Entry, now_s: float, wall_s: float) -> bool:
        """Merges an entry of this node, a peer or the store.

        Args:
            entry: A crash or an acquittal.
            now_s: Monotonic time.
            wall_s: Wall clock time.

        Returns:
            Whether the entry changed the table.

        Raises:
            InvalidInputError: The entry is neither a crash nor an acquittal.
        """
        event = _decode(entry)
        if event.at_s + self._rules.remember_s < wall_s:
            # Expired here; a peer whose clock is behind still has it.
            return False
        if not self._table.merge(entry):
            return False
        if event.acquits:
            self._acquit(event)
        else:
            self._add_suspects(event, now_s)
        self._evict_oldest()
        return True

    def forget(self, wall_s: float) -> None:
        """Removes entries that are too old to count."""
        for entry in self._table.entries():
            if _decode(entry).at_s + self._rules.remember_s < wall_s:
                self._remove(entry)

    def _add_suspects(self, event: "_Event", now_s: float) -> None:
        acquitted = self._acquitted.get(event.crash_id, set())
        for suspect in event.suspects:
            if suspect in acquitted:
                continue
            record = self._records.setdefault(suspect.fingerprint, _Record())
            if event.crash_id not in record.sources_of:
                record.updated_at_s = now_s
            sources = record.sources_of.setdefault(event.crash_id, set())
            sources.add(suspect.source)

    def _acquit(self, event: "_Event") -> None:
        for suspect in event.suspects:
            self._acquitted.setdefault(event.crash_id, set()).add(suspect)
            self._remove_suspect(event.crash_id, suspect)

    def _remove_suspect(self, crash_id: str, suspect: Suspect) -> None:
        """Stops counting a crash against a request."""
        record = self._records.get(suspect.fingerprint)
        if record is None or crash_id not in record.sources_of:
            return
        record.sources_of[crash_id].discard(suspect.source)
        if not record.sources_of[crash_id]:
            del record.sources_of[crash_id]
        if not record.sources_of:
            del self._records[suspect.fingerprint]

    def _remove(self, entry: tables.Entry) -> None:
        event = _decode(entry)
        self._table.remove(entry.key)
        if event.acquits:
            for suspect in event.suspects:
                self._acquitted.get(event.crash_id, set()).discard(suspect)
            if not self._acquitted.get(event.crash_id):
                self._acquitted.pop(event.crash_id, None)
            return
        for suspect in event.suspects:
            self._remove_suspect(event.crash_id, suspect)

    def _evict_oldest(self) -> None:
        if len(self._table) > _MAX_ENTRIES:
            entries = self._table.entries()
            entries.sort(key=lambda entry: _decode(entry).at_s)
            for entry in entries[:_EVICTION_BATCH]:
                self._remove(entry)

    def _at_s(self, crash_id: str) -> float:
        entry = self._table.get(_crash_key(crash_id))
        assert entry is not None, "crashes that count are in the table"
        return _decode(entry).at_s

    def _quarantined_s(self, record: _Record, wall_s: float) -> float:
        """Returns the time until the quarantine ends by expiry of crashes."""
        times_s = sorted(map(self._at_s, record.sources_of))
        last_needed_s = times_s[-self._rules.crashes]
        return max(1.0, last_needed_s + self._rules.remember_s - wall_s)


def is_acquittal(entry: tables.Entry) -> bool:
    """Whether an entry is an acquittal rather than a crash."""
    return entry.key.startswith(f"{_ACQUITTAL}/")


def crash_id_of(boot_id: str, number: int) -> str:
    """Returns a crash id, made of the observing process and a number."""
    return f"{boot_id}.{number}"


def crash_entry(
    crash_id: str, suspects: Iterable[Suspect], at_s: float
) -> tables.Entry:
    """Returns the table entry of a crash.

    Args:
        crash_id: Unique over all nodes; see `crash_id_of`.
        suspects: Requests in flight at the server. Later entries of the same
            crash may only add suspects.
        at_s: Wall clock time of the crash.
    """
    pairs = sorted(
        {(suspect.fingerprint, suspect.source) for suspect in suspects}
    )
    value = {
        "at_ms": round(at_s * _MS_PER_S),
        "suspects": [list(pair) for pair in pairs],
    }
    return tables.Entry(_crash_key(crash_id), (len(pairs),), value)


def _acquittal_entry(
    crash_id: str, suspect: Suspect, at_s: float
) -> tables.Entry:
    key = f"{_ACQUITTAL}/{crash_id}/{suspect.fingerprint}/{suspect.source}"
    value = {
        "at_ms": round(at_s * _MS_PER_S),
        "suspects": [[suspect.fingerprint, suspect.source]],
    }
    return tables.Entry(key, (1,), value)


def _crash_key(crash_id: str) -> str:
    return f"{_CRASH}/{crash_id}"


@dataclasses.dataclass(frozen=True, slots=True)
class _Event:
    """Decoded table entry."""

    acquits: bool
    crash_id: str
    at_s: float
    suspects: tuple[Suspect, ...]


def _decode(entry: tables.Entry) -> _Event:
    """Decodes a table entry.

    Raises:
        InvalidInputError: The entry is neither a crash nor an acquittal.
    """
    try:
        kind, crash_id = entry.key.split("/")[:2]
        at_s = entry.value["at_ms"] / _MS_PER_S
        suspects = tuple(
            _suspect_of(str(fingerprint), str(source))
            for fingerprint, source in entry.value["suspects"]
        )
    except (LookupError, TypeError, ValueError):
        kind = ""
    if kind not in (_CRASH, _ACQUITTAL):
        raise errors.InvalidInputError(
            f"expected a crash or an acquittal, got {entry.key[:80]!r}; all "
            f"nodes must run compatible releases."
        )
    return _Event(kind == _ACQUITTAL, crash_id, at_s, suspects)
