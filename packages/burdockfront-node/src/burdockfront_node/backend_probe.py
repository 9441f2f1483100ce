"""Asks whether the process of a backend server is still there."""

import asyncio

# On the same VM a connection is made or refused in far less than a
# millisecond. Whoever waits for the result holds a failed request.
_LONGEST_S = 0.05


async def is_port_closed(address: str) -> bool:
    """Whether nobody listens at an address any more.

    A server that resets a connection or breaks off an answer still listens. One
    that does not answer at all may be frozen or busy: not known to be gone.

    Args:
        address: `ip:port`.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_LONGEST_S):
            transport, _ = await loop.create_connection(
                asyncio.Protocol, host.strip("[]"), int(port)
            )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # Whatever else went wrong does not show that it is gone.
        return False
    transport.abort()
    return False
