"""Which requests were at backend servers that crashed, and what follows.

One request may crash every server that runs it. Its caller repeats it under
other ids and at other nodes, so all bounds that are kept for an id (retries,
servers for one attempt) begin anew with each repeat, and a service is down for
as long as the caller goes on. Here crashes are counted by what a request asks
for, over all nodes:

| crashes since it was last answered | its repeats                            |
|------------------------------------|----------------------------------------|
| 0                                  | run as ever                            |
| 1                                  | run, but no two suspects at one server |
| 2                                  | are refused for some seconds, then as 1 |
| 3 and more                         | are refused                            |

Crashes count for the client account that asked: what crashes servers from one
may be answered to another. Where no single account was at all of them they
count for everybody, since then it is the request itself.

All that was at a server is suspected of its crash, so most suspects are
innocent. Run one at a time, the next crash has one suspect of the last crash
among it, not all of them; an innocent one is answered, and thereby acquitted.

Crashes and acquittals are entries of a table that nodes exchange. Each is
written once, by the node beside the server (more suspects only raise the
version), so merging them in any order, any number of times, is the same; and
each is forgotten everywhere when it is of a certain age.
"""

import dataclasses
import enum
from collections.abc import Iterable

from burdockfront import errors
from burdockfront import tables

_MS_PER_S = 1000
# More crashes and acquittals than that are no work of single requests.
_MOST_ENTRIES = 4096
_DROPPED_AT_ONCE = 512
_CRASH = "crash"
_ACQUITTAL = "acquittal"
# Between service and account; in the name of neither.
_SEPARATOR = " "


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """How long repeats of a suspect are refused.

    Attributes:
        crashes: After so many it is refused as long as they are remembered.
        pause_s: After one crash less it is refused for this long: a server
            that crashed is back by then, so a service of three servers does
            not lose the third while the others are away.
        remember_s: How long a crash counts. A request that never crashes
            more than two servers in this time is not worth more trouble; one
            that was mended is served again after it.
    """

    crashes: int = 3
    pause_s: float = 5.0
    remember_s: float = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """What was at a server when it crashed.

    Attributes:
        fingerprint: What was asked for; see `fingerprints`.
        caller: Service beside which it entered; empty if that is not known.
        account: Client account that asked; empty for calls, and where there
            are no accounts.
    """

    fingerprint: str
    caller: str = ""
    account: str = ""

    @property
    def source(self) -> str:
        """Whence it came, as it travels."""
        if not self.account:
            return self.caller
        return f"{self.caller}{_SEPARATOR}{self.account}"


def _suspect_of(fingerprint: str, source: str) -> Suspect:
    caller, _, account = source.partition(_SEPARATOR)
    return Suspect(fingerprint, caller, account)


class Standing(enum.Enum):
    """How a request is to be treated."""

    CLEAR = "clear"
    ALONE = "alone"
    PAUSED = "paused"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """The standing of a request.

    Attributes:
        standing: How it is to be treated.
        refused_s: How much longer it is refused; 0 if it is not.
    """

    standing: Standing
    refused_s: float = 0.0


_CLEAR = Assessment(Standing.CLEAR)
_ALONE = Assessment(Standing.ALONE)


@dataclasses.dataclass(slots=True)
class _Record:
    """What counts against a request.

    Attributes:
        sources_of: By crash, the sources whose copies were at the server and
            were not answered since.
        heard_at_s: Monotonic time at which the last crash was heard of.
    """

    sources_of: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    heard_at_s: float = 0.0

    def count_for(self, account: str) -> int:
        """Returns how many crashes count for requests of an account."""
        found = [
            {_suspect_of("", source).account for source in sources}
            for sources in self.sources_of.values()
        ]
        if not set.intersection(*found):
            return len(found)
        return sum(account in accounts for accounts in found)


class CrashTracker:
    """The crashes that one node knows of.

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
        """Requests that at least one crash counts against."""
        return len(self._records)

    @property
    def quarantined(self) -> list[str]:
        """Fingerprints of requests that are refused until further notice."""
        return [
            fingerprint
            for fingerprint, record in self._records.items()
            if len(record.sources_of) >= self._rules.crashes
        ]

    def assess(
        self, suspect: Suspect, now_s: float, wall_s: float
    ) -> Assessment:
        """Tells how a request is to be treated.

        Args:
            suspect: What it asks for, and whence.
            now_s: Monotonic time.
            wall_s: Wall clock.
        """
        record = self._records.get(suspect.fingerprint)
        if record is None:
            return _CLEAR
        count = record.count_for(suspect.account)
        if count >= self._rules.crashes:
            refused_s = self._remembered_s(record, wall_s)
            return Assessment(Standing.QUARANTINED, refused_s)
        paused_s = record.heard_at_s + self._rules.pause_s - now_s
        if count == self._rules.crashes - 1 and paused_s > 0.0:
            return Assessment(Standing.PAUSED, paused_s)
        return _ALONE

    def acquittals_of(
        self, suspect: Suspect, wall_s: float
    ) -> list[tables.Entry]:
        """Returns entries that end what counts against an answered request.

        Only for crashes that a copy of the same caller was at: a request that
        a server bears from one caller may crash it from another.
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
        """Returns entries that end all that counts against a request."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        return [
            _acquittal_entry(crash_id, _suspect_of(fingerprint, source), wall_s)
            for crash_id, sources in record.sources_of.items()
            for source in sources
        ]

    def is_reported_by(self, fingerprint: str, boot_id: str) -> bool:
        """Whether a process told of a crash that counts against a request."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        mine = f"{boot_id}."
        return any(crash.startswith(mine) for crash in record.sources_of)

    def crash_entries_of(self, fingerprint: str) -> list[tables.Entry]:
        """Returns the crashes that count against a request, of it alone."""
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
        """Takes an entry, from wherever it came.

        Args:
            entry: A crash or an acquittal.
            now_s: Monotonic time.
            wall_s: Wall clock.

        Returns:
            Whether it was news.

        Raises:
            InvalidInputError: It is neither.
        """
        note = _read(entry)
        if note.at_s + self._rules.remember_s < wall_s:
            # Forgotten here; a peer whose clock is behind still has it.
            return False
        if not self._table.merge(entry):
            return False
        if note.acquits:
            self._acquit(note)
        else:
            self._accuse(note, now_s)
        self._drop_oldest()
        return True

    def forget(self, wall_s: float) -> None:
        """Forgets what is too old to count."""
        for entry in self._table.entries():
            if _read(entry).at_s + self._rules.remember_s < wall_s:
                self._remove(entry)

    def _accuse(self, note: "_Note", now_s: float) -> None:
        acquitted = self._acquitted.get(note.crash_id, set())
        for suspect in note.suspects:
            if suspect in acquitted:
                continue
            record = self._records.setdefault(suspect.fingerprint, _Record())
            if note.crash_id not in record.sources_of:
                record.heard_at_s = now_s
            sources = record.sources_of.setdefault(note.crash_id, set())
            sources.add(suspect.source)

    def _acquit(self, note: "_Note") -> None:
        for suspect in note.suspects:
            self._acquitted.setdefault(note.crash_id, set()).add(suspect)
            self._strike(note.crash_id, suspect)

    def _strike(self, crash_id: str, suspect: Suspect) -> None:
        """Lets a crash no longer count against a request."""
        record = self._records.get(suspect.fingerprint)
        if record is None or crash_id not in record.sources_of:
            return
        record.sources_of[crash_id].discard(suspect.source)
        if not record.sources_of[crash_id]:
            del record.sources_of[crash_id]
        if not record.sources_of:
            del self._records[suspect.fingerprint]

    def _remove(self, entry: tables.Entry) -> None:
        note = _read(entry)
        self._table.remove(entry.key)
        if note.acquits:
            for suspect in note.suspects:
                self._acquitted.get(note.crash_id, set()).discard(suspect)
            if not self._acquitted.get(note.crash_id):
                self._acquitted.pop(note.crash_id, None)
            return
        for suspect in note.suspects:
            self._strike(note.crash_id, suspect)

    def _drop_oldest(self) -> None:
        if len(self._table) > _MOST_ENTRIES:
            entries = self._table.entries()
            entries.sort(key=lambda entry: _read(entry).at_s)
            for entry in entries[:_DROPPED_AT_ONCE]:
                self._remove(entry)

    def _at_s(self, crash_id: str) -> float:
        entry = self._table.get(_crash_key(crash_id))
        assert entry is not None, "what counts is in the table"
        return _read(entry).at_s

    def _remembered_s(self, record: _Record, wall_s: float) -> float:
        """Returns when so many crashes are forgotten that it runs again."""
        times_s = sorted(map(self._at_s, record.sources_of))
        last_to_go_s = times_s[-self._rules.crashes]
        return max(1.0, last_to_go_s + self._rules.remember_s - wall_s)


def is_acquittal(entry: tables.Entry) -> bool:
    """Whether an entry is an acquittal, not a crash."""
    return entry.key.startswith(f"{_ACQUITTAL}/")


def crash_id_of(boot_id: str, number: int) -> str:
    """Returns the name of a crash: the process that saw it, and a number."""
    return f"{boot_id}.{number}"


def crash_entry(
    crash_id: str, suspects: Iterable[Suspect], at_s: float
) -> tables.Entry:
    """Returns the entry of a crash.

    Args:
        crash_id: Names it among the crashes of all nodes; see `crash_id_of`.
        suspects: What was at the server; later only more.
        at_s: Wall clock of the crash.
    """
    found = sorted(
        {(suspect.fingerprint, suspect.source) for suspect in suspects}
    )
    value = {
        "at_ms": round(at_s * _MS_PER_S),
        "suspects": [list(pair) for pair in found],
    }
    return tables.Entry(_crash_key(crash_id), (len(found),), value)


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
class _Note:
    """What an entry says."""

    acquits: bool
    crash_id: str
    at_s: float
    suspects: tuple[Suspect, ...]


def _read(entry: tables.Entry) -> _Note:
    """Reads an entry.

    Raises:
        InvalidInputError: It is neither a crash nor an acquittal.
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
    return _Note(kind == _ACQUITTAL, crash_id, at_s, suspects)
