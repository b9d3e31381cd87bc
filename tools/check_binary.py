"""Checks that the one-file program runs a proxy, and measures its start and memory.

Fails if the process has a child, does not become ready, or does not exit with code 0
after SIGTERM. The process does not have the source tree on its path.
"""

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import psutil

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
READY_TIMEOUT_S = 60


def free_port() -> int:
    """Returns a free TCP port on the loopback interface."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def write_settings(directory: Path) -> tuple[Path, int]:
    """Writes settings for the loopback interface; returns their path and admin port."""
    cfg = json.loads((EXAMPLES / "proxy.json").read_text())
    admin_port = free_port()
    cfg |= {
        "host": "127.0.0.1",
        "port": free_port(),
        "document": str(EXAMPLES / "document.json"),
        "admin": {"host": "127.0.0.1", "port": admin_port},
        "stop": {"unready_ms": 0, "linger_ms": 100},
    }
    path = directory / "proxy.json"
    path.write_text(json.dumps(cfg))
    return path, admin_port


def wait_until_ready(port: int, process: subprocess.Popen[bytes]) -> None:
    """Waits until the admin endpoint reports that the proxy is ready."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline and process.poll() is None:
        try:
            urllib.request.urlopen(f"http://127.0.0.1:{port}/ready", timeout=1)
            return
        except OSError:
            time.sleep(0.02)
    process.kill()
    sys.exit("the proxy did not become ready")


def run_once(binary: Path, directory: Path) -> None:
    """Starts, measures and stops a proxy; exits with code 1 if a check fails."""
    path, port = write_settings(directory)
    environment = {"PATH": os.environ["PATH"], "HEATHERPIER_UNPACK_DIR": str(directory)}
    began = time.monotonic()
    process = subprocess.Popen(
        [binary, "proxy", f"--settings={path}"], env=environment, cwd="/"
    )
    wait_until_ready(port, process)
    start_s = time.monotonic() - began
    info = psutil.Process(process.pid)
    children = info.children(recursive=True)
    memory = info.memory_info().rss / 1e6
    process.send_signal(signal.SIGTERM)
    code = process.wait(timeout=READY_TIMEOUT_S)
    print(
        f"start {start_s:.2f} s, resident {memory:.0f} MB, "
        f"children {len(children)}, exit code {code}"
    )
    if children or code:
        sys.exit(1)


def main() -> None:
    """Runs the program twice; only the first run has to unpack the libraries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("binary", type=Path)
    binary = parser.parse_args().binary.resolve()
    with tempfile.TemporaryDirectory() as directory:
        run_once(binary, Path(directory))
        run_once(binary, Path(directory))
        unpacked = sum(
            item.stat().st_size for item in Path(directory).rglob("*") if item.is_file()
        )
    print(
        f"file {binary.stat().st_size / 1e6:.1f} MB, unpacked {unpacked / 1e6:.1f} MB"
    )


if __name__ == "__main__":
    main()
