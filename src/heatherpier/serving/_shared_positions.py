"""The position samples that this proxy shares with others."""

from collections.abc import Callable

from heatherpier.positions import LogPosition
from heatherpier.serving._positions import PositionHistory
from heatherpier.timers import Timers

# A service without a sample for this long has its reads sent to the primary, so a new
# sample is passed on at once.
RECENT_SAMPLE_S = 1.5


class SharedPositions:
    """The newest position sample of each service, for the exchange with peers.

    Args:
        positions: Position samples by service.
        positions_of: Returns the samples of a service, which may be new.
        is_configured: Returns whether a service may be in the configuration. A peer may
            know another one, and its samples of other services are ignored.
        timers: Timer service.
    """

    def __init__(
        self,
        positions: dict[str, PositionHistory],
        *,
        positions_of: Callable[[str], PositionHistory],
        is_configured: Callable[[str], bool],
        timers: Timers,
    ) -> None:
        self._positions = positions
        self._positions_of = positions_of
        self._is_configured = is_configured
        self._timers = timers

    def newest(self) -> dict[str, tuple[LogPosition, float]]:
        """Returns position and time of the newest sample, by service."""
        return {
            service: (history.newest.position, history.newest.taken_at)
            for service, history in self._positions.items()
            if history.newest is not None
        }

    def note(self, service: str, position: LogPosition, *, taken_at: float) -> bool:
        """Records a sample; returns whether the service had no recent one before."""
        if not self._is_configured(service):
            return False
        history = self._positions_of(service)
        before = history.newest
        history.note(position, taken_at=taken_at)
        if history.newest is before:
            return False
        recent_from = self._timers.elapsed() - RECENT_SAMPLE_S
        return before is None or before.taken_at < recent_from
