"""Limits of client accounts, read from the active route table."""

from burdockfront import quotas
from burdockfront import routes as routes_lib

# A newly limited account counts as new until the first reports about it have
# arrived.
_NEW_FOR_S = 3.0


class AccountLimits:
    """The limits of the accounts in the active table.

    Args:
        resolver: Holds the active table.
        slack: Requests beyond a limit that operators tolerate, in a window.
    """

    def __init__(self, resolver: routes_lib.RouteResolver, slack: float):
        self._resolver = resolver
        self._version = resolver.version
        self._new_since_s: dict[str, float] = {}
        # Added to the burst: callers of a small account come in bunches.
        self._extra_burst = slack / 4
        # Tokens that a new allocator may grant before it has any reports. After
        # the loss of all processes there may be two allocators for a moment.
        self._initial_tokens = slack / 4

    @property
    def any_limited(self) -> bool:
        """Whether any account has a limit."""
        return bool(self._resolver.accounts.limited)

    def refresh(self, now_s: float) -> None:
        """Records accounts that became limited since the last call."""
        if self._resolver.version == self._version:
            return
        newly_limited = self._resolver.accounts.newly_limited
        self._new_since_s = dict.fromkeys(newly_limited, now_s)
        self._version = self._resolver.version

    def is_new(self, account: str, now_s: float) -> bool:
        """Whether an account became limited within the last few seconds."""
        since_s = self._new_since_s.get(account)
        return since_s is not None and now_s - since_s < _NEW_FOR_S

    def limit_of(self, account: str) -> quotas.Limit | None:
        """Returns the limit of an account; None without one."""
        found = self._resolver.accounts.get(account)
        if found is None or not found.rate_per_s:
            return None
        depth = found.burst + self._extra_burst
        return quotas.Limit(found.rate_per_s, depth, self._initial_tokens)
