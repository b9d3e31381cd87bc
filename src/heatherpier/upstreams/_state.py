"""Tells which statements leave state behind on a connection."""

import re

# Each of these outlives its statement: a variable, a lock, a temporary table, the
# chosen database, or whatever a stored procedure does.
BEGINS = re.compile(
    r"""
    \s*(?:/\*.*?\*/\s*)*
    (?: SET\b | USE\b | LOCK\b | PREPARE\b | HANDLER\b | FLUSH\b
      | CREATE\s+TEMPORARY\b
      | CALL\s+(?!group_)
    )
    """,
    re.I | re.S | re.X,
)
LOCK_FUNCTION = re.compile(r"\b(?:GET|RELEASE)_(?:ALL_)?LOCKS?\s*\(", re.I)
VARIABLE = re.compile(r"@\w++\s*+:=|\bINTO\s+@", re.I)


def leaves_state(sql: str) -> bool:
    """Tells whether a connection must not be acquired again after ``sql``."""
    if BEGINS.match(sql):
        return True
    if "@" in sql and VARIABLE.search(sql):
        return True
    return "_LOCK" in sql.upper() and LOCK_FUNCTION.search(sql) is not None
