"""Adapter to the users' platform.

It decodes the platform's protocols, records and settings into the product's types.
"""

from heatherpier.platform._clients import LineListener
from heatherpier.platform._config import CONFIG_KEY, CONFIG_TABLE, decode_config
from heatherpier.platform._control import LineControl
from heatherpier.platform._errors import (
    MalformedLineError,
    MalformedRecordError,
    PlatformError,
)
from heatherpier.platform._instances import INSTANCES_TABLE, decode_instance
from heatherpier.platform._promotion import PromotionClient
from heatherpier.platform._ready import ReadyServer
from heatherpier.platform._settings import VmSettings, load_vm_settings
from heatherpier.platform._store import StoreClient
from heatherpier.platform._upstream import LineConnector

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TABLE",
    "INSTANCES_TABLE",
    "LineConnector",
    "LineControl",
    "LineListener",
    "MalformedLineError",
    "MalformedRecordError",
    "PlatformError",
    "PromotionClient",
    "ReadyServer",
    "StoreClient",
    "VmSettings",
    "decode_config",
    "decode_instance",
    "load_vm_settings",
]
