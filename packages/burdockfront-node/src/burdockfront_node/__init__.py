"""The daemon beside a backend server.

Every node is at once an entry for callers, a router for its backend server's
deeper calls, and the guard of its backend server. `daemon` wires the parts;
`filters` is the chain that a caller's request passes; `guard` protects the
backend server; `controllers` keep the state shared with other nodes.
"""
