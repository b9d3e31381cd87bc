"""Writes leadership rows and finds out whether unanswered writes took effect."""

from heatherpier.leases._records import (
    Leadership,
    LeadershipRecord,
    encode_leadership,
)
from heatherpier.leases._view import FLEET_TABLE, LEADER_PREFIX, FleetView
from heatherpier.tables import (
    ChangeConflictError,
    Row,
    RowStore,
    StoreError,
    StoreUnavailableError,
)
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers

log = get_logger("leases")
# Longest wait for an unanswered write to show in the view.
READ_BACK_TIMEOUT_S = 1.5
POLL_PERIOD_S = 0.03


class ChangeFailedError(Exception):
    """A change of primary was not completed; another coordinator can take it over."""


class LeadershipRows:
    """Writes leadership rows for the coordinator of a change.

    Args:
        store: The store.
        view: Members and leaders.
        timers: Timer service.
    """

    def __init__(self, *, store: RowStore, view: FleetView, timers: Timers) -> None:
        self._store = store
        self._view = view
        self._timers = timers

    async def write(
        self, service: str, state: Leadership, *, expected: int
    ) -> LeadershipRecord:
        """Writes the leadership row of a service.

        Raises:
            ChangeConflictError: The row does not have the expected version, or the
                store was restored before the write.
            ChangeFailedError: The store rejected the write, or its outcome is unknown
                and could not be read back.
        """
        key = LEADER_PREFIX + service
        body = encode_leadership(state)
        try:
            version = await self._store.put(FLEET_TABLE, key, body, expected=expected)
        except StoreUnavailableError as exc:
            log.info(
                "leadership write failed, outcome unknown",
                service=service,
                reason=str(exc),
            )
            return await self._read_back(service, state, expected=expected)
        except ChangeConflictError:
            raise
        except StoreError as exc:
            raise ChangeFailedError(str(exc)) from exc
        record = LeadershipRecord(state=state, version=version)
        if not record.counts:
            raise ChangeConflictError(
                f"{key}: the store was restored before the write, version {version}"
            )
        self._view.copy.apply_row(Row(key=key, version=version, body=body))
        return record

    async def _read_back(
        self, service: str, state: Leadership, *, expected: int
    ) -> LeadershipRecord:
        """Waits until the view shows whether an unanswered write took effect.

        Raises:
            ChangeConflictError: Another state was written.
            ChangeFailedError: The view shows no new version in time.
        """
        until = self._timers.now() + READ_BACK_TIMEOUT_S
        while self._timers.now() < until:
            record = self._view.leaders.get(service)
            if record is not None and record.version > expected:
                if record.state == state:
                    return record
                raise ChangeConflictError(
                    f"leadership of {service} has changed: {record.state}"
                )
            await self._timers.sleep(POLL_PERIOD_S)
        raise ChangeFailedError(
            f"outcome of the leadership write for {service} is unknown"
        )
