"""A request that crashes every server that runs it must crash only a few.

Guards against counting each repeat as a new request. The repeats once crashed
thirteen servers in seventeen seconds and three more every 3.5 s, and nearly no
other request of the service was served. The simulation runs each node's
quarantine with innocent requests in flight, which lose their answers in the
crashes and are repeated as well.
"""

import pytest

from burdockfront_bench import virtual_time
from tests import crash_model

_SEEDS = pytest.mark.parametrize("seed", range(5))
# Three, and those that run the request when the third one crashes.
_CRASHES_ACCEPTED = 6
_LENGTH_S = 15.0


def _run(seed: int, servers: int, load: crash_model.Load) -> crash_model.Result:
    simulation = crash_model.Simulation(seed, servers, load)
    return virtual_time.run(simulation.run(_LENGTH_S))


@_SEEDS
@pytest.mark.parametrize("servers", [1, 3, 12])
@pytest.mark.parametrize("callers", [1, 4])
def test_one_request_crashes_few_servers_and_fails_no_others(
    seed, servers, callers
):
    result = _run(seed, servers, crash_model.Load(crashing_callers=callers))
    assert result.crashes <= _CRASHES_ACCEPTED
    assert result.quarantined == {crash_model.CRASHING_TARGET}
    if servers > _CRASHES_ACCEPTED:
        served = result.innocent["served"] / result.innocent.total()
        assert served > 0.99, "a server was always available"


@_SEEDS
def test_eager_retries_of_slow_requests_are_not_quarantined(seed):
    # Innocent requests run as long as the crashing one and lose their answers
    # with it. They are repeated at once at the remaining servers, where the
    # crashing one arrives too, so each may be in three crashes, like the cause.
    load = crash_model.Load(
        innocent_per_s=60.0,
        tries=5,
        work_s=(0.3, 1.0),
        crash_after_s=(0.2, 0.9),
        crashing_callers=4,
    )
    result = _run(seed, 3, load)
    assert result.crashes <= _CRASHES_ACCEPTED
    assert result.quarantined == {crash_model.CRASHING_TARGET}
