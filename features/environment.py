"""One system of real processes per scenario, in an event loop of its own.

Tags choose the layout: `@proxied` puts a fault-injecting proxy before each
node, `@two-data-centers` spreads the nodes, `@embedded` embeds the router in
the backend servers.
"""

import asyncio
import pathlib
import tempfile
import threading
import time

from behave import model_type

from burdockfront_bench import cluster as cluster_lib
from burdockfront_bench import layouts
from features import worlds

_LINES_SHOWN = 60
_WRITTEN_S = 0.5


def before_all(context):
    context.loop = asyncio.new_event_loop()
    context.thread = threading.Thread(
        target=context.loop.run_forever, daemon=True
    )
    context.thread.start()


def after_all(context):
    context.loop.call_soon_threadsafe(context.loop.stop)
    context.thread.join()
    context.loop.close()


def before_scenario(context, scenario):
    tags = scenario.effective_tags
    context.directory = tempfile.TemporaryDirectory(prefix="burdockfront-")
    layout = layouts.Layout(
        services=worlds.services(),
        data_centers=["dc1", "dc2"] if "two-data-centers" in tags else ["dc1"],
        embedded="embedded" in tags,
        proxied="proxied" in tags,
        source_ips="two-data-centers" in tags,
        node_settings={"gossip": {"period_s": 0.3}},
    )
    cluster = cluster_lib.Cluster(layout, pathlib.Path(context.directory.name))
    context.world = worlds.World(context.loop, cluster)
    context.world.run(cluster.start())


def after_scenario(context, scenario):
    failed = scenario.status == model_type.Status.failed
    if failed:
        # Processes write their lines together, several times a second.
        time.sleep(_WRITTEN_S)
    context.world.run(context.world.end())
    if failed:
        _print_logs(pathlib.Path(context.directory.name))
    context.directory.cleanup()


def _print_logs(directory):
    """Shows what each process wrote last: a failure may be seen only once."""
    for log in sorted(directory.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()
        print(f"--- {log.name}, last lines")
        print("\n".join(lines[-_LINES_SHOWN:]))
