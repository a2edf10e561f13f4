"""A program started for an example or a test."""

import asyncio
import signal
import sys
from pathlib import Path

_STOP_LIMIT_S = 15


class Program:
    """A child process whose output goes to a log file."""

    def __init__(self, name: str, arguments: tuple[str, ...], log: Path) -> None:
        self.name = name
        self._arguments = arguments
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id; the program must have been started."""
        return self._require().pid

    @property
    def returncode(self) -> int | None:
        """Exit code, or None while it runs."""
        return self._require().returncode

    async def start(self) -> None:
        """Starts the program with this interpreter."""
        with self._log.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdout=output,
                stderr=output,
                stdin=asyncio.subprocess.DEVNULL,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal if the program still runs."""
        process = self._require()
        if process.returncode is None:
            process.send_signal(number)

    async def stop(self) -> int:
        """Asks the program to end, kills it after a limit; returns its exit code."""
        process = self._require()
        self.send(signal.SIGTERM)
        # A frozen process handles the signal only once it is continued.
        self.send(signal.SIGCONT)
        try:
            async with asyncio.timeout(_STOP_LIMIT_S):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return await process.wait()

    async def wait(self) -> int:
        """Waits for the end; returns the exit code."""
        return await self._require().wait()

    def _require(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise RuntimeError(f'{self.name} was not started')
        return self._process
