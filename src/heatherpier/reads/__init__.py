"""Reads from the instance that is nearest and fresh enough."""

from heatherpier.reads._reader import Reader

__all__ = ["Reader"]
