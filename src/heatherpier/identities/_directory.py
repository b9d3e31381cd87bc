"""Resolves a caller's key to an organisation."""

from collections.abc import Callable
from dataclasses import dataclass

from heatherpier.routing import ActiveRoutes, Route


@dataclass(frozen=True, slots=True)
class Identified:
    """The key belongs to an organisation.

    Attributes:
        organisation: Name of the organisation.
    """

    organisation: str


@dataclass(frozen=True, slots=True)
class Anonymous:
    """The caller may use the route without a known key."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The caller may not use the route.

    Attributes:
        final: Whether the configuration is recent enough to say so for certain. If
            not, the key may have been added since.
    """

    final: bool


Identity = Identified | Anonymous | Rejected


class CallerDirectory:
    """Resolves keys by the active routing table.

    It is asked before each operation, so that a withdrawn key ends open sessions too.

    Args:
        routes: The active routing table.
        configuration_recent: Returns whether the routing table was confirmed
            recently enough to reject a key for certain.
    """

    def __init__(
        self, *, routes: ActiveRoutes, configuration_recent: Callable[[], bool]
    ) -> None:
        self._routes = routes
        self._configuration_recent = configuration_recent

    def identify(self, route: Route, key: str) -> Identity:
        """Returns who a caller of a route is.

        Args:
            route: The route of the caller's database.
            key: The caller's key; may be empty.
        """
        table = self._routes.table
        if table.organisations is None:
            return Anonymous()
        name = table.keys.get(key)
        if name is not None:
            return Identified(name)
        if route.open_to_all:
            return Anonymous()
        return Rejected(final=self._configuration_recent())
