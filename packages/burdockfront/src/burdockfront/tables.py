"""A versioned table: the one mechanism that carries state between nodes.

Membership and configuration are both tables of (key, version, value). Merging
keeps the higher version of each key. Versions only grow, so merging is
commutative, idempotent and never goes back, whatever the network loses,
repeats or reorders:

    after merge(e): version(key) == max(version before, e.version)

Two ways spread entries. A change is pushed at once to a few peers, who push
it on (see `Rumors`): it reaches everybody in a few network delays. What a
push missed is found by comparing digests: a table is summed into buckets, and
only buckets that differ are exchanged. In steady state that costs one number.
"""

import dataclasses
from typing import Any

import orjson
import xxhash

from burdockfront import errors

_BUCKETS = 64
_MASK = (1 << 64) - 1


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One version of one key.

    Attributes:
        key: Name in the table.
        version: Grows with each change, compared as a tuple.
        value: JSON value.
    """

    key: str
    version: tuple[int, ...]
    value: dict[str, Any]

    def to_json(self) -> list[Any]:
        """Returns the form that travels."""
        return [self.key, list(self.version), self.value]


def entry_from_json(data: Any) -> Entry:
    """Reads an entry.

    Raises:
        InvalidInputError: It does not have the shape of an entry.
    """
    try:
        key, version, value = data
        parsed = tuple(int(part) for part in version)
    except (TypeError, ValueError):
        raise errors.InvalidInputError(
            f"expected an entry [key, version, value], got "
            f"{str(data)[:80]!r}; all nodes must run compatible releases."
        ) from None
    if not isinstance(key, str) or not isinstance(value, dict):
        raise errors.InvalidInputError(
            f"expected an entry of text key and object value, got "
            f"{str(data)[:80]!r}; all nodes must run compatible releases."
        )
    return Entry(key, parsed, value)


class Table:
    """Entries by key, with digests that are kept up to date."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._sums = [0] * _BUCKETS

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> Entry | None:
        """Returns the entry of a key."""
        return self._entries.get(key)

    def entries(self) -> list[Entry]:
        """Returns all entries."""
        return list(self._entries.values())

    def merge(self, entry: Entry) -> bool:
        """Takes an entry if it is newer than ours.

        Returns:
            Whether the table changed.
        """
        ours = self._entries.get(entry.key)
        if ours is not None and not _newer(entry, ours):
            return False
        bucket = _bucket_of(entry.key)
        if ours is not None:
            self._sums[bucket] ^= _hash(ours)
        self._sums[bucket] ^= _hash(entry)
        self._entries[entry.key] = entry
        return True

    def remove(self, key: str) -> None:
        """Forgets a key; only for entries that nobody will offer again."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._sums[_bucket_of(key)] ^= _hash(entry)

    def digest(self) -> str:
        """Returns one short text that is equal when tables are equal."""
        total = xxhash.xxh3_64_hexdigest(orjson.dumps(self._sums))
        return total

    def bucket_digests(self) -> list[int]:
        """Returns a number per bucket."""
        return list(self._sums)

    def differing(self, others: list[int]) -> list[Entry]:
        """Returns our entries of the buckets that differ.

        Raises:
            InvalidInputError: The peer sums into another number of buckets.
        """
        if len(others) != _BUCKETS:
            raise errors.InvalidInputError(
                f"expected {_BUCKETS} bucket digests, got {len(others)}; all "
                f"nodes must run compatible releases."
            )
        wrong = {i for i, total in enumerate(self._sums) if total != others[i]}
        return [e for e in self._entries.values() if _bucket_of(e.key) in wrong]


class BroadcastQueue:
    """Keys that changed lately and are still to be passed on.

    Each change is told to `sends` peers drawn at random. If every node tells
    it to s peers, about 1 - exp(-s) of the nodes are reached; the digests
    find the rest. Telling more is what costs most in a burst of news.
    """

    def __init__(self, sends: int):
        self._sends = sends
        self._left: dict[str, int] = {}

    def add(self, key: str, first: bool = False) -> None:
        """Starts to pass a change on.

        Args:
            key: What changed.
            first: Before all others, for what only this node knows yet.
        """
        self._left[key] = self._sends + (1 if first else 0)

    def take(self, most: int, peers: int = 1) -> list[str]:
        """Returns keys for one message, those told least first.

        Args:
            most: Largest number of keys.
            peers: How many peers get the message.
        """
        keys = sorted(self._left, key=lambda key: -self._left[key])[:most]
        for key in keys:
            self._left[key] -= peers
            if self._left[key] <= 0:
                del self._left[key]
        return keys

    def __bool__(self) -> bool:
        return bool(self._left)


def _newer(entry: Entry, ours: Entry) -> bool:
    if entry.version != ours.version:
        return entry.version > ours.version
    # Equal versions with different values can only come from a fault. All
    # nodes must still settle on the same one, or digests differ for ever.
    return _hash(entry) > _hash(ours)


def _bucket_of(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % _BUCKETS


def _hash(entry: Entry) -> int:
    data = orjson.dumps(entry.to_json(), option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh3_64_intdigest(data) & _MASK
