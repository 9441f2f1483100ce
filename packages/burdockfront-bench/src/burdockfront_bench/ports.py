"""Ports for processes that are about to start."""

import random
import socket

_PORTS = range(15_000, 32_000)


# Given out by this process already. A port is chosen well before whoever it is
# for listens there, and would be chosen again meanwhile: then one of two
# processes ends at its start, and whoever waits for it waits in vain.
_given: set[int] = set()


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
        with socket.socket() as holder:
            try:
                holder.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    _given.update(found)
    return found
