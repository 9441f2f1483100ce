"""Decisions of an overload control layer for service call graphs.

Everything in this package is pure: time (`now_s`, monotonic seconds) and random
generators are arguments, and functions turn messages into decisions. The same
code therefore runs in the node, in a program that embeds the router, under
Hypothesis and in test benches. An import contract in `pyproject.toml` forbids
sockets, clocks and threads.

Modules by subject:

* requests: `context`, `allowance`, `tickets`, `ledger`, `outcomes`
* routing: `guards`, `guard_estimates`, `transfer_costs`, `routing`,
  `call_correlation`
* overload: `admission`, `levels`, `limits`, `retries`, `stall_detection`
* state between nodes: `tables`, `membership`, `configuration`, `leases`,
  `platform_budget`
* shared: `policy`, `keyring`, `timeline`, `registry`, `errors`
"""
