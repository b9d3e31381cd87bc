"""What the two users' callers send, and how each statement names its write."""

import random
import re
from dataclasses import dataclass

from heatherpier.bench._history import StatementClass

TAG = re.compile(r"'op:([\w.-]+)/(\d+)/(\d+)'")
ROWS_PER_GROUP = 2000


@dataclass(frozen=True, slots=True, kw_only=True)
class Mix:
    """Statements of one user's load.

    Attributes:
        name: Name of the deployment that it belongs to.
        table: Table that bookings or filings are written to.
        board: Table of rows that are claimed one by one.
        weights: Share of each class, in any unit.
        max_age_ms: Stated age of aged reads in milliseconds.
    """

    name: str
    table: str
    board: str
    weights: dict[StatementClass, int]
    max_age_ms: int

    def choose(self, rng: random.Random) -> StatementClass:
        """Returns the class of the next statement."""
        kinds = list(self.weights)
        return rng.choices(kinds, weights=[self.weights[kind] for kind in kinds])[0]

    def schema(self) -> tuple[str, ...]:
        """Returns the statements that prepare a group."""
        rows = ", ".join(f"({number}, NULL)" for number in range(1, ROWS_PER_GROUP + 1))
        return (
            f"CREATE TABLE {self.table} (tag VARCHAR(64), session VARCHAR(64))",
            f"CREATE TABLE {self.board} (id INT, agent VARCHAR(64))",
            f"INSERT INTO {self.board} (id, agent) VALUES {rows}",
        )

    def insert(self, op: str, session: str, *, part: int = 1, parts: int = 1) -> str:
        """Returns the statement that writes part ``part`` of ``op``."""
        tag = f"op:{op}/{part}/{parts}"
        return f"INSERT INTO {self.table} (tag, session) VALUES ('{tag}', '{session}')"

    def claim(self, op: str, *, row: int) -> str:
        """Returns the statement that claims a row nobody has claimed."""
        tag = f"op:{op}/1/1"
        return f"UPDATE {self.board} SET agent = '{tag}' WHERE id = {row} AND agent IS NULL"

    def own_rows(self, session: str) -> str:
        """Returns the read of everything that a session wrote."""
        return f"SELECT tag FROM {self.table} WHERE session = '{session}'"

    def count(self) -> str:
        """Returns the read that counts all rows."""
        return f"SELECT COUNT(*) FROM {self.table}"

    def writes(self, sql: str) -> list[tuple[str, int, int]]:
        """Returns op, part and parts of each tag that a logged statement writes."""
        target = re.match(
            rf"\s*(/\*.*?\*/\s*)*(INSERT INTO {self.table}|UPDATE {self.board})\b",
            sql,
            re.S,
        )
        if target is None:
            return []
        return [(op, int(part), int(parts)) for op, part, parts in TAG.findall(sql)]


BOOKINGS = Mix(
    name="sen-vang",
    table="bookings",
    board="jobs",
    weights={
        StatementClass.WRITE: 20,
        StatementClass.CLAIM: 15,
        StatementClass.TRANSACTION: 8,
        StatementClass.SESSION_READ: 37,
        StatementClass.AGED_READ: 20,
    },
    max_age_ms=2000,
)
FILINGS = Mix(
    name="lantern-ledger",
    table="filings",
    board="cases",
    weights={
        StatementClass.WRITE: 8,
        StatementClass.CLAIM: 4,
        StatementClass.TRANSACTION: 18,
        StatementClass.SESSION_READ: 15,
        StatementClass.AGED_READ: 55,
    },
    max_age_ms=2000,
)
MIXES = {mix.name: mix for mix in (BOOKINGS, FILINGS)}
