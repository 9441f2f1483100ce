"""Builds the filter chain."""

import functools

from burdockfront import outcomes
from burdockfront_node.filters import base
from burdockfront_node.filters import dispatch
from burdockfront_node.filters import identify
from burdockfront_node.filters import locate
from burdockfront_node.filters import quarantine
from burdockfront_node.filters import route
from burdockfront_node.filters import ticketing
from burdockfront_node.filters import trace

# Importing a filter's module registers it.
MODULES = (dispatch, identify, locate, quarantine, route, ticketing, trace)
ORDER = (
    "locate",
    "identify",
    "trace",
    "ticketing",
    "quarantine",
    "dispatch",
)
# Order of a routed node.
ROUTED_ORDER = ("route", "trace", "quarantine", "dispatch")


def build(tools: base.Tools, order: tuple[str, ...] = ORDER) -> base.Next:
    """Returns the first filter, bound to the filters that follow it."""
    following: base.Next = _nothing_follows
    for name in reversed(order):
        link: base.Filter = base.FILTERS.get(name)(tools)
        following = functools.partial(link, following=following)
    return following


async def _nothing_follows(entry: base.Entry) -> outcomes.Answer:
    raise AssertionError("the last filter of the chain must answer")
