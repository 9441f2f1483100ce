"""Socket options that detect silent connections.

The network between two VMs can lose track of a connection: neither data nor an
error arrives any more, and a request on it waits until its deadline. TCP
keepalive probes on idle connections, and a limit on the age of unacknowledged
data on busy ones, turn this into an error within seconds, at no cost while
connections work.

The limit also ends a connection whose peer is alive but reads nothing for as
long, since data for which it has no room stays unacknowledged. So it is for
requests of usual size, which fit into the receive buffer of the peer.
"""

import socket

# Two missed probes, one second apart, after one second without data: a silent
# connection fails after about three seconds.
_IDLE_S = 1
_INTERVAL_S = 1
_PROBES = 2
# A connection fails when sent data is unacknowledged for this long. This leaves
# time for several retransmissions on a link that loses some packets.
_UNACKNOWLEDGED_MS = 2_500
# The default of the system, which ends no connection to a peer that is alive.
_UNLIMITED_MS = 0


def enable_keepalive(sock: socket.socket) -> None:
    """Sets the options on a TCP socket that is connected or connecting.

    Also disables Nagle's algorithm (`TCP_NODELAY`).
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def limit_unacknowledged(sock: socket.socket, is_limited: bool = True) -> None:
    """Sets or lifts the limit on the age of unacknowledged data."""
    limit_ms = _UNACKNOWLEDGED_MS if is_limited else _UNLIMITED_MS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
