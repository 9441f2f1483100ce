"""Client library that routes calls to guards.

A program that embeds `embedded.EmbeddedRouter` sends its calls directly to the
guard of the called backend server, with one relay per call. Programs that send
plain HTTP to a node use the node's `dispatcher.Dispatcher`, with two relays per
call. The `burdockfront` package makes the decisions; this one does the I/O.
"""
