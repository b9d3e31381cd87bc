"""Runs writes at most once and acknowledges them once a majority holds them."""

from heatherpier.writes._caller import CallerTransactions
from heatherpier.writes._keys import KeyGenerator
from heatherpier.writes._writer import Writer

__all__ = ["CallerTransactions", "KeyGenerator", "Writer"]
