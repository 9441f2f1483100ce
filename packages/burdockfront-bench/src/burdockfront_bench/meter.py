"""What processes of nodes spend: traffic, processor, memory."""

import copy
import dataclasses
import os
import pathlib
import statistics
import time

from burdockfront_bench import cluster as cluster_lib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one node spends, on average over all nodes.

    Attributes:
        sent_bytes_per_s: Written to sockets, with HTTP headers, without
            those of TCP and IP.
        received_bytes_per_s: Read from sockets.
        core_share: Share of one processor core.
        rss_bytes: Memory.
    """

    sent_bytes_per_s: float
    received_bytes_per_s: float
    core_share: float
    rss_bytes: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    at_s: float
    written: int
    read: int
    ticks: int
    rss_bytes: int


def _sample(pid: int) -> _Sample:
    io_lines = pathlib.Path(f"/proc/{pid}/io").read_text().splitlines()
    io = {k: int(v) for k, v in (line.split(": ") for line in io_lines)}
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2]
    fields = stat.split()
    ticks = int(fields[11]) + int(fields[12])
    rss = int(fields[21]) * os.sysconf("SC_PAGE_SIZE")
    return _Sample(time.monotonic(), io["wchar"], io["rchar"], ticks, rss)


class Meter:
    """Measures all nodes over a stretch of time."""

    def __init__(self, cluster: cluster_lib.Cluster):
        self._pids = [
            m.node_process.pid
            for m in cluster.machines
            if m.node_process is not None and m.node_process.returncode is None
        ]
        self._before = {pid: _sample(pid) for pid in self._pids}

    def renewed(self) -> "Meter":
        """Returns a meter of the same processes that starts now."""
        fresh = copy.copy(self)
        fresh._before = {pid: _sample(pid) for pid in self._pids}
        return fresh

    def cost(self) -> Cost:
        """Returns the mean cost per node since the start."""
        costs = self.costs()
        return Cost(
            *(
                statistics.mean(getattr(c, f.name) for c in costs)
                for f in dataclasses.fields(Cost)
            )
        )

    def costs(self) -> list[Cost]:
        """Returns the cost of each node since the start."""
        costs = []
        for pid in self._pids:
            before, after = self._before[pid], _sample(pid)
            elapsed_s = after.at_s - before.at_s
            costs.append(
                Cost(
                    (after.written - before.written) / elapsed_s,
                    (after.read - before.read) / elapsed_s,
                    (after.ticks - before.ticks) / _TICKS_PER_S / elapsed_s,
                    after.rss_bytes,
                )
            )
        return costs
