"""Python processes on this machine that log to files."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
from collections.abc import Iterable
from typing import BinaryIO


class Processes:
    """Starts and ends the processes of one run.

    Args:
        directory: Folder of the log files.
    """

    def __init__(self, directory: pathlib.Path):
        self._directory = directory
        self._logs: list[BinaryIO] = []

    async def spawn(
        self, name: str, module: str, *arguments: str
    ) -> asyncio.subprocess.Process:
        """Starts a module as a process that logs to `NAME.log`."""
        log = (self._directory / f"{name}.log").open("ab")
        self._logs.append(log)
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=log,
            stderr=log,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )

    async def end(
        self, processes: Iterable[asyncio.subprocess.Process | None]
    ) -> None:
        """Kills processes, stopped ones too, and closes all log files."""
        started = [process for process in processes if process is not None]
        for process in started:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in started:
            await process.wait()
        for log in self._logs:
            log.close()
