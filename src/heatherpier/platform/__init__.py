"""The platform's table service and object store, where lasting state lives."""

from heatherpier.platform._aws import AwsPlatform, PlatformAddress
from heatherpier.platform._errors import (
    ConflictError,
    PlatformError,
    PlatformUnavailableError,
    ThrottledError,
)
from heatherpier.platform._interface import ObjectStore, Record, TableStore

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
