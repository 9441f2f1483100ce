"""A level for work that a backend server's own limit leaves no room for.

Where only some servers of a service are limited, routers send to the others and
there is nothing to do. Where all are, calls that are paid for and confirmations
still come: only their arrivals count here. What they ask for beyond the limit
lowers the level, which travels to the entries like any other, so that the same
requests are refused everywhere before they run and not for their calls.
"""

from burdockfront import context as context_lib
from burdockfront import flow_level
from burdockfront import levels
from burdockfront import rate_limits

_WINDOW_S = 0.25
# With fewer in a window chance would move the level.
_LEAST_REQUESTS = 4.0
# Routers that keep away bring a sixth more than the limit, and those that are
# refused ask the other servers; that is no pressure.
_USUAL_ARRIVALS = 1.4


class LimitLevel:
    """The level of one guard.

    Args:
        rate: The limit.
    """

    def __init__(self, rate: rate_limits.RateLimit):
        self._rate = rate
        self._flow: flow_level.FlowControl | None = None

    @property
    def level(self) -> int:
        """Highest priority number that is admitted now."""
        return levels.OPEN if self._flow is None else self._flow.level

    def record_arrival(self, context: context_lib.RequestContext) -> None:
        """Counts a request, whether there is room for it or not."""
        if self._flow is not None and takes_precedence(context):
            self._flow.record_arrival(context.priority, 1.0)

    def advance(self, now_s: float) -> None:
        """Sets the level at the end of each window."""
        if self._rate.per_s is None:
            self._flow = None
            return
        room_per_s = self._rate.rate_per_s() * _USUAL_ARRIVALS
        if self._flow is None:
            window_s = max(_WINDOW_S, _LEAST_REQUESTS / room_per_s)
            self._flow = flow_level.FlowControl(window_s, now_s)
        elif self._flow.is_window_over(now_s):
            self._flow.advance(room_per_s, now_s)


def takes_precedence(context: context_lib.RequestContext) -> bool:
    """Whether a call is among what a limited server takes first."""
    return context.rank == 0 or context.depth > 0
