"""Decoding of the settings file that the platform writes for a process."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.platform._errors import MalformedRecordError
from heatherpier.platform._instances import split_address
from heatherpier.quotas import QuotaWindow

MS_PER_S = 1000
# Contract under which callers are identified by their keys.
IDENTITIES_CONTRACT = "tenants"


class _Listen(msgspec.Struct, kw_only=True):
    # Address for callers, as ``IP:port``.
    front: str
    # Address of the readiness probe, as ``IP:port``.
    ready: str


class _Limits(msgspec.Struct, kw_only=True, rename="camel"):
    memory_mb: float = 0
    max_fds: int = 0
    cores: float = 1
    # Share of these cores that the process may use.
    cpu_share: float = 1


class _Bounds(msgspec.Struct, kw_only=True, rename="camel"):
    # Time from SIGTERM to SIGKILL, in seconds.
    grace_s: float = 6
    # Time for which a leaving instance accepts work, in milliseconds; 0 if unknown.
    drain_ms: float = 0
    # Length of the windows in which the operations of a tenant are counted, in seconds;
    # 0 if they are not limited.
    quota_window_s: float = 0
    # Operations that such a window allows beyond rate and burst: a fraction of them, and
    # a number.
    quota_excess: float = 0.1
    quota_extra: float = 20


class _Platform(msgspec.Struct, kw_only=True):
    # ``IP:port``.
    address: str


class _Settings(msgspec.Struct, kw_only=True, rename="camel"):
    # Name of the VM.
    node: str
    ip: str
    # Data centre of the VM.
    zone: str
    # Region of each data centre.
    zones: dict[str, str]
    listen: _Listen
    # First and last of the ports that are free for traffic between proxies.
    internal_ports: tuple[int, int]
    # Address of the store.
    platform: _Platform
    # Address at which promotions are requested.
    cloud_api: _Platform
    # Addresses of other proxies, of which only the host is used.
    seeds: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # Names of the parts of the rules that are in force.
    contracts: list[str] = []


@dataclass(frozen=True, slots=True, kw_only=True)
class VmSettings:
    """Settings of the VM that a proxy runs on.

    Attributes:
        name: Name of the VM, unique in the deployment.
        host: IP address of the VM.
        data_centre: Data centre of the VM.
        regions: Region of each data centre.
        callers_port: Port for callers.
        ready_port: Port of the readiness probe.
        peer_port: Port for other proxies.
        metrics_port: Port of metrics and status.
        store: Address of the store, as ``IP:port``.
        promotions: Address at which promotions are requested, as ``IP:port``.
        seeds: Hosts of other proxies, which may be out of date.
        grace_s: Time from SIGTERM to SIGKILL, in seconds.
        drain_s: Time in seconds for which an instance still accepts new work after it
            has said that it leaves; infinite if it is not known.
        identifies_callers: Whether callers need a key.
        quota_window: Windows in which the operations of an organisation are limited,
            or None if they are not.
        capacity: Processor cores that the process may use.
    """

    name: str
    host: str
    data_centre: str
    regions: dict[str, str]
    callers_port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    store: str
    promotions: str
    seeds: tuple[str, ...]
    grace_s: float
    drain_s: float = float("inf")
    identifies_callers: bool = False
    quota_window: QuotaWindow | None = None
    capacity: float = 1.0

    def distance(self, data_centre: str) -> int:
        """Returns 0 for the VM's data centre, 1 for others of its region, else 2."""
        if data_centre == self.data_centre:
            return 0
        own = self.regions.get(self.data_centre)
        return 1 if own is not None and self.regions.get(data_centre) == own else 2

    def region(self, data_centre: str) -> str:
        """Returns the region of a data centre; an unlisted one is its own region."""
        return self.regions.get(data_centre, data_centre)


def load_vm_settings(path: Path) -> VmSettings:
    """Loads the settings file.

    Raises:
        MalformedRecordError: The file can't be read or decoded; the message names the
            field.
    """
    try:
        raw = msgspec.yaml.decode(path.read_bytes(), type=_Settings)
        _, callers_port = split_address(raw.listen.front)
        _, ready_port = split_address(raw.listen.ready)
        seeds = tuple(split_address(seed)[0] for seed in raw.seeds)
        for address in (raw.platform.address, raw.cloud_api.address):
            split_address(address)
    except (OSError, *DECODE_ERRORS) as exc:
        raise MalformedRecordError(f"{path}: {exc}") from exc
    first, last = raw.internal_ports
    if last <= first:
        raise MalformedRecordError(
            f"{path}: expected at least two internal ports, got {first} to {last}"
        )
    return VmSettings(
        name=raw.node,
        host=raw.ip,
        data_centre=raw.zone,
        regions=raw.zones,
        callers_port=callers_port,
        ready_port=ready_port,
        peer_port=first,
        metrics_port=first + 1,
        store=raw.platform.address,
        promotions=raw.cloud_api.address,
        seeds=seeds,
        grace_s=raw.bounds.grace_s,
        drain_s=raw.bounds.drain_ms / MS_PER_S or float("inf"),
        identifies_callers=IDENTITIES_CONTRACT in raw.contracts,
        quota_window=_quota_window(raw.bounds),
        capacity=raw.limits.cores * raw.limits.cpu_share,
    )


def _quota_window(bounds: _Bounds) -> QuotaWindow | None:
    if bounds.quota_window_s <= 0:
        return None
    return QuotaWindow(
        length_s=bounds.quota_window_s,
        excess=bounds.quota_excess,
        extra=bounds.quota_extra,
    )
