"""A model of a site: the product's own decisions, without a network.

Routers, guards, admission, levels, budgets and filters are the product's, under
virtual time. What is modelled: backend servers with slots, speeds and a knee,
the calls that they make, callers who come back once, ways that take time, and
troubles. A run of seconds takes seconds and repeats exactly, so two ways to
decide can be compared over many seeds.
"""
