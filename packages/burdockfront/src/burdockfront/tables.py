"""A versioned table of key-value entries that nodes replicate by gossip.

Membership and configuration are both tables of (key, version, value). Merging
keeps the higher version of each key. Versions only grow, so merging is
commutative, idempotent and monotonic, whatever messages the network loses,
repeats or reorders:

    after merge(e): version(key) == max(version before, e.version)

Entries spread in two ways. A change is pushed immediately to a few peers, which
push it on (see `BroadcastQueue`); it reaches all nodes within a few network
delays. Entries that a push missed are found by anti-entropy sync: a table is
hashed into buckets, the bucket digests are compared, and only buckets that
differ are exchanged. While the tables are equal, a sync costs one digest.
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
        version: Increases with each change; compared as a tuple.
        value: JSON value.
    """

    key: str
    version: tuple[int, ...]
    value: dict[str, Any]

    def to_json(self) -> list[Any]:
        """Returns the form that is sent between nodes."""
        return [self.key, list(self.version), self.value]


def entry_from_json(data: Any) -> Entry:
    """Parses an entry.

    Raises:
        InvalidInputError: The data does not have the shape of an entry.
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
    """Entries by key, with incrementally updated digests."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._digests = [0] * _BUCKETS
        # Digest of all buckets; empty after a change. Each message between
        # peers carries it, and tables hardly ever change.
        self._digest = ""

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> Entry | None:
        """Returns the entry of a key."""
        return self._entries.get(key)

    def entries(self) -> list[Entry]:
        """Returns all entries."""
        return list(self._entries.values())

    def merge(self, entry: Entry) -> bool:
        """Stores an entry if it is newer than the stored one.

        Returns:
            Whether the table changed.
        """
        stored = self._entries.get(entry.key)
        if stored is not None and not _newer(entry, stored):
            return False
        bucket = _bucket_of(entry.key)
        if stored is not None:
            self._digests[bucket] ^= _hash(stored)
        self._digests[bucket] ^= _hash(entry)
        self._digest = ""
        self._entries[entry.key] = entry
        return True

    def remove(self, key: str) -> None:
        """Removes a key; only for entries that no peer will send again."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._digests[_bucket_of(key)] ^= _hash(entry)
            self._digest = ""

    def digest(self) -> str:
        """Returns a short text that is equal for equal tables."""
        if not self._digest:
            packed = orjson.dumps(self._digests)
            self._digest = xxhash.xxh3_64_hexdigest(packed)
        return self._digest

    def bucket_digests(self) -> list[int]:
        """Returns the digest of each bucket."""
        return list(self._digests)

    def differing(self, peer_digests: list[int]) -> list[Entry]:
        """Returns this table's entries in the buckets that differ.

        Args:
            peer_digests: The bucket digests of the peer's table.

        Raises:
            InvalidInputError: The peer uses another number of buckets.
        """
        if len(peer_digests) != _BUCKETS:
            raise errors.InvalidInputError(
                f"expected {_BUCKETS} bucket digests, got "
                f"{len(peer_digests)}; all nodes must run compatible releases."
            )
        unequal = {
            i
            for i, digest in enumerate(self._digests)
            if digest != peer_digests[i]
        }
        return [
            e for e in self._entries.values() if _bucket_of(e.key) in unequal
        ]


class BroadcastQueue:
    """Queue of recently changed keys that are still to be pushed to peers.

    Each change is sent to `sends` peers drawn at random. If every node sends
    it to s peers, about 1 - exp(-s) of the nodes receive it; anti-entropy sync
    reaches the rest. Sending to more peers is the largest cost in a burst of
    changes.

    Args:
        sends: Number of peers to which each change is sent.
    """

    def __init__(self, sends: int):
        self._sends = sends
        self._sends_left: dict[str, int] = {}

    def add(self, key: str, first: bool = False) -> None:
        """Queues a changed key.

        Args:
            key: The key that changed.
            first: Send it before all other keys; for a change that only this
                node knows so far.
        """
        self._sends_left[key] = self._sends + (1 if first else 0)

    def take(self, max_keys: int, peers: int = 1) -> list[str]:
        """Returns keys for one message, least often sent keys first.

        Args:
            max_keys: Maximum number of keys.
            peers: Number of peers that receive the message.
        """
        keys = sorted(self._sends_left, key=lambda key: -self._sends_left[key])[
            :max_keys
        ]
        for key in keys:
            self._sends_left[key] -= peers
            if self._sends_left[key] <= 0:
                del self._sends_left[key]
        return keys

    def __bool__(self) -> bool:
        return bool(self._sends_left)


def _newer(entry: Entry, stored: Entry) -> bool:
    if entry.version != stored.version:
        return entry.version > stored.version
    # Equal versions with different values can only come from a fault. All
    # nodes must still converge on the same value, or digests differ for ever.
    return _hash(entry) > _hash(stored)


def _bucket_of(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % _BUCKETS


def _hash(entry: Entry) -> int:
    data = orjson.dumps(entry.to_json(), option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh3_64_intdigest(data) & _MASK
