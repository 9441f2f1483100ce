"""Checks whether a backend server's port is still open."""

import asyncio

# On the same VM a connection is accepted or refused in far less than a
# millisecond. A failed request waits for the result of the check.
_TIMEOUT_S = 0.05


async def is_port_closed(address: str) -> bool:
    """Whether connections to an address are refused.

    A server that resets a connection or aborts an answer still listens. One
    that does not answer at all may be frozen or busy, and does not count as
    gone.

    Args:
        address: `ip:port`.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            transport, _ = await loop.create_connection(
                asyncio.Protocol, host.strip("[]"), int(port)
            )
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        # No other error shows that the process is gone.
        return False
    transport.abort()
    return False
