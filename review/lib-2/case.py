"""Runs a case: temporary folder, record, exit code, end of all processes."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

import nodes as nodes_lib
import store as store_lib
import upstream as upstream_lib

BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 115.0
SETTLE_S = 3.0


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path: pathlib.Path):
        self._began_s = time.monotonic()
        self._file = path.open("w")

    def since_s(self, at_s: float) -> float:
        """Returns a moment as seconds since the start of the case."""
        return at_s - self._began_s

    def write(self, text: str, at_s: float | None = None) -> None:
        """Adds a line with the time of the event."""
        at_s = time.monotonic() if at_s is None else at_s
        self._file.write(f"{self.since_s(at_s):9.3f} s  {text}\n")
        self._file.flush()


class Deployment:
    """A store, and machines with a node and an upstream each."""

    def __init__(self, folder: pathlib.Path, record: Record):
        self.folder = folder
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.nodes: list[nodes_lib.Node] = []
        self.upstreams: list[upstream_lib.Upstream] = []
        self.store: store_lib.Store

    async def open(
        self,
        layout: list[tuple[str, str]],
        config: dict[str, object],
        bounds: dict[str, float],
        one_by_one: bool = False,
        **upstream_options: object,
    ) -> None:
        """Starts everything; waits until all nodes are ready.

        Args:
            layout: Zone and service of each machine.
            config: The first configuration.
            bounds: The bounds of the deployment.
            one_by_one: Start each node after the one before it is ready.
            **upstream_options: Passed to each upstream.
        """
        store_ip, *ips = nodes_lib.free_network(len(layout) + 1)
        self.store = store_lib.Store(f"{store_ip}:8309")
        await self.store.open()
        self.store.put_config(config)
        for number, (zone, service) in enumerate(layout):
            place = nodes_lib.Place(
                f"sidecar-{number + 1}", ips[number], zone, service
            )
            node = nodes_lib.Node(
                place, self.store.address, self.folder, bounds
            )
            upstream = upstream_lib.Upstream(
                service,
                place.address("app"),
                place.address("control"),
                zone,
                f"i-{number + 1}-1",
                **upstream_options,
            )
            self.nodes.append(node)
            self.upstreams.append(upstream)
            await upstream.open()
            node.start()
            if one_by_one:
                await node.until_ready()
        for node in self.nodes:
            await node.until_ready()
        # Traffic starts later than the machines, once all know each other.
        await asyncio.sleep(SETTLE_S)

    def close(self) -> None:
        """Ends all processes and stand-ins."""
        for node in self.nodes:
            node.kill()
        for upstream in self.upstreams:
            upstream.close()
        if hasattr(self, "store"):
            self.store.close()


def run(
    folder: pathlib.Path, body: Callable[[Deployment], Awaitable[bool]]
) -> None:
    """Runs a case and exits with its code.

    Args:
        folder: The folder of the case.
        body: Runs the case; returns whether the rule was broken.
    """
    record = Record(folder / "record.txt")

    async def bounded() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(pathlib.Path(temporary), record)
            try:
                async with asyncio.timeout(LIMIT_S):
                    return await body(deployment)
            finally:
                deployment.close()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    os.system(f"cp {temporary}/*.log {keep}/")

    try:
        broken = asyncio.run(bounded())
    except Exception:
        record.write("the case could not run:\n" + traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    record.write("RULE BROKEN" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
