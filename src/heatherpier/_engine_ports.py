"""Interfaces and static data that `ProxyEngine` is composed with."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Peer, PeerNetwork
from heatherpier.leases import InstanceControl, Promotions
from heatherpier.pooling import InstanceConnector
from heatherpier.routing import RoutingTable
from heatherpier.tables import RowStore


class UnreadableRowError(Exception):
    """A row of the store is malformed; the message names the field."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLayout:
    """Where the store holds configuration and instances, and how to decode them.

    Attributes:
        configuration: Name of the configuration's table.
        configuration_key: Key of the row that holds the newest configuration.
        instances: Name of the instances' table, whose keys are their names.
        read_configuration: Decodes the body of a configuration row; raises
            UnreadableRowError.
        read_instance: Decodes an instance from its name and the body of its row;
            raises UnreadableRowError.
    """

    configuration: str
    configuration_key: str
    instances: str
    read_configuration: Callable[[bytes], RoutingTable]
    read_instance: Callable[[str, bytes], InstanceRecord]


@dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Interfaces by which the engine reaches other processes.

    Attributes:
        store: Tables of the store.
        network: Messages to and from other proxies.
        connector: Opens connections to instances for callers' statements.
        control: Sends control statements to instances.
        promotions: Requests promotions of instances.
    """

    store: RowStore
    network: PeerNetwork
    connector: InstanceConnector
    control: InstanceControl
    promotions: Promotions


@dataclass(frozen=True, slots=True, kw_only=True)
class VmLocation:
    """Identity of the engine's VM and its distance to others.

    Attributes:
        me: Name and address under which peers reach this proxy.
        seeds: Peers that are asked while no members are known.
        distance: Returns the distance of a data centre: 0 for the VM's own, 1 for
            others in its region, 2 for other regions.
        region: Returns the region of a data centre.
        capacity: Relative capacity of the VM.
    """

    me: Peer
    seeds: tuple[Peer, ...]
    distance: Callable[[str], int]
    region: Callable[[str], str] = str
    capacity: float = 1.0
