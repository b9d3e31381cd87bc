"""Decides which proxies own the connections to an instance."""

from collections.abc import Callable, Mapping, Sequence

from heatherpier.discovery import InstanceRecord
from heatherpier.fleet import Peer
from heatherpier.forwarding._ranking import candidates, count_homes, rank
from heatherpier.leases import MemberRecord
from heatherpier.pooling import CONTROL_CONNECTIONS, PoolLimits
from heatherpier.telemetry import get_logger

log = get_logger("forwarding")
# Connections per instance that a proxy may open while it reaches no home, or for
# statements that are forwarded to it although its own table names other homes.
RESERVE_CONNECTIONS = 2
# Fraction of the connections of an instance that its homes leave for such reserves.
RESERVE_FRACTION = 1 / 16
# Time in seconds after which a home closes an unused connection. The statements of an
# organisation are often seconds apart. With 74 organisations, 2 s gave 0.23 new
# connections per statement, 5 s 0.11 and 15 s 0.07, but the longer connections are
# kept, the fewer are free after all proxies have lost power.
HOME_IDLE_S = 5.0


class HomeDirectory:
    """Chooses the homes of each instance from the table of members.

    Proxies with the same table choose the same homes. With different tables they may
    disagree; a proxy that is not a home by its own table still runs what it gets.

    Args:
        me: Name of this proxy.
        members: Returns the registered proxies by name.
        accepted: Returns how many connections an instance of a service accepts.
        identified: Returns whether callers are identified.
        region: Returns the region of a data centre.
        usable: Returns whether a member answers and is not stopping, as far as this
            proxy knows.
        burdened: Returns whether a member recently refused requests for an instance
            or has a long queue for it.
    """

    def __init__(
        self,
        me: str,
        *,
        members: Callable[[], Mapping[str, MemberRecord]],
        accepted: Callable[[str], int],
        identified: Callable[[], bool],
        region: Callable[[str], str],
        usable: Callable[[MemberRecord], bool] = lambda _: True,
        burdened: Callable[[MemberRecord, str], bool] = lambda *_: False,
    ) -> None:
        self._me = me
        self._members = members
        self._accepted = accepted
        self._identified = identified
        self._region = region
        self._usable = usable
        self._burdened = burdened
        # By name, service and data centre of the instance.
        self._homes: dict[tuple[str, str, str], Sequence[MemberRecord]] = {}
        self._orders: dict[tuple[str, str], Sequence[MemberRecord]] = {}
        self._logged: dict[str, list[str]] = {}

    def forget(self) -> None:
        """Drops cached choices, because members or limits have changed."""
        self._homes.clear()
        self._orders.clear()

    def active(self, service: str) -> bool:
        """Returns whether statements to instances of a service are forwarded.

        They are if callers are identified or if an even share of the connections is
        less than one connection.
        """
        accepted = self._accepted(service)
        if not accepted:
            return False
        few = accepted - CONTROL_CONNECTIONS < len(self._members())
        return few or self._identified()

    def homes(self, record: InstanceRecord) -> Sequence[MemberRecord]:
        """Returns the homes of an instance, whether or not they can be reached."""
        key = (record.name, record.service, record.instance.data_centre)
        known = self._homes.get(key)
        if known is not None:
            return known
        members = list(self._members().values())
        near = candidates(record.instance.data_centre, members, region=self._region)
        count = count_homes(self._accepted(record.service))
        homes = rank(record.name, near)[:count]
        self._homes[key] = homes
        # The orders of an earlier data centre no longer hold.
        for order in [order for order in self._orders if order[0] == record.name]:
            del self._orders[order]
        self._log_change(record.name, homes)
        return homes

    def _log_change(self, instance: str, homes: Sequence[MemberRecord]) -> None:
        names = [item.peer.name for item in homes]
        if self._logged.get(instance) != names:
            self._logged[instance] = names
            log.info(
                "homes of an instance changed",
                instance=instance,
                homes=names,
                home_here=self._me in names,
                members=len(self._members()),
            )

    def is_home(self, record: InstanceRecord) -> bool:
        """Returns whether this proxy is a home of an instance, by its own table."""
        return any(item.peer.name == self._me for item in self.homes(record))

    def ranked(
        self, record: InstanceRecord, organisation: str
    ) -> list[MemberRecord] | None:
        """Returns the other homes for a statement, best first.

        A home uses its own pool, except for organisations whose connections another
        home holds: its own connections for all of them would displace each other.

        Returns:
            None if this proxy is to use its own pool; an empty list if it is not a home
            and no home can be reached.
        """
        if not self.active(record.service):
            return None
        if not organisation and self.is_home(record):
            return None
        usable = [
            item
            for item in self._order(record, organisation)
            if item.peer.name == self._me or self._usable(item)
        ]
        usable.sort(key=lambda item: self._burdened(item, record.name))
        if usable and usable[0].peer.name == self._me:
            return None
        return [item for item in usable if item.peer.name != self._me]

    def choose(self, record: InstanceRecord, organisation: str) -> Peer | None:
        """Returns the home to forward a statement to, or None to use the own pool."""
        ranked = self.ranked(record, organisation)
        return ranked[0].peer if ranked else None

    def _order(
        self, record: InstanceRecord, organisation: str
    ) -> Sequence[MemberRecord]:
        key = (record.name, organisation)
        order = self._orders.get(key)
        if order is None:
            # An organisation keeps its connections at one home. Statements without one
            # are spread by the proxy that forwards them.
            subject = f"o\0{organisation}" if organisation else f"p\0{self._me}"
            order = rank(f"{record.name}\0{subject}", self.homes(record))
            self._orders[key] = order
        return order

    def limits(self, record: InstanceRecord) -> PoolLimits:
        """Returns how many connections this proxy may open itself to an instance."""
        if not self.is_home(record):
            return PoolLimits(
                soft_limit=RESERVE_CONNECTIONS, hard_limit=RESERVE_CONNECTIONS
            )
        accepted = self._accepted(record.service)
        shared = accepted - CONTROL_CONNECTIONS - int(accepted * RESERVE_FRACTION)
        share = max(shared // len(self.homes(record)), 1)
        return PoolLimits(soft_limit=share, hard_limit=share, idle_s=HOME_IDLE_S)
