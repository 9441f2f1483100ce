"""The level for work that a server's own limit leaves no room for."""

from burdockfront import context
from burdockfront import levels
from burdockfront import limit_level
from burdockfront import rate_limits
from tests import builders

_PER_S = 10.0
_TICK_S = 0.02


def _after(
    arrivals_per_s: float, length_s: float, **changes: object
) -> limit_level.LimitLevel:
    """Returns the level after an even flow of requests."""
    rate = rate_limits.RateLimit()
    rate.set_limit(_PER_S, 0.0)
    level = limit_level.LimitLevel(rate)
    due = 0.0
    for tick in range(int(length_s / _TICK_S)):
        due += arrivals_per_s * _TICK_S
        while due >= 1.0:
            due -= 1.0
            level.record_arrival(builders.a_context(**changes))
        level.advance(tick * _TICK_S)
    return level


def test_paid_calls_beyond_the_limits_of_all_servers_lower_the_level():
    """Failure: requests run, and then fail for the calls that they make."""
    level = _after(30.0, 6.0, depth=1, rank=2)
    assert level.level < 2 * context.ORDINALS


def test_listings_that_a_limited_server_refuses_do_not_lower_the_level():
    """Failure: one limited server closes its whole service."""
    assert _after(30.0, 6.0, depth=0, rank=2).level == levels.OPEN


def test_what_routers_bring_that_keep_away_closes_nobody_out():
    level = _after(1.2 * _PER_S, 6.0, depth=1, rank=1)
    assert level.level >= 2 * context.ORDINALS


def test_level_is_open_again_when_the_limit_has_ended():
    level = _after(30.0, 6.0, depth=1, rank=2)
    level._rate.observe(None, 7.0, 7.1)
    level.advance(7.2)
    assert level.level == levels.OPEN
