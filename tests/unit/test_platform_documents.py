"""Values in the platform's service that another program wrote."""

import asyncio
import types

import pytest

from burdockfront import configuration as configuration_lib
from burdockfront_node.controllers import platform as platform_lib
from burdockfront_node.controllers import policies as policies_lib
from burdockfront_node.controllers import seeds as seeds_lib

_GOOD = {"document": {"service": "fees", "retry": {"allowance": 1}}}


class _Platform:
    """Returns the same items to every read."""

    def __init__(self, values: dict[str, object]):
        items = [
            {"key": key, "value": value, "revision": 8}
            for key, value in values.items()
        ]
        self._data = {"revision": 9, "items": items}

    async def read(self, prefix: str) -> platform_lib.Snapshot:
        return platform_lib.snapshot_from_json(self._data)


@pytest.mark.parametrize("value", [None, 7, "x", [], {}, {"document": 3}])
def test_value_that_is_no_document_does_not_block_other_changes(value):
    # A value of another shape was written below this project's prefix. The
    # watchers failed on it at each read, so no node received any further
    # change, and a node that started never became ready.
    configuration = configuration_lib.Configuration()

    def merge(entry):
        return configuration.merge(entry, 0.0)

    values = {"burdockfront/policy/bad": value}
    values["burdockfront/policy/fees"] = _GOOD
    exchange = types.SimpleNamespace(merge_policy=merge)
    policies = policies_lib.Policies(_Platform(values), exchange)
    assert asyncio.run(policies.read())
    assert list(configuration.applied()) == ["fees"]
    assert list(configuration.rejected()) == ["bad"]


@pytest.mark.parametrize(
    "value", [None, 7, [], {}, {"addresses": 3}, {"addresses": [1, None]}]
)
def test_value_that_is_no_list_of_seeds_does_not_hide_other_seeds(value):
    values = {"burdockfront/seeds/dc1": value}
    values["burdockfront/seeds/dc2"] = {"addresses": ["10.0.0.1:1"]}
    seeds = seeds_lib.Seeds(_Platform(values), None, None)
    assert asyncio.run(seeds.read()) == ["10.0.0.1:1"]
