"""Detection of statements that leave session state on a connection."""

import re

# These statements have effects that outlast them on the connection: variables,
# locks, temporary tables, the default database, or whatever a stored procedure
# does. Procedures of the group protocol are exempt.
STATEFUL_START = re.compile(
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
VARIABLE_ASSIGNMENT = re.compile(r"@\w++\s*+:=|\bINTO\s+@", re.I)


def leaves_session_state(sql: str) -> bool:
    """Returns whether a connection must not be reused after ``sql``."""
    if STATEFUL_START.match(sql):
        return True
    if "@" in sql and VARIABLE_ASSIGNMENT.search(sql):
        return True
    return "_LOCK" in sql.upper() and LOCK_FUNCTION.search(sql) is not None
