"""Stand-ins for the systems around the proxy, and the tools that drive it."""

from heatherpier.bench._cluster import MemoryGroup, start_memory_group
from heatherpier.bench._instance import Instance, InstanceFaults
from heatherpier.bench._instance_server import run_instance, serve_instance
from heatherpier.bench._memory import MemoryNetwork

__all__ = [
    "Instance",
    "InstanceFaults",
    "MemoryGroup",
    "MemoryNetwork",
    "run_instance",
    "serve_instance",
    "start_memory_group",
]
