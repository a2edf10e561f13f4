"""A Python program that runs as a child process of an example or a test."""

import asyncio
import signal
import sys
from pathlib import Path

_STOP_TIMEOUT_S = 15


class Program:
    """A child process that writes its output to a log file.

    Args:
        name: Name of the program in error messages.
        arguments: Arguments of the Python interpreter.
        log_path: File to which standard output and standard error are appended.
    """

    def __init__(self, name: str, arguments: tuple[str, ...], log_path: Path) -> None:
        self.name = name
        self._arguments = arguments
        self._log_path = log_path
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process ID; the program must have been started."""
        return self._started_process().pid

    @property
    def returncode(self) -> int | None:
        """Exit code, or None while the program is running."""
        return self._started_process().returncode

    async def start(self) -> None:
        """Starts the program with the current Python interpreter."""
        with self._log_path.open('ab') as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._arguments,
                stdout=output,
                stderr=output,
                stdin=asyncio.subprocess.DEVNULL,
            )

    def send(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the program is still running."""
        process = self._started_process()
        if process.returncode is None:
            process.send_signal(signal_number)

    async def stop(self) -> int:
        """Terminates the program, or kills it after a timeout.

        Returns:
            The exit code.
        """
        process = self._started_process()
        self.send(signal.SIGTERM)
        # A suspended process handles SIGTERM only after it is resumed.
        self.send(signal.SIGCONT)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                return await process.wait()
        except TimeoutError:
            process.kill()
            return await process.wait()

    async def wait(self) -> int:
        """Waits until the program exits and returns its exit code."""
        return await self._started_process().wait()

    def _started_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise RuntimeError(f'{self.name} was not started')
        return self._process
