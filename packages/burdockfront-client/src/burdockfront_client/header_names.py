"""Cache of header names in lower case, the form that all comparisons use.

Every message has the same few dozen header names, in a few spellings. Decoding
and lowering each of them for each message was a sixth of all function calls of
a relayed request, so the results are cached.
"""

# Senders can invent any number of names, so the cache is limited to this many.
_MAX_CACHED = 1024

# Names in lower case by their received spelling. Callers look up a name here
# before they call `lowered`.
KNOWN: dict[bytes, str] = {}


def lowered(raw: bytes) -> str:
    """Returns a name in lower case and caches it, unless the cache is full."""
    name = raw.decode("latin-1").lower()
    if len(KNOWN) < _MAX_CACHED:
        KNOWN[raw] = name
    return name
