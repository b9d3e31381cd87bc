"""Identifies callers by their keys."""

from heatherpier.identities._directory import (
    Anonymous,
    CallerDirectory,
    Identified,
    Identity,
    Rejected,
)

__all__ = [
    "Anonymous",
    "CallerDirectory",
    "Identified",
    "Identity",
    "Rejected",
]
