"""The router as a library.

A program that embeds `embedded.EmbeddedRouter` sends its calls straight to
the guard beside the wanted backend server: one relay per call. The node uses
the same `dispatcher.Dispatcher` for programs that speak plain HTTP to it: two
relays. Decisions come from the `burdockfront` package; this one moves bytes.
"""
