"""Ports for processes that are about to start."""

import random
import socket

_PORTS = range(15_000, 32_000)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now.

    Not from the range that the system gives to outgoing connections: such a
    port can be taken by any of them before the process that it was chosen for
    listens there, and that process would never come up.
    """
    candidates = list(_PORTS)
    random.SystemRandom().shuffle(candidates)
    found: list[int] = []
    for port in candidates:
        if len(found) == count:
            break
        with socket.socket() as holder:
            try:
                holder.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found
