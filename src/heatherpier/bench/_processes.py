"""Starts and ends the real processes of a deployment on loopback."""

import asyncio
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
FIRST_PORT = 12_000
PORTS = 20_000
PORT_STRIDE = 211


class ProcessError(Exception):
    """A process did not start or end as expected."""


@dataclass(slots=True)
class Process:
    """One started process.

    Attributes:
        name: Name in messages.
        port: Port that it listens at.
        popen: The process itself.
    """

    name: str
    port: int
    popen: subprocess.Popen[bytes]

    def send(self, number: signal.Signals) -> None:
        """Sends a signal."""
        self.popen.send_signal(number)

    def running(self) -> bool:
        """Tells whether it has not ended."""
        return self.popen.poll() is None


class Processes:
    """Started processes; leaving the context ends every one of them.

    Args:
        directory: Where settings files and logs are written.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.started: dict[str, Process] = {}

    async def __aenter__(self) -> "Processes":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for process in self.started.values():
            if process.running():
                process.popen.kill()
            process.popen.wait()

    async def start(
        self, name: str, *, command: list[str], settings: Mapping[str, Any], port: int
    ) -> Process:
        """Starts a sub-command and waits until its port answers.

        Args:
            name: Name of the process.
            command: Sub-command, such as ``["proxy"]``.
            settings: Its settings, written to a file.
            port: Port that it will listen at.

        Raises:
            ProcessError: It ended, or did not listen in time.
        """
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        with (self._directory / f"{name}.log").open("ab") as log:
            popen = subprocess.Popen(
                [sys.executable, "-m", "heatherpier", *command, f"--settings={path}"],
                stdout=log,
                stderr=log,
            )
        process = Process(name=name, port=port, popen=popen)
        self.started[name] = process
        await self._wait_for_port(process)
        return process

    async def _wait_for_port(self, process: Process) -> None:
        for _ in range(int(START_TIMEOUT_S / POLL_S)):
            if not process.running():
                break
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", process.port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(POLL_S)
        log = (self._directory / f"{process.name}.log").read_text(encoding="utf-8")
        raise ProcessError(f"{process.name} does not listen: {log[-2000:]}")

    async def restart(self, name: str) -> None:
        """Starts an ended process again with the settings that it had.

        Raises:
            ProcessError: It ended, or did not listen in time.
        """
        process = self.started[name]
        with (self._directory / f"{name}.log").open("ab") as log:
            process.popen = subprocess.Popen(process.popen.args, stdout=log, stderr=log)
        await self._wait_for_port(process)

    async def stop(self, name: str) -> int:
        """Ends a process by SIGTERM and returns its exit code.

        Raises:
            ProcessError: It did not end in time.
        """
        process = self.started[name]
        process.send(signal.SIGTERM)
        for _ in range(int(STOP_TIMEOUT_S / POLL_S)):
            if not process.running():
                return process.popen.wait()
            await asyncio.sleep(POLL_S)
        raise ProcessError(f"{name} did not end within {STOP_TIMEOUT_S:.0f} s")


def free_ports(count: int) -> list[int]:
    """Returns ports of loopback that nothing listens at.

    They lie below the range from which the system takes ports for outgoing
    connections, so none is taken between this call and the listener's start.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_candidates)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def _walk_ports() -> Iterator[int]:
    # Processes that run at once start at different places.
    start = os.getpid() * PORT_STRIDE
    for step in itertools.count():
        yield FIRST_PORT + (start + step) % PORTS


_candidates = _walk_ports()
