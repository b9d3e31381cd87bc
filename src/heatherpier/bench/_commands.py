"""The ``bench`` sub-commands."""

import asyncio
import random
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from heatherpier.bench._demo import run_demo
from heatherpier.bench._deployment import DEPLOYMENTS
from heatherpier.bench._instance_server import run_instance
from heatherpier.settings import InvalidSettingsError

EXIT_OK = 0
EXIT_FAILED = 1
SEEDS = 1_000_000


def run_bench(args: Mapping[str, Any]) -> int:
    """Runs the chosen ``bench`` sub-command and returns the exit code.

    Raises:
        InvalidSettingsError: An argument is wrong.
    """
    if args["instance"]:
        asyncio.run(run_instance(Path(args["--settings"])))
        return EXIT_OK
    return _run_demo(args)


def _run_demo(args: Mapping[str, Any]) -> int:
    name = args["--deployment"]
    if name not in DEPLOYMENTS:
        known = ", ".join(DEPLOYMENTS)
        raise InvalidSettingsError("--deployment", [f"expected {known}, got {name!r}"])
    broken = asyncio.run(
        run_demo(
            DEPLOYMENTS[name],
            proxies=_integer(args, "--proxies", least=1),
            seed=_seed(args),
        )
    )
    return EXIT_FAILED if broken else EXIT_OK


def _seed(args: Mapping[str, Any]) -> int:
    if args["--seed"] is None:
        return random.SystemRandom().randrange(SEEDS)
    return _integer(args, "--seed", least=0)


def _integer(args: Mapping[str, Any], option: str, *, least: int) -> int:
    text = str(args[option])
    if not text.isdecimal() or int(text) < least:
        raise InvalidSettingsError(
            option, [f"expected a whole number from {least}, got {text!r}"]
        )
    return int(text)
