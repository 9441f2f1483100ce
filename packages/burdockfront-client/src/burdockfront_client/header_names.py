"""Names of header fields, in the one form that all comparisons use.

The same few dozen names come with every message, in a few spellings. Decoding
and lowering each of them anew was a sixth of all function calls of a relayed
request, so the results are remembered.
"""

# Anybody can make up names; beyond this many nothing more is remembered.
_MOST_REMEMBERED = 1024

# Names in lower case by their spelling. Look here before asking `lowered`.
KNOWN: dict[bytes, str] = {}


def lowered(raw: bytes) -> str:
    """Returns a name in lower case, and remembers it."""
    name = raw.decode("latin-1").lower()
    if len(KNOWN) < _MOST_REMEMBERED:
        KNOWN[raw] = name
    return name
