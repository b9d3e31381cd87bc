"""Rows of the fleet's table that say something about one service each.

They are written by the voters, one after the other, so that usually only the first one
does. A row is written under the condition that it is the one that the voter has seen.
"""

from collections.abc import Callable

from heatherpier.leases._view import FLEET_TABLE, FleetView
from heatherpier.tables import Row, RowStore, StoreError
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Period at which a voter checks whether its rows are up to date.
CHECK_PERIOD_S = 0.25
# Time between the moments at which two voters write the same row.
STAGGER_S = 0.5


class ServiceRows:
    """Reads and writes the rows of one prefix.

    Args:
        me: Name of this proxy.
        prefix: Beginning of the keys; the name of the service follows.
        store: The store.
        view: Members and leaders.
        on_row: Called with each service and the content of its row, which is None if
            the row is gone.
        timers: Timer service.
    """

    def __init__(
        self,
        me: str,
        prefix: str,
        *,
        store: RowStore,
        view: FleetView,
        on_row: Callable[[str, bytes | None], None],
        timers: Timers,
    ) -> None:
        self._me = me
        self._prefix = prefix
        self._store = store
        self._view = view
        self._on_row = on_row
        self._timers = timers
        self._versions: dict[str, int] = {}
        # Time by `Timers.elapsed` since which a row has not been up to date.
        self._outdated_since: dict[str, float] = {}
        view.copy.subscribe(self._apply)

    def _apply(self, row: Row) -> None:
        if not row.key.startswith(self._prefix):
            return
        service = row.key.removeprefix(self._prefix)
        self._versions[service] = row.version if row.body is not None else 0
        self._on_row(service, row.body)

    def is_voter(self) -> bool:
        """Returns whether this proxy writes rows."""
        return self._me in self._view.voters()

    async def update(self, service: str, body: bytes | None) -> int:
        """Writes a row if it is this voter's turn.

        Args:
            service: Name of the service.
            body: Content that the row should have; None if it is up to date.

        Returns:
            The new version of the row, or 0 if it was not written.
        """
        if body is None:
            self._outdated_since.pop(service, None)
            return 0
        now = self._timers.elapsed()
        since = self._outdated_since.setdefault(service, now)
        rank = sorted(self._view.voters()).index(self._me)
        if now - since < rank * STAGGER_S:
            return 0
        key = self._prefix + service
        try:
            version = await self._store.put(
                FLEET_TABLE, key, body, expected=self._versions.get(service, 0)
            )
        except StoreError as exc:
            # Another voter was first, or the store is away; it is tried again.
            log.info("row of a service not written", key=key, reason=str(exc))
            self._outdated_since.pop(service, None)
            return 0
        self._view.copy.apply_row(Row(key=key, version=version, body=body))
        return version
