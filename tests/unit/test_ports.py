"""Ports for processes that start later."""

from burdockfront_bench import ports


def test_ports_given_out_but_not_used_yet_are_not_given_again():
    # Two places are prepared before the first one's processes listen. With
    # one port for both, a process of one of them ends at its start.
    chosen = [port for _ in range(200) for port in ports.free_ports(7)]
    assert len(set(chosen)) == len(chosen)
