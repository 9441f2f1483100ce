"""The chain of filters that a caller's request passes.

Each filter does one job and either answers or asks the next one. A new filter
is a class with `@base.FILTERS.register("name")` in a module of its own, its
module's import in `chain`, and its place in `chain.ORDER`.
"""
