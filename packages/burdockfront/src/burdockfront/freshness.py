"""How sure a node is that its table of routes is the newest.

Few nodes ask the store; the others are told of changes. Silence then means that
nothing has changed, or that whoever should tell is cut off, waits in vain, or
believes that somebody else watches. So a node does not take silence for news:
it knows when its table was last known to be the newest. The store's answers say
so, and each message between nodes passes that age on (`Claim`), as it passes on
the version.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """What a node says of its table.

    Attributes:
        version: In force there; -1 without a table.
        age_s: How long ago it was known to be the newest; None: never, or the
            node is of a release that does not say.
    """

    version: int
    age_s: float | None = None


class Freshness:
    """When the table in force was last known to be the newest.

    What was the newest at some time is no older than that once a newer table
    has replaced it, so a confirmation stays true.

    Attributes:
        source: Who confirmed it last: `store`, or the address of a peer.
    """

    def __init__(self) -> None:
        self._confirmed_s: float | None = None
        self.source = ""

    def confirm(self, at_s: float, source: str) -> None:
        """Notes that no newer table was known at some time.

        Args:
            at_s: That time, on the steady clock.
            source: Who said so.
        """
        if self._confirmed_s is None or at_s > self._confirmed_s:
            self._confirmed_s = at_s
            self.source = source

    def age_s(self, now_s: float) -> float | None:
        """Returns the time since the last confirmation; None before one."""
        if self._confirmed_s is None:
            return None
        return max(0.0, now_s - self._confirmed_s)
