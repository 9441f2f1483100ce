"""Names of header fields, in the one form that all comparisons use.

The same few dozen names come with every message, in a few spellings. Decoding
and lowering each of them anew was a sixth of all function calls of a relayed
request, so the results are remembered.
"""

# Anybody can make up names; beyond this many nothing more is remembered.
_MOST_REMEMBERED = 1024

_KNOWN: dict[bytes, str] = {}


def lowered(raw: bytes) -> str:
    """Returns a name in lower case."""
    name = _KNOWN.get(raw)
    if name is None:
        name = raw.decode("latin-1").lower()
        if len(_KNOWN) < _MOST_REMEMBERED:
            _KNOWN[raw] = name
    return name
