"""Starts and stops the processes of a deployment on loopback."""

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
PORT_COUNT = 20_000
PORT_STRIDE = 211


class ProcessError(Exception):
    """A process did not start listening or did not end in time."""


@dataclass(slots=True)
class Process:
    """One started process.

    Attributes:
        name: Name of the process.
        port: Port on which the process listens.
        popen: Handle of the operating system process.
    """

    name: str
    port: int
    popen: subprocess.Popen[bytes]

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Signals the process."""
        self.popen.send_signal(signal_number)

    def is_running(self) -> bool:
        """Returns whether the process has not ended."""
        return self.popen.poll() is None


class Processes:
    """Starts processes; leaving the context kills those that still run.

    Args:
        directory: Directory for settings files and logs.

    Attributes:
        started: Started processes by name.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.started: dict[str, Process] = {}

    async def __aenter__(self) -> "Processes":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for process in self.started.values():
            if process.is_running():
                process.popen.kill()
            process.popen.wait()

    async def start(
        self, name: str, *, command: list[str], settings: Mapping[str, Any], port: int
    ) -> Process:
        """Starts a sub-command and waits until its port accepts connections.

        Args:
            name: Name of the process.
            command: Words of the sub-command, such as ``["proxy"]``.
            settings: Content of the settings file.
            port: Port on which the process will listen.

        Raises:
            ProcessError: The process ended, or did not listen in time.
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
            if not process.is_running():
                break
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", process.port)
                writer.close()
                return
            except OSError:
                await asyncio.sleep(POLL_S)
        log = (self._directory / f"{process.name}.log").read_text(encoding="utf-8")
        raise ProcessError(
            f"{process.name} does not listen on port {process.port}: {log[-2000:]}"
        )

    async def restart(self, name: str) -> None:
        """Restarts an ended process with the same settings.

        Raises:
            ProcessError: The process ended, or did not listen in time.
        """
        process = self.started[name]
        with (self._directory / f"{name}.log").open("ab") as log:
            process.popen = subprocess.Popen(process.popen.args, stdout=log, stderr=log)
        await self._wait_for_port(process)

    async def stop(self, name: str) -> int:
        """Stops a process by SIGTERM and returns its exit code.

        Raises:
            ProcessError: The process did not end within `STOP_TIMEOUT_S`.
        """
        process = self.started[name]
        process.send_signal(signal.SIGTERM)
        for _ in range(int(STOP_TIMEOUT_S / POLL_S)):
            if not process.is_running():
                return process.popen.wait()
            await asyncio.sleep(POLL_S)
        raise ProcessError(f"{name} did not end within {STOP_TIMEOUT_S:.0f} s")


def free_ports(count: int) -> list[int]:
    """Returns free loopback ports.

    The ports lie below the range from which the system takes ports for outgoing
    connections, so no such connection takes one between this call and the start
    of the listener.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_candidate_ports)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports


def _iterate_ports() -> Iterator[int]:
    # Processes that run at the same time start their search at different ports.
    start = os.getpid() * PORT_STRIDE
    for step in itertools.count():
        yield FIRST_PORT + (start + step) % PORT_COUNT


_candidate_ports = _iterate_ports()
