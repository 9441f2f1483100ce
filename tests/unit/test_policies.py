"""Errors of failed writes to the platform service."""

import asyncio

import pytest

from burdockfront_node.controllers import platform
from burdockfront_node.controllers import policies


class _PlatformWithoutBudget:
    """Stands in for a client whose budget or breaker prevents the write."""

    async def read(self, prefix, wait_for_budget=False):
        return platform.Snapshot(7, ())

    async def write(self, key, value, expected):
        raise platform.PlatformNotAskedError()


def test_write_that_was_never_sent_is_not_reported_as_unsettled():
    # The node's call budget is exhausted, so the write is not sent. After the
    # error "unsettled", the operator would wait for a change that can't come.
    controller = policies.Policies(_PlatformWithoutBudget(), None)
    change = controller.change(
        "fees", "retry.allowance", 1, None, "tester", "c-1"
    )
    with pytest.raises(platform.PlatformNotAskedError, match="nothing"):
        asyncio.run(change)
