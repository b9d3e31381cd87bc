"""Clients of the table service and object store that hold a deployment's records."""

from heatherpier.stores._aws import AwsPlatform, PlatformAddress
from heatherpier.stores._errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    ThrottledError,
)
from heatherpier.stores._interface import ObjectStore, Record, TableStore

__all__ = [
    "AwsPlatform",
    "ConflictError",
    "ObjectStore",
    "PlatformAddress",
    "PlatformError",
    "PlatformUnavailableError",
    "Record",
    "TableStore",
    "ThrottledError",
]
