"""Writes that run at most once and are acknowledged by a majority."""

from heatherpier.writes._keys import KeyMaker
from heatherpier.writes._writer import Writer

__all__ = ["KeyMaker", "Writer"]
