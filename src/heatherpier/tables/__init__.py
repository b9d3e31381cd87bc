"""Local copies of tables of the coordination store, kept current by watches."""

from heatherpier.tables._copy import TableCopy
from heatherpier.tables._epochs import (
    StoreEpoch,
    epoch_of,
    make_version,
    number_of,
)
from heatherpier.tables._errors import (
    ChangeConflictError,
    HistoryLostError,
    StoreError,
    StoreRefusedError,
    StoreUnavailableError,
)
from heatherpier.tables._follower import TableFollower
from heatherpier.tables._interface import NO_CONDITIONS, Changes, Row, RowStore

__all__ = [
    "NO_CONDITIONS",
    "ChangeConflictError",
    "Changes",
    "HistoryLostError",
    "Row",
    "RowStore",
    "StoreEpoch",
    "StoreError",
    "StoreRefusedError",
    "StoreUnavailableError",
    "TableCopy",
    "TableFollower",
    "epoch_of",
    "make_version",
    "number_of",
]
