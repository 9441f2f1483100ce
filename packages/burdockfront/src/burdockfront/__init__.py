"""Decisions of an overload control layer for service call graphs.

Everything in this package is pure: time (`now_s`, monotonic seconds) and
random generators are arguments, messages come in and decisions come out. The
same code therefore runs in the node, inside a program that embeds the router,
under Hypothesis and in any test bench. An import contract in `pyproject.toml`
keeps sockets, clocks and threads out.

Modules by subject:

* requests: `context`, `allowance`, `tickets`, `ledger`, `outcomes`
* overload: `admission`, `levels`, `limits`, `routing`,
  `retries`, `stall_detection`
* state between nodes: `tables`, `membership`, `configuration`, `leases`,
  `platform_budget`
* shared: `policy`, `keyring`, `timeline`, `registry`, `errors`
"""
