"""Following tables of the store."""

from heatherpier.tables._copy import TableCopy
from heatherpier.tables._errors import (
    ChangeConflictError,
    HistoryLostError,
    StoreError,
    StoreRefusedError,
    StoreUnavailableError,
)
from heatherpier.tables._follower import TableFollower
from heatherpier.tables._interface import Changes, Row, RowStore

__all__ = [
    "ChangeConflictError",
    "Changes",
    "HistoryLostError",
    "Row",
    "RowStore",
    "StoreError",
    "StoreRefusedError",
    "StoreUnavailableError",
    "TableCopy",
    "TableFollower",
]
