"""Quotas of the table in force, as buckets."""

from burdockfront import quotas
from burdockfront import routes as routes_lib

# A limit that came into force is new for as long as its first reports take.
_NEW_FOR_S = 3.0


class AccountLimits:
    """The limits of the table in force.

    Args:
        book: The table.
        slack: Requests beyond a limit that operators bear, in a window.
    """

    def __init__(self, book: routes_lib.RouteResolver, slack: float):
        self._book = book
        self._version = book.version
        self._new_since_s: dict[str, float] = {}
        # Callers of a small account come in bunches.
        self._deeper = slack / 4
        # What a new keeper may deal blindly. After all processes were lost
        # there may be two for a moment.
        self._first = slack / 4

    @property
    def any_limited(self) -> bool:
        """Whether any account has a limit."""
        return bool(self._book.accounts.limited)

    def look(self, now_s: float) -> None:
        """Notes which accounts have a limit since the last look."""
        if self._book.version == self._version:
            return
        newly_limited = self._book.accounts.newly_limited
        self._new_since_s = dict.fromkeys(newly_limited, now_s)
        self._version = self._book.version

    def is_new(self, account: str, now_s: float) -> bool:
        """Whether an account had no limit until a moment ago."""
        since_s = self._new_since_s.get(account)
        return since_s is not None and now_s - since_s < _NEW_FOR_S

    def limit_of(self, account: str) -> quotas.Limit | None:
        """Returns the limit of an account; None without one."""
        found = self._book.accounts.get(account)
        if found is None or not found.rate_per_s:
            return None
        depth = found.burst + self._deeper
        return quotas.Limit(found.rate_per_s, depth, self._first)
