"""Command line of the node daemon."""

import gc
import os
import pathlib
import sys

import cyclopts
import uvloop

from burdockfront import errors
from burdockfront_node import daemon as daemon_lib
from burdockfront_node import logs
from burdockfront_node import routed_daemon
from burdockfront_node import settings as settings_lib

app = cyclopts.App(
    name="burdockfront-node",
    help="The overload control daemon beside a backend server.",
)

_EXIT_BAD_INPUT = 2


@app.command(name="run")
def run_node(settings: pathlib.Path) -> None:
    """Runs the node until SIGTERM, which shuts it down gracefully.

    SIGHUP reloads the keys from the settings file.

    Example: burdockfront-node run /etc/burdockfront/node.yaml

    Args:
        settings: The YAML settings file.
    """
    loaded = _load(settings)
    logs.set_up(loaded.log_level, loaded.node_id)
    # libuv may use io_uring for file operations, which the VMs forbid. The
    # daemon opens no files while it runs; this setting rules out any use.
    os.environ["UV_USE_IO_URING"] = "0"
    uvloop.run(_run(loaded, settings))


@app.command(name="check-settings")
def check_settings(settings: pathlib.Path) -> None:
    """Checks a settings file and prints what is wrong with it.

    Example: burdockfront-node check-settings node.yaml

    Args:
        settings: The YAML settings file.
    """
    loaded = _load(settings)
    print(f"{settings}: valid settings of node {loaded.node_id}")


async def _run(loaded: settings_lib.NodeSettings, path: pathlib.Path) -> None:
    daemon = _new_daemon(loaded, path)
    # Imported modules and wired components live as long as the process. Without
    # the freeze, each full collection traverses all of them and delays calls.
    gc.collect()
    gc.freeze()
    await daemon.run()


def _new_daemon(
    loaded: settings_lib.NodeSettings, path: pathlib.Path
) -> daemon_lib.Daemon:
    if loaded.routed is not None:
        return routed_daemon.RoutedDaemon(loaded, path)
    return daemon_lib.Daemon(loaded, path)


def _load(path: pathlib.Path) -> settings_lib.NodeSettings:
    try:
        return settings_lib.load(path)
    except errors.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_BAD_INPUT)


def run() -> None:
    """Entry point."""
    app()


if __name__ == "__main__":
    run()
