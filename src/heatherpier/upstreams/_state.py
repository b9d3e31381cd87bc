"""Tells which statements leave state behind on a connection."""

import re

# Each of these outlives its statement: a variable, a lock, a temporary table, the
# chosen database, or whatever a stored procedure does.
LEAVES_STATE = re.compile(
    r"""
    \s*(?:/\*.*?\*/\s*)*
    (?: SET\b | USE\b | LOCK\b | PREPARE\b | HANDLER\b | FLUSH\b
      | CREATE\s+TEMPORARY\b
      | CALL\s+(?!group_)
    )
    | .*(?: \b(?:GET|RELEASE)_(?:ALL_)?LOCKS?\s*\( | @\w+\s*:= | \bINTO\s+@ )
    """,
    re.I | re.S | re.X,
)


def leaves_state(sql: str) -> bool:
    """Tells whether a connection must not be lent again after ``sql``."""
    return LEAVES_STATE.match(sql) is not None
