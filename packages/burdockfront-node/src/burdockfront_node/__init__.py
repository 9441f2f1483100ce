"""The daemon beside a backend server.

Every node serves callers, routes the nested calls of its backend server, and
guards that server against overload. `daemon` wires the components; `filters`
is the chain that handles a caller's request; `guard` protects the backend
server; `controllers` maintain the state shared with other nodes.
"""
