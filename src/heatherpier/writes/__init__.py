"""Writes that run at most once and are acknowledged by a majority."""

from heatherpier.writes._caller import CallerTransactions
from heatherpier.writes._keys import KeyGenerator
from heatherpier.writes._writer import Writer

__all__ = ["CallerTransactions", "KeyGenerator", "Writer"]
