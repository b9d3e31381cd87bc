"""Sub-commands of ``heatherpier bench``."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from heatherpier.bench._balancing_report import print_balancing
from heatherpier.bench._control_cost import as_dict, measure_control_cost
from heatherpier.bench._demo import Plan, RollingRestart, run_demo
from heatherpier.bench._deployment import DEPLOYMENTS, Deployment
from heatherpier.bench._failover_report import print_failover
from heatherpier.bench._faults import run_faults
from heatherpier.bench._forwarding_cost import measure_forwarding_cost
from heatherpier.bench._instance_server import run_instance
from heatherpier.bench._load_run import run_load
from heatherpier.bench._order import order_report
from heatherpier.bench._overload import run_overload
from heatherpier.bench._platform_server import run_platform
from heatherpier.bench._quotas import run_quotas
from heatherpier.bench._read_share import READ_MIXES, run_reads
from heatherpier.bench._scale import run_scale
from heatherpier.bench._write_cost import print_write_costs
from heatherpier.quotas import FixedShares, LossPolicy, RaisedShares
from heatherpier.settings import InvalidSettingsError

# What allocators create while others are missing, by name.
LOSS_POLICIES: Mapping[str, LossPolicy] = {
    "fixed": FixedShares(),
    "raised": RaisedShares(),
}
EXIT_OK = 0
EXIT_FAILED = 1
RANDOM_SEED_LIMIT = 1_000_000


def run_bench(args: Mapping[str, Any]) -> int:
    """Runs the ``bench`` sub-command that ``args`` names and returns the exit code.

    Args:
        args: Parsed command line.

    Raises:
        InvalidSettingsError: An option has an invalid value.
    """
    run_command = next(command for name, command in COMMANDS.items() if args[name])
    return run_command(args)


def _run_platform_process(args: Mapping[str, Any]) -> int:
    asyncio.run(run_platform(Path(args["--settings"])))
    return EXIT_OK


def _run_instance_process(args: Mapping[str, Any]) -> int:
    asyncio.run(run_instance(Path(args["--settings"])))
    return EXIT_OK


def _run_writes(args: Mapping[str, Any]) -> int:
    print_write_costs()
    return EXIT_OK


def _run_balancing(args: Mapping[str, Any]) -> int:
    print_balancing(seed=_seed(args))
    return EXIT_OK


def _run_failover(args: Mapping[str, Any]) -> int:
    print_failover()
    return EXIT_OK


def _run_overload(args: Mapping[str, Any]) -> int:
    run_overload(proxies=_integer(args, "--proxies", minimum=1), seed=_seed(args))
    return EXIT_OK


def _run_order(args: Mapping[str, Any]) -> int:
    runs = _integer(args, "--seeds", minimum=1)
    print(json.dumps(order_report(seed=_seed(args), runs=runs), indent=1))
    return EXIT_OK


def _run_restart(args: Mapping[str, Any]) -> int:
    return _run_demo(args, plan=RollingRestart())


def _run_control(args: Mapping[str, Any]) -> int:
    cost = asyncio.run(
        measure_control_cost(
            _deployment(args),
            proxies=_integer(args, "--proxies", minimum=1),
            duration_s=_integer(args, "--seconds", minimum=1),
        )
    )
    print(json.dumps(as_dict(cost), indent=1))
    return EXIT_OK


def _run_scale(args: Mapping[str, Any]) -> int:
    nodes = _integer(args, "--nodes", minimum=2)
    print(json.dumps(run_scale(nodes=nodes, seed=_seed(args)).as_dict(), indent=1))
    return EXIT_OK


def _run_forwarding(args: Mapping[str, Any]) -> int:
    cost = measure_forwarding_cost(seed=_seed(args))
    print(json.dumps(cost.as_dict(), indent=1))
    return EXIT_OK


def _run_quotas(args: Mapping[str, Any]) -> int:
    proxies = _integer(args, "--proxies", minimum=1)
    shares = args["--shares"]
    if shares not in LOSS_POLICIES:
        known = ", ".join(LOSS_POLICIES)
        raise InvalidSettingsError("--shares", [f"expected {known}, got {shares!r}"])
    figures = run_quotas(
        proxies=proxies,
        seed=_seed(args),
        lost=_integer(args, "--lost", minimum=0),
        loss=LOSS_POLICIES[shares],
    )
    print(json.dumps(figures, indent=1))
    return EXIT_OK


def _run_reads(args: Mapping[str, Any]) -> int:
    name = args["--deployment"]
    if name not in READ_MIXES:
        known = ", ".join(READ_MIXES)
        raise InvalidSettingsError("--deployment", [f"expected {known}, got {name!r}"])
    proxies = _integer(args, "--proxies", minimum=1)
    all_served = run_reads(READ_MIXES[name], proxies=proxies, seed=_seed(args))
    return EXIT_OK if all_served else EXIT_FAILED


def _run_demo(args: Mapping[str, Any], *, plan: Plan | None = None) -> int:
    failures = asyncio.run(
        run_demo(
            _deployment(args),
            proxies=_integer(args, "--proxies", minimum=1),
            seed=_seed(args),
            plan=plan,
        )
    )
    return EXIT_FAILED if failures else EXIT_OK


def _run_load(args: Mapping[str, Any]) -> int:
    summary = asyncio.run(
        run_load(
            _deployment(args),
            proxies=_integer(args, "--proxies", minimum=1),
            rate=_integer(args, "--rate", minimum=1),
            duration_s=_integer(args, "--seconds", minimum=1),
            seed=_seed(args),
        )
    )
    print(json.dumps(dataclasses.asdict(summary), indent=1))
    return EXIT_OK


def _run_cost(args: Mapping[str, Any]) -> int:
    # Only the measurements need psutil; it is not a requirement of the proxy.
    from heatherpier.bench._cost import measure_cost

    print(json.dumps(dataclasses.asdict(asyncio.run(measure_cost())), indent=1))
    return EXIT_OK


def _run_faults(args: Mapping[str, Any]) -> int:
    first_seed = 0 if args["--seed"] is None else _seed(args)
    failed = run_faults(first=first_seed, count=_integer(args, "--seeds", minimum=1))
    return EXIT_FAILED if failed else EXIT_OK


def _deployment(args: Mapping[str, Any]) -> Deployment:
    name = args["--deployment"]
    if name not in DEPLOYMENTS:
        known = ", ".join(DEPLOYMENTS)
        raise InvalidSettingsError("--deployment", [f"expected {known}, got {name!r}"])
    return DEPLOYMENTS[name]


def _seed(args: Mapping[str, Any]) -> int:
    if args["--seed"] is None:
        return random.SystemRandom().randrange(RANDOM_SEED_LIMIT)
    return _integer(args, "--seed", minimum=0)


def _integer(args: Mapping[str, Any], option: str, *, minimum: int) -> int:
    text = str(args[option])
    if not text.isdecimal() or int(text) < minimum:
        raise InvalidSettingsError(
            option, [f"expected a whole number from {minimum}, got {text!r}"]
        )
    return int(text)


COMMANDS: Mapping[str, Callable[[Mapping[str, Any]], int]] = {
    "balancing": _run_balancing,
    "control": _run_control,
    "cost": _run_cost,
    "demo": _run_demo,
    "failover": _run_failover,
    "faults": _run_faults,
    "forwarding": _run_forwarding,
    "instance": _run_instance_process,
    "load": _run_load,
    "order": _run_order,
    "overload": _run_overload,
    "platform": _run_platform_process,
    "quotas": _run_quotas,
    "reads": _run_reads,
    "restart": _run_restart,
    "scale": _run_scale,
    "writes": _run_writes,
}
