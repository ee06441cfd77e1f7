"""Start, signal and stop the local processes of a site."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class ProcessGroup:
    """Named processes of one run, each with its own log file."""

    __slots__ = ('folder', 'by_name', '_command_by_name', '_descriptors')

    def __init__(
        self, folder: Path, descriptors: tuple[int, ...] = ()
    ) -> None:
        """Create the folder of the log files.

        The processes inherit `descriptors`.
        """
        self.folder = folder
        self._descriptors = descriptors
        self.by_name: dict[str, asyncio.subprocess.Process] = {}
        self._command_by_name: dict[str, list[str]] = {}
        folder.mkdir(parents=True, exist_ok=True)

    async def start(self, name: str, arguments: list[str]) -> None:
        """Start `anvilcove ARGUMENTS` under a name."""
        command = [
            sys.executable,
            '-c',
            'from anvilcove.cli.main import run; run()',
            *arguments,
        ]
        self._command_by_name[name] = command
        await self._spawn(name)

    async def restart(self, name: str) -> None:
        """Kill a process if it runs and start it with the same arguments."""
        await self.kill(name)
        await self._spawn(name)

    async def _spawn(self, name: str) -> None:
        with (self.folder / f'{name}.log').open('ab') as log:
            self.by_name[name] = await asyncio.create_subprocess_exec(
                *self._command_by_name[name],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
                pass_fds=self._descriptors,
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process unless it has ended."""
        process = self.by_name[name]
        if process.returncode is None:
            process.send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self.signal(name, signal.SIGKILL)
        await self.by_name[name].wait()

    async def terminate(self, name: str) -> int:
        """Send SIGTERM and return the exit status; kill after a timeout."""
        self.signal(name, signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self.by_name[name].wait()
        except TimeoutError:
            await self.kill(name)
            return -signal.SIGKILL

    async def stop_all(self) -> None:
        """Kill every process, including paused ones."""
        for name in self.by_name:
            await self.kill(name)


async def wait_until_ready(session: ClientSession, url: str) -> None:
    """Poll a URL until its status is 200, or raise TimeoutError."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                async with session.get(
                    url, timeout=ClientTimeout(total=2.0)
                ) as response:
                    if response.status == 200:
                        return
            except (ClientError, OSError, TimeoutError):
                pass
            await asyncio.sleep(POLL_INTERVAL_S)
