"""Cache of header names in lower case, the form that all comparisons use.

Every message has the same few dozen header names, in a few spellings. Decoding
and lowering each of them for each message was a sixth of all function calls of
a relayed request, so the results are cached.
"""

# Senders can invent any number of names, so the cache is limited to this many.
_MAX_CACHED = 1024


class _LoweredNames(dict[bytes, str]):
    """Names in lower case by their received spelling."""

    def __missing__(self, raw: bytes) -> str:
        """Returns a name in lower case and caches it, if there is room."""
        name = raw.decode("latin-1").lower()
        if len(self) < _MAX_CACHED:
            self[raw] = name
        return name


# Looked up as `LOWERED[raw]`, which costs no function call for a known name.
LOWERED = _LoweredNames()
