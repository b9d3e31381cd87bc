"""The active routing table of this process."""

from heatherpier.routing._types import Route, RoutingTable
from heatherpier.telemetry import get_logger

log = get_logger("routing")


class ActiveRoutes:
    """Holds the newest routing table, whose version never decreases.

    Attributes:
        table: The active table; empty with version 0 before any has arrived.
    """

    def __init__(self) -> None:
        self.table = RoutingTable(version=0)

    @property
    def known(self) -> bool:
        """Whether any routing table has arrived."""
        return self.table.version > 0

    def replace_if_newer(self, table: RoutingTable) -> bool:
        """Activates a valid table if it is newer, and returns whether it is."""
        previous = self.table.version
        if table.version <= previous:
            return False
        self.table = table
        log.info(
            "configuration activated",
            version=table.version,
            previous=previous,
            routes=len(table.routes),
        )
        return True

    def route(self, database: str) -> Route | None:
        """Returns the route of ``database``, or None if there is none."""
        return self.table.routes.get(database)
