"""Admission level for demand beyond the rate limit of a backend server.

The limit is the one that the server reports on its answers. If only some
servers of a service are limited, routers send requests to the others and no
level is needed. If all of them are limited, calls from upper layers and
confirmations still arrive, and only their arrivals count here. Demand beyond
the limit lowers the level, which reaches the entries like any other level. All
entries then refuse the same requests before they run, instead of letting them
fail later when their calls are refused.
"""

from burdockfront import context as context_lib
from burdockfront import flow_level
from burdockfront import levels
from burdockfront import rate_limits

_WINDOW_S = 0.25
# With fewer requests in a window, random variation would move the level.
_MIN_REQUESTS = 4.0
# Arrivals up to this multiple of the limit are not pressure: with routers that
# back off after a refusal a sixth more than the limit arrives, and the refused
# requests go to the other servers.
_EXPECTED_ARRIVALS = 1.4


class LimitLevel:
    """Sets the level of one guard while its backend server is rate limited.

    Args:
        rate: The rate limit.
    """

    def __init__(self, rate: rate_limits.RateLimit):
        self._rate = rate
        self._flow: flow_level.FlowControl | None = None

    @property
    def level(self) -> int:
        """Highest priority number that is currently admitted."""
        return levels.OPEN if self._flow is None else self._flow.level

    def record_arrival(self, context: context_lib.RequestContext) -> None:
        """Counts a request, whether it is admitted or not."""
        if self._flow is not None and takes_precedence(context):
            self._flow.record_arrival(context.priority, 1.0)

    def advance(self, now_s: float) -> None:
        """Updates the level at the end of each window."""
        if self._rate.per_s is None:
            self._flow = None
            return
        capacity_per_s = self._rate.rate_per_s() * _EXPECTED_ARRIVALS
        if self._flow is None:
            window_s = max(_WINDOW_S, _MIN_REQUESTS / capacity_per_s)
            self._flow = flow_level.FlowControl(window_s, now_s)
        elif self._flow.is_window_over(now_s):
            self._flow.advance(capacity_per_s, now_s)


def takes_precedence(context: context_lib.RequestContext) -> bool:
    """Whether a limited server serves a call first.

    This holds for the highest rank and for calls from upper layers.
    """
    return context.rank == 0 or context.depth > 0
