"""The data of one stand-in instance: SQLite in memory, replayed from a log."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

DUPLICATE_KEY = 1062
SYNTAX_ERROR = 1064
NO_SUCH_TABLE = 1146

VAR_STRING = 253
LONGLONG = 8
DOUBLE = 5


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One committed transaction.

    Attributes:
        term: Term of the primary that wrote it.
        index: Its place in the log, from 1.
        statements: Its writes, in order. Empty for the entry that opens a term.
    """

    term: int
    index: int
    statements: tuple[str, ...]


def encode_entries(entries: Iterable[LogEntry]) -> str:
    """Returns entries as JSON."""
    return json.dumps([[e.term, e.index, list(e.statements)] for e in entries])


def decode_entries(text: str) -> list[LogEntry]:
    """Returns the entries that `encode_entries` wrote."""
    return [LogEntry(t, i, tuple(s)) for t, i, s in json.loads(text)]
