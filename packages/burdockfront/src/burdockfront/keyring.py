"""Keys that can be replaced without a stop.

The first key signs, every key verifies. To replace a key: put the new one
second on all nodes, then first, then drop the old one; each step is a reload
(SIGHUP), never a restart.
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
        keys: At least one, unless `open_ring`.
        open_ring: Without keys: everything is accepted. Only for networks in
            which nobody but nodes reaches the internal ports.
    """

    def __init__(self, keys: list[str], open_ring: bool = False):
        self._open = open_ring
        self.replace(keys)

    @property
    def is_open(self) -> bool:
        """Whether nothing is signed."""
        return self._open

    def replace(self, keys: list[str]) -> None:
        """Takes other keys, without a stop.

        Raises:
            SettingsError: There is none, or one is too short; the old keys
                stay.
        """
        if not self._open:
            _check(keys)
        self._keys = tuple(key.encode() for key in keys)
        self._mac_keys = tuple(
            hashlib.sha256(key).digest() for key in self._keys
        )

    def pack(self, payload: bytes) -> bytes:
        """Returns a payload as it travels in front of its tag.

        Without keys it stays as it is: nobody has to copy it by hand, and
        each byte is paid for between data centres.
        """
        return payload if self._open else base64.urlsafe_b64encode(payload)

    def unpack(self, packed: str) -> bytes:
        """Returns the payload of its packed form."""
        data = packed.encode()
        return data if self._open else base64.urlsafe_b64decode(data)

    def sign(self, payload: bytes) -> str:
        """Returns the hexadecimal tag of a payload."""
        if self._open:
            return ""
        return _tag(self._mac_keys[0], payload)

    def verify(self, payload: bytes, tag: str) -> bool:
        """Tells whether any key made this tag, in constant time per key."""
        if self._open:
            return True
        given = tag.encode()
        valid = False
        for mac_key in self._mac_keys:
            expected = _tag(mac_key, payload).encode()
            valid |= hmac.compare_digest(expected, given)
        return valid

    def accepts(self, key: str) -> bool:
        """Tells whether a presented key is one of ours, in constant time."""
        if self._open:
            return True
        given = hashlib.sha256(key.encode()).digest()
        valid = False
        for own in self._keys:
            expected = hashlib.sha256(own).digest()
            valid |= hmac.compare_digest(expected, given)
        return valid

    def first(self) -> str:
        """Returns the key to present to others."""
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
    """Returns a keyed BLAKE2b tag, cheaper than an HMAC object here."""
    return hashlib.blake2b(
        payload, key=mac_key, digest_size=_TAG_BYTES
    ).hexdigest()
