"""Seeds: a few node addresses per data centre, for starting nodes.

One of the watchers of a data centre holds a lease and keeps the data centre's
list in the platform's service up to date. Each write needs a fencing token,
which is refused if the process was paused for longer than the lease. The write
is a compare-and-swap, so a delayed write can't undo a newer one.
"""

import asyncio
import logging
import time

from burdockfront import errors
from burdockfront import leases
from burdockfront_node.controllers import exchange as exchange_lib
from burdockfront_node.controllers import platform as platform_lib
from burdockfront_node.controllers import policies as policies_lib

_LOG = logging.getLogger(__name__)

PREFIX = "burdockfront/seeds/"
_SEEDS = 5
_LEASE_S = 60.0
_MARGIN_S = 5.0
_CHECK_S = 20.0


class Seeds:
    """Reads seeds, and writes them while this node holds the lease.

    Args:
        platform: Client of the platform's service, if there is one.
        exchange: Knows the members.
        policies: Knows whether this node is a watcher.
    """

    def __init__(
        self,
        platform: platform_lib.PlatformClient | None,
        exchange: exchange_lib.Exchange,
        policies: policies_lib.Policies,
    ):
        self._platform = platform
        self._exchange = exchange
        self._policies = policies
        self._holder = leases.LeaseHolder(_MARGIN_S)

    async def read(self) -> list[str]:
        """Returns the seeds of all data centres; none if they can't be read."""
        if self._platform is None:
            return []
        try:
            snapshot = await self._platform.read(PREFIX)
        except errors.PlatformUnavailableError as error:
            _LOG.warning("seeds not read", extra={"why": str(error)})
            return []
        return [a for item in snapshot.items for a in _addresses_of(item)]

    async def write_forever(self) -> None:
        """Keeps this data centre's seeds up to date."""
        while self._platform is not None:
            if self._policies.watching():
                try:
                    await self._write_once(self._platform)
                except (errors.PlatformError, errors.LeaseLostError) as error:
                    _LOG.info("seeds not written", extra={"why": str(error)})
            await asyncio.sleep(_CHECK_S)

    async def _write_once(self, platform: platform_lib.PlatformClient) -> None:
        local = self._exchange.membership.local_member
        asked_at_s = time.monotonic()
        grant = await platform.acquire(
            f"seeds-{local.data_center}", local.boot_id, _LEASE_S
        )
        if grant is None:
            return
        self._holder.record_grant(grant, asked_at_s)
        key = PREFIX + local.data_center
        snapshot = await platform.read(key)
        found = next((i for i in snapshot.items if i.key == key), None)
        addresses = self._addresses()
        if found is not None and _addresses_of(found) == addresses:
            return
        token = self._holder.token(time.monotonic())
        value = {"addresses": addresses, "fencing_token": token}
        await platform.write(key, value, found.revision if found else 0)

    def _addresses(self) -> list[str]:
        membership = self._exchange.membership
        near = [
            m.address
            for m in membership.usable()
            if m.data_center == membership.local_member.data_center
        ]
        return sorted(near)[:_SEEDS]


def _addresses_of(item: platform_lib.Item) -> list[str]:
    """Returns the valid addresses in a data centre's list of seeds."""
    found = item.value.get("addresses")
    if not isinstance(found, list):
        return []
    return [address for address in found if isinstance(address, str)]
