"""Stand-ins for the systems around the proxy, and tools that load and test it."""

from heatherpier.bench._cluster import MemoryGroup, start_memory_group
from heatherpier.bench._commands import run_bench
from heatherpier.bench._directory import MemoryDirectory
from heatherpier.bench._failover import (
    FailoverCluster,
    Loss,
    LossResult,
    measure_loss,
    start_failover_cluster,
)
from heatherpier.bench._instance import Instance
from heatherpier.bench._instance_faults import InstanceFaults
from heatherpier.bench._instance_server import run_instance, serve_instance
from heatherpier.bench._memory import MemoryNetwork
from heatherpier.bench._memory_fleet_node import (
    MemoryFleetNode,
    make_fleet_node,
    make_peers,
)
from heatherpier.bench._memory_peers import MemoryFleet
from heatherpier.bench._platform import MemoryPlatform
from heatherpier.bench._platform_server import run_platform, serve_platform
from heatherpier.bench._processes import free_ports
from heatherpier.bench._simulated_deployment import SimulatedDeployment, ask

__all__ = [
    "FailoverCluster",
    "Instance",
    "InstanceFaults",
    "SimulatedDeployment",
    "Loss",
    "LossResult",
    "MemoryDirectory",
    "MemoryFleetNode",
    "MemoryFleet",
    "MemoryGroup",
    "MemoryNetwork",
    "MemoryPlatform",
    "ask",
    "free_ports",
    "make_fleet_node",
    "make_peers",
    "run_bench",
    "measure_loss",
    "run_instance",
    "run_platform",
    "serve_instance",
    "serve_platform",
    "start_failover_cluster",
    "start_memory_group",
]
