"""The floor: a relay of the same libraries that decides nothing.

What a node adds beyond this is our code; what this adds is the price of one
more process in the path with these libraries.
"""

import asyncio

import cyclopts
import uvloop

from burdockfront_bench.standins import plain_handler
from burdockfront_client import peers as peers_lib
from burdockfront_client import wire
from burdockfront_node.internal import http_port
from burdockfront_node.internal import messages

_LIMIT_BYTES = 1_000_000


class BareRelay(plain_handler.PlainHandler):
    """Passes each request on to one address."""

    def __init__(self, target: str):
        self._target = target
        self._peers = peers_lib.Peers()

    async def serve(self, request: messages.Request) -> messages.Response:
        """Relays one request."""
        reply = await self._peers.request(
            self._target,
            request.method,
            request.target,
            wire.end_to_end(list(request.headers)),
            request.body,
            2.0,
            _LIMIT_BYTES,
        )
        headers = wire.end_to_end(reply.headers)
        return messages.Response(reply.status, headers, reply.body)


app = cyclopts.App(help=__doc__)


@app.default
def main(address: str, target: str) -> None:
    """Runs the relay until it is ended.

    Args:
        address: Where it listens, `ip:port`.
        target: Where it sends to, `ip:port`.
    """
    uvloop.run(_serve(address, target))


async def _serve(address: str, target: str) -> None:
    await http_port.Port(BareRelay(target), address).open()
    await asyncio.Event().wait()


if __name__ == "__main__":
    app()
