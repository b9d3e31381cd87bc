"""What the engine of a proxy on the users' platform is joined to."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Peer, PeerNetwork
from heatherpier.leases import InstanceControl, Promotions
from heatherpier.pooling import InstanceConnector
from heatherpier.routing import RoutingTable
from heatherpier.tables import RowStore


class UnreadableRowError(Exception):
    """A row of the store can't be read; the message names the field."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoreLayout:
    """Where the store holds configuration and instances, and how to read them.

    Attributes:
        configuration: Table of the configuration.
        configuration_key: Key of the newest one.
        instances: Table of the instances, by name.
        read_configuration: Decodes it; raises UnreadableRowError.
        read_instance: Decodes an instance by name; raises UnreadableRowError.
    """

    configuration: str
    configuration_key: str
    instances: str
    read_configuration: Callable[[bytes], RoutingTable]
    read_instance: Callable[[str, bytes], InstanceRecord]


@dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """What the engine reaches others by.

    Attributes:
        store: The store.
        network: Other proxies.
        connector: Connections to instances for work.
        control: Control statements to instances.
        promotions: Orders of promotions.
    """

    store: RowStore
    network: PeerNetwork
    connector: InstanceConnector
    control: InstanceControl
    promotions: Promotions


@dataclass(frozen=True, slots=True, kw_only=True)
class VmLocation:
    """What the engine knows of its VM.

    Attributes:
        me: Name and address for peers.
        seeds: Peers to ask while no members are known.
        distance: Tells how far a data centre is: 0 the own, 1 the region, 2 others.
    """

    me: Peer
    seeds: tuple[Peer, ...]
    distance: Callable[[str], int]
