"""A fault-injecting TCP proxy between two processes.

It can delay, refuse, cut (also in the middle of an answer), and lose track of
connections in one or both directions: they stay open, and nothing arrives.
Delays drawn per connection reorder answers of different connections.
"""

import asyncio
import contextlib
import dataclasses
import random

_CHUNK_BYTES = 65_536


@dataclasses.dataclass(slots=True)
class Rules:
    """What happens to traffic now.

    Attributes:
        delay_s: Each chunk waits for up to this long.
        refuse: New connections are closed at once.
        refuse_from: As `refuse`, for connections from these IP numbers.
        silent_there: Nothing reaches the target.
        silent_back: Nothing comes back.
        cut_after_bytes: An answer is cut after so many bytes.
    """

    delay_s: float = 0.0
    refuse: bool = False
    refuse_from: frozenset[str] = frozenset()
    silent_there: bool = False
    silent_back: bool = False
    cut_after_bytes: int | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    silent: bool = False


class FaultProxy:
    """Forwards connections to one target under rules.

    Args:
        target: Where connections go, `ip:port`.
        seed: Seed of delays.
    """

    def __init__(self, target: str, seed: int = 1):
        self._target = target
        self._rng = random.Random(seed)
        self.rules = Rules()
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()

    async def start(self, address: str) -> None:
        """Listens at `ip:port`."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Closes everything."""
        if self._server is not None:
            self._server.close()
        self.cut_open_connections()

    def silence_open_connections(self) -> None:
        """Loses track of the connections that are open now."""
        for connection in self._connections:
            connection.silent = True

    def cut_open_connections(self) -> None:
        """Cuts the connections that are open now."""
        for connection in list(self._connections):
            for writer in connection.writers:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source_ip = writer.get_extra_info("peername")[0]
        if self.rules.refuse or source_ip in self.rules.refuse_from:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            there_reader, there = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection((writer, there))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(reader, there, connection, back=False),
                self._forward(there_reader, writer, connection, back=True),
            )
        finally:
            self._connections.discard(connection)
            for end in connection.writers:
                end.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        back: bool,
    ) -> None:
        passed = 0
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if self._swallowed(connection, back):
                    continue
                if self.rules.delay_s:
                    wait_s = self._rng.uniform(0, self.rules.delay_s)
                    await asyncio.sleep(wait_s)
                cut = self.rules.cut_after_bytes
                if back and cut is not None and passed + len(chunk) > cut:
                    writer.write(chunk[: max(0, cut - passed)])
                    await writer.drain()
                    for end in connection.writers:
                        end.close()
                    return
                passed += len(chunk)
                writer.write(chunk)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            if not connection.silent:
                writer.write_eof()

    def _swallowed(self, connection: _Connection, back: bool) -> bool:
        if connection.silent:
            return True
        return self.rules.silent_back if back else self.rules.silent_there
