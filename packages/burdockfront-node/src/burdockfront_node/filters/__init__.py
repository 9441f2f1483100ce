"""The filter chain that handles a caller's request.

Each filter does one job and either answers or calls the next filter. To add a
filter, write a class with `@base.FILTERS.register("name")` in its own module,
import the module in `chain`, and add the name to `chain.ORDER`.
"""
