"""Spells of a request that crashes every server that runs it.

Seen: thirteen servers in seventeen seconds, three more each 3.5 s, and nearly
no other request of the service served. Cause: each repeat was new work. Proved
by: the same spells, with the quarantine of each node and innocent requests
beside, that lose their answers with the deadly one and are repeated as well.
"""

import pytest

from burdockfront_bench import virtual_time
from tests import crash_model

_SEEDS = pytest.mark.parametrize("seed", range(5))
# Three, and what is under way when the third one crashes.
_CRASHES_ACCEPTED = 6
_LENGTH_S = 15.0


def _play(
    seed: int, servers: int, load: crash_model.Load
) -> crash_model.Result:
    world = crash_model.World(seed, servers, load)
    return virtual_time.run(world.play(_LENGTH_S))


@_SEEDS
@pytest.mark.parametrize("servers", [1, 3, 12])
@pytest.mark.parametrize("callers", [1, 4])
def test_one_request_crashes_few_servers_and_takes_no_other_with_it(
    seed, servers, callers
):
    result = _play(seed, servers, crash_model.Load(deadly_callers=callers))
    assert result.crashes <= _CRASHES_ACCEPTED
    assert result.quarantined == {crash_model.DEADLY}
    if servers > _CRASHES_ACCEPTED:
        served = result.innocent["served"] / result.innocent.total()
        assert served > 0.99, "there was always a server left"


@_SEEDS
def test_impatient_callers_of_slow_requests_are_not_blamed(seed):
    # Their requests are at work as long as the deadly one, lose their answers
    # with it, and are repeated at once to the servers that are left, where it
    # comes too: three crashes of each, as many as are held against the cause.
    load = crash_model.Load(
        innocent_per_s=60.0,
        tries=5,
        work_s=(0.3, 1.0),
        crash_after_s=(0.2, 0.9),
        deadly_callers=4,
    )
    result = _play(seed, 3, load)
    assert result.crashes <= _CRASHES_ACCEPTED
    assert result.quarantined == {crash_model.DEADLY}
