"""The routing table that is active in this process."""

from heatherpier.routing._types import Route, RoutingTable
from heatherpier.telemetry import get_logger

log = get_logger("routing")


class ActiveRoutes:
    """Holds the newest routing table; versions only rise.

    Attributes:
        table: The table.
    """

    def __init__(self) -> None:
        self.table = RoutingTable(version=0)

    @property
    def known(self) -> bool:
        """Whether any version has arrived."""
        return self.table.version > 0

    def replace_if_newer(self, table: RoutingTable) -> bool:
        """Activates a valid table if it is newer, and tells whether it is."""
        previous = self.table.version
        if table.version <= previous:
            return False
        self.table = table
        log.info(
            "configuration in force",
            version=table.version,
            previous=previous,
            routes=len(table.routes),
        )
        return True

    def route(self, database: str) -> Route | None:
        """Returns the route of ``database``, or None."""
        return self.table.routes.get(database)
