"""Statements of the two users' loads, and the tags that name the write in each."""

import random
import re
from dataclasses import dataclass

from heatherpier.bench._history import StatementClass

TAG_PATTERN = re.compile(r"'op:([\w.-]+)/(\d+)/(\d+)'")
ROWS_PER_GROUP = 2000


@dataclass(frozen=True, slots=True, kw_only=True)
class Mix:
    """Statements of one user's load and their proportions.

    Attributes:
        name: Name of the deployment.
        table: Table that bookings or filings are inserted into.
        claim_table: Table whose rows callers claim one by one.
        weights: Relative weight of each class.
        max_age_ms: Maximum age of the data of aged reads, in milliseconds.
    """

    name: str
    table: str
    claim_table: str
    weights: dict[StatementClass, int]
    max_age_ms: int

    def choose(self, rng: random.Random) -> StatementClass:
        """Draws the class of the next operation."""
        kinds = list(self.weights)
        return rng.choices(kinds, weights=[self.weights[kind] for kind in kinds])[0]

    def schema(self) -> tuple[str, ...]:
        """Returns the statements that create and fill the tables of a group."""
        rows = ", ".join(f"({number}, NULL)" for number in range(1, ROWS_PER_GROUP + 1))
        return (
            f"CREATE TABLE {self.table} (tag VARCHAR(64), session VARCHAR(64))",
            f"CREATE TABLE {self.claim_table} (id INT, agent VARCHAR(64))",
            f"INSERT INTO {self.claim_table} (id, agent) VALUES {rows}",
        )

    def insert(self, op: str, session: str, *, part: int = 1, parts: int = 1) -> str:
        """Returns the statement that writes part ``part`` of the write ``op``."""
        tag = f"op:{op}/{part}/{parts}"
        return f"INSERT INTO {self.table} (tag, session) VALUES ('{tag}', '{session}')"

    def claim(self, op: str, *, row: int) -> str:
        """Returns the statement that claims a row if it is unclaimed."""
        tag = f"op:{op}/1/1"
        return (
            f"UPDATE {self.claim_table} SET agent = '{tag}' "
            f"WHERE id = {row} AND agent IS NULL"
        )

    def own_rows(self, session: str) -> str:
        """Returns the query for the tags of all rows that a session inserted."""
        return f"SELECT tag FROM {self.table} WHERE session = '{session}'"

    def count(self) -> str:
        """Returns the query that counts the inserted rows."""
        return f"SELECT COUNT(*) FROM {self.table}"

    def parse_writes(self, sql: str) -> list[tuple[str, int, int]]:
        """Parses the tags that a logged statement writes.

        Returns:
            For each tag the id of the write, the number of the part and the count of
            parts; empty if the statement is no write of this mix.
        """
        prefix = re.match(
            rf"\s*(/\*.*?\*/\s*)*"
            rf"(INSERT INTO {self.table}|UPDATE {self.claim_table})\b",
            sql,
            re.S,
        )
        if prefix is None:
            return []
        return [
            (op, int(part), int(parts)) for op, part, parts in TAG_PATTERN.findall(sql)
        ]


BOOKINGS = Mix(
    name="sen-vang",
    table="bookings",
    claim_table="jobs",
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
    claim_table="cases",
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
