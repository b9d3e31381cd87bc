"""Sends each read to the nearest instance that is fresh enough."""

from heatherpier.reads._reader import Reader

__all__ = ["Reader"]
