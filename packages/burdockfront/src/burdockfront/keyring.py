"""Key ring for signing and authentication, with key rotation at run time.

The first key signs; all keys verify. To rotate a key, add the new one as second
on all nodes, then make it the first, then remove the old one. Each step is a
reload (SIGHUP), not a restart.
"""

import base64
import hashlib
import hmac

from burdockfront import errors

_MIN_KEY_BYTES = 16
_TAG_BYTES = 12


class KeyRing:
    """Signs with the first key and verifies with any.

    Args:
        keys: At least one key, unless `open_ring`.
        open_ring: Signs nothing and accepts everything. Only for networks in
            which only nodes can reach the internal ports.
    """

    def __init__(self, keys: list[str], open_ring: bool = False):
        self._open = open_ring
        self.replace(keys)

    @property
    def is_open(self) -> bool:
        """Whether payloads are neither signed nor verified."""
        return self._open

    def replace(self, keys: list[str]) -> None:
        """Replaces the keys at run time.

        Raises:
            SettingsError: There is no key, or one is too short. The old keys
                stay in use.
        """
        if not self._open:
            _check(keys)
        self._keys = tuple(key.encode() for key in keys)
        self._mac_keys = tuple(
            hashlib.sha256(key).digest() for key in self._keys
        )

    def pack(self, payload: bytes) -> bytes:
        """Encodes a payload for sending in front of its tag.

        Without keys it is not encoded: it is never copied by hand, and each
        byte between data centres costs money.
        """
        return payload if self._open else base64.urlsafe_b64encode(payload)

    def unpack(self, packed: str) -> bytes:
        """Decodes a packed payload."""
        data = packed.encode()
        return data if self._open else base64.urlsafe_b64decode(data)

    def sign(self, payload: bytes) -> str:
        """Returns the hexadecimal tag of a payload."""
        if self._open:
            return ""
        return _tag(self._mac_keys[0], payload)

    def verify(self, payload: bytes, tag: str) -> bool:
        """Whether any key made this tag, in constant time per key."""
        if self._open:
            return True
        presented = tag.encode()
        valid = False
        for mac_key in self._mac_keys:
            expected = _tag(mac_key, payload).encode()
            valid |= hmac.compare_digest(expected, presented)
        return valid

    def accepts(self, key: str) -> bool:
        """Whether a presented key is in this ring, in constant time per key."""
        if self._open:
            return True
        presented = hashlib.sha256(key.encode()).digest()
        valid = False
        for own in self._keys:
            expected = hashlib.sha256(own).digest()
            valid |= hmac.compare_digest(expected, presented)
        return valid

    def first(self) -> str:
        """Returns the key to present to other nodes."""
        return "" if self._open else self._keys[0].decode()


def _check(keys: list[str]) -> None:
    if not keys:
        raise errors.SettingsError(
            "expected at least one key, got none; generate one with "
            "'burdockfront-ctl new-key'."
        )
    for key in keys:
        if len(key.encode()) < _MIN_KEY_BYTES:
            raise errors.SettingsError(
                f"expected keys of at least {_MIN_KEY_BYTES} bytes, got one "
                f"of {len(key.encode())}; generate one with "
                f"'burdockfront-ctl new-key'."
            )


def _tag(mac_key: bytes, payload: bytes) -> str:
    """Returns a keyed BLAKE2b tag, which is cheaper than HMAC here."""
    return hashlib.blake2b(
        payload, key=mac_key, digest_size=_TAG_BYTES
    ).hexdigest()
