"""Ports for processes that are about to start."""

import fcntl
import os
import pathlib
import random
import socket
import tempfile

_PORTS = range(15_000, 32_000)


# Given out by this process already. A port is chosen well before whoever it is
# for listens there, and would be chosen again meanwhile: then one of two
# processes ends at its start, and whoever waits for it waits in vain.
_given: set[int] = set()
# Locked at the offset of each port that is given out. Other test runs on this
# machine choose ports at the same time; the system ends the locks of a process
# together with it.
_lock_file = (
    pathlib.Path(tempfile.gettempdir())
    / f"burdockfront-ports-{os.getuid()}.lock"
).open("ab")


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now, other ones each time.

    Not from the range that the system gives to outgoing connections: such a
    port can be taken by any of them before the process that it was chosen for
    listens there, and that process would never come up.
    """
    if len(_PORTS) - len(_given) < len(_PORTS) // 2:
        _given.clear()
    candidates = [port for port in _PORTS if port not in _given]
    random.SystemRandom().shuffle(candidates)
    found: list[int] = []
    for port in candidates:
        if len(found) == count:
            break
        if _is_free(port) and _reserve(port):
            found.append(port)
    _given.update(found)
    return found


def _is_free(port: int) -> bool:
    """Returns whether nobody listens on a port."""
    with socket.socket() as holder:
        try:
            holder.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _reserve(port: int) -> bool:
    """Reserves a port; returns False if another process has reserved it."""
    try:
        fcntl.lockf(_lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    return True
