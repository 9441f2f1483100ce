"""Finds the requested service in the path (`/SERVICE/...`) or the Host header.

A Host of the form `SERVICE.svc` names the service; the target is then the whole
path.
"""

import re

from burdockfront import errors
from burdockfront import outcomes
from burdockfront_node.filters import base

_HOST_SUFFIX = ".svc"
_SERVICE = re.compile(r"^[a-z][a-z0-9-]{0,40}$")


@base.FILTERS.register("locate")
class Locate:
    """Sets service, target and policy."""

    def __init__(self, tools: base.Tools):
        self._tools = tools

    async def __call__(
        self, entry: base.Entry, following: base.Next
    ) -> outcomes.Answer:
        """Refuses a request that names no service."""
        host = (entry.request.header("host") or "").partition(":")[0]
        if host.endswith(_HOST_SUFFIX):
            entry.service = host.removesuffix(_HOST_SUFFIX)
            entry.target = entry.request.target
        else:
            path, question, query = entry.request.target.partition("?")
            _, entry.service, rest = (path + "/").split("/", 2)
            entry.target = "/" + rest.removesuffix("/") + question + query
        if not _SERVICE.match(entry.service):
            raise errors.InvalidInputError(
                f"expected the name of a service as first part of the path "
                f"(/SERVICE/...) or as Host (SERVICE{_HOST_SUFFIX}), got "
                f"{entry.service[:40]!r}; see docs/CALLERS.md."
            )
        entry.policy = self._tools.policy_of(entry.service)
        return await following(entry)
