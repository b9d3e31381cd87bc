"""Describes the deployments that the bench runs."""

import hashlib
from dataclasses import dataclass
from typing import Any

DEMO_PASSWORD = "demo"
DEMO_TOKEN_KEY = "00112233445566778899aabbccddeeff"


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Sizes and data centres of one user's deployment.

    Attributes:
        name: Name of the deployment.
        service: Name of the service.
        user: User name of the callers.
        data_centres: Names of the data centres; each has one instance of each group.
        groups: Count of database groups.
        connections: Connections that an instance accepts.
        slots: Statements that an instance runs at once.
        lag_ms: Replication delay in milliseconds.
        far_ms: One-way delay between two data centres, each in its own region,
            in milliseconds.
        caller_ms: One-way delay between callers and proxies in milliseconds.
    """

    name: str
    service: str
    user: str
    data_centres: tuple[str, ...]
    groups: int = 3
    connections: int = 20
    slots: int = 3
    lag_ms: int = 50
    far_ms: int = 12
    caller_ms: int = 3

    def group_names(self) -> list[str]:
        """Returns the names of the database groups."""
        return [f"{self.service}-{number + 1}" for number in range(self.groups)]

    def database(self, group: str) -> str:
        """Returns the name of the schema by which callers select ``group``."""
        return group.replace("-", "_")

    def instances(self, group: str, *, ports: list[int]) -> list[dict[str, Any]]:
        """Returns the instances of ``group`` as the settings document lists them.

        Args:
            group: Name of the database group.
            ports: Port of the instance in each data centre.
        """
        return [
            {
                "name": f"{group}-{data_centre}",
                "host": "127.0.0.1",
                "port": port,
                "data_centre": data_centre,
            }
            for data_centre, port in zip(self.data_centres, ports, strict=True)
        ]


SEN_VANG = Deployment(
    name="sen-vang",
    service="assist-core",
    user="dispatch",
    data_centres=("north-a", "central-a", "south-a"),
)
LANTERN_LEDGER = Deployment(
    name="lantern-ledger",
    service="claims-ledger",
    user="ledger",
    data_centres=("taipei-a", "taichung-a", "kaohsiung-a"),
    connections=40,
    caller_ms=1,
)
DEPLOYMENTS = {item.name: item for item in (SEN_VANG, LANTERN_LEDGER)}


def hash_password(password: str) -> str:
    """Returns the password hash that the settings document holds for a caller."""
    # The MySQL protocol prescribes SHA1(SHA1(password)).
    return hashlib.sha1(hashlib.sha1(password.encode()).digest()).hexdigest()
