"""Positions in the log of a database group."""

from heatherpier.positions._types import ORIGIN, LogPosition

__all__ = ["ORIGIN", "LogPosition"]
