"""Starts a whole deployment as processes: instances, platform and proxies."""

import asyncio
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import zmq

from heatherpier.bench._deployment import (
    DEMO_PASSWORD,
    DEMO_TOKEN_KEY,
    Deployment,
    hash_password,
)
from heatherpier.bench._processes import Process, Processes, free_ports
from heatherpier.settings import load_document
from heatherpier.upstreams import Instance


@dataclass(slots=True)
class Fleet:
    """The running processes of one deployment.

    Attributes:
        deployment: Deployment that was started.
        processes: All processes by name.
        instances: Processes of the instances, by name of the group.
        addresses: Addresses of the instances, by name of the group.
        proxies: Processes of the proxies.
        join_settings: Settings of each proxy for fleet, platform and admin endpoint;
            empty without platform.
    """

    deployment: Deployment
    processes: Processes
    instances: dict[str, list[Process]] = field(default_factory=dict)
    addresses: dict[str, list[Instance]] = field(default_factory=dict)
    proxies: list[Process] = field(default_factory=list)
    join_settings: list[dict[str, Any]] = field(default_factory=list)


async def start_fleet(
    deployment: Deployment,
    *,
    processes: Processes,
    directory: Path,
    proxies: int,
    with_platform: bool = False,
) -> Fleet:
    """Starts all instances and proxies, and waits until they listen.

    Args:
        deployment: Deployment to start.
        processes: Records the started processes and ends them.
        directory: Directory for the settings document.
        proxies: Count of proxies, spread over the data centres.
        with_platform: Whether to start the platform and to join the proxies in a fleet.
    """
    fleet = Fleet(deployment=deployment, processes=processes)
    groups = []
    for group in deployment.group_names():
        ports = free_ports(len(deployment.data_centres))
        models = deployment.instances(group, ports=ports)
        groups.append(
            {
                "name": group,
                "database": deployment.database(group),
                "instances": models,
            }
        )
        fleet.addresses[group] = [Instance(**model) for model in models]
        fleet.instances[group] = await asyncio.gather(
            *(_start_instance(fleet, models, index) for index in range(len(models)))
        )
    document = directory / "document.json"
    document.write_text(json.dumps(_document(deployment, groups)), encoding="utf-8")
    load_document(document)
    if with_platform:
        fleet.join_settings = await _start_platform(fleet, count=proxies)
    fleet.proxies = await asyncio.gather(
        *(
            _start_proxy(fleet, number, port, document=document, count=proxies)
            for number, port in enumerate(free_ports(proxies))
        )
    )
    return fleet


async def _start_platform(fleet: Fleet, *, count: int) -> list[dict[str, Any]]:
    """Starts the platform and returns the settings with which each proxy joins."""
    platform_port, *ports = free_ports(1 + 2 * count)
    await fleet.processes.start(
        "platform",
        command=["bench", "platform"],
        settings={"port": platform_port},
        port=platform_port,
    )
    public, secret = zmq.curve_keypair()
    url = f"http://127.0.0.1:{platform_port}"
    data_centres = fleet.deployment.data_centres
    seeds = [
        {
            "name": f"proxy-{number + 1}",
            "host": "127.0.0.1",
            "port": ports[number],
            "data_centre": data_centres[number % len(data_centres)],
        }
        for number in range(count)
    ]
    return [
        {
            "fleet": {
                "port": ports[number],
                "public_key": public.decode(),
                "secret_key": secret.decode(),
                "seeds": seeds,
            },
            "platform": {
                "table_url": url,
                "object_url": url,
                "table": "heatherpier",
                "bucket": "heatherpier",
                "access_key": "demo",
                "secret_key": "demo",
            },
            "admin": {"port": ports[count + number]},
        }
        for number in range(count)
    ]


async def _start_instance(
    fleet: Fleet, models: list[dict[str, Any]], index: int
) -> Process:
    deployment = fleet.deployment
    model = models[index]
    return await fleet.processes.start(
        model["name"],
        command=["bench", "instance"],
        settings={
            "name": model["name"],
            "instances": models,
            "first_primary": models[0]["name"],
            "slots": deployment.slots,
            "connections": deployment.connections,
            "lag_ms": deployment.lag_ms,
            "far_ms": deployment.far_ms,
        },
        port=model["port"],
    )


async def _start_proxy(
    fleet: Fleet, number: int, port: int, *, document: Path, count: int
) -> Process:
    deployment = fleet.deployment
    name = f"proxy-{number + 1}"
    data_centres = deployment.data_centres
    return await fleet.processes.start(
        name,
        command=["proxy"],
        settings={
            "name": name,
            "deployment": deployment.name,
            "data_centre": data_centres[number % len(data_centres)],
            "port": port,
            "proxies": count,
            "token_keys": [DEMO_TOKEN_KEY],
            "document": str(document),
            **(fleet.join_settings[number] if fleet.join_settings else {}),
        },
        port=port,
    )


def _document(deployment: Deployment, groups: list[dict[str, Any]]) -> dict[str, Any]:
    return {
        "services": [
            {
                "name": deployment.service,
                "groups": groups,
                "slots": deployment.slots,
                "connections": deployment.connections,
                "users": [
                    {
                        "name": deployment.user,
                        "password_hash": hash_password(DEMO_PASSWORD),
                    }
                ],
            }
        ]
    }
