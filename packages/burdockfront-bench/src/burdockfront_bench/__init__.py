"""Stand-ins, load and experiment tool, measurements.

Never imported by the product's own packages. Stand-ins speak the published
protocols (docs/BACKENDS.md, docs/CALLERS.md, docs/PLATFORM.md) and can be
told to fail in the ways that real ones do.
"""
