"""Options of sockets that notice a connection gone silent.

Something between two VMs can lose track of a connection: nothing arrives any
more and no error either. Symptom: whoever waits on it waits to its deadline.
Probes of the system on idle connections, and a bound on unacknowledged data on
busy ones, turn that into an error within seconds, at no cost while all is well.
"""

import socket

# Two missed probes, one second apart, after one second of silence: a silent
# connection is an error after about three seconds.
_IDLE_S = 1
_INTERVAL_S = 1
_PROBES = 2
# Data that nobody acknowledges for this long; above several retransmissions
# on a link that loses some packets.
_UNACKNOWLEDGED_MS = 2_500


def enable_keepalive(sock: socket.socket) -> None:
    """Sets the options on a connected or connecting TCP socket."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
