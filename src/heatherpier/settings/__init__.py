"""Validated settings of a proxy and the validated configuration document."""

from heatherpier.settings._base import StrictModel
from heatherpier.settings._document import (
    Document,
    GroupModel,
    InstanceModel,
    ServiceModel,
    UserModel,
)
from heatherpier.settings._errors import InvalidSettingsError
from heatherpier.settings._fleet import FleetModel, PeerModel, PlatformModel
from heatherpier.settings._load import load_document, load_model, load_settings
from heatherpier.settings._process import (
    AdminModel,
    CallersModel,
    ProxySettings,
    StopModel,
)
from heatherpier.settings._schema import SCHEMAS, schema_text

__all__ = [
    "SCHEMAS",
    "AdminModel",
    "CallersModel",
    "Document",
    "FleetModel",
    "GroupModel",
    "InstanceModel",
    "InvalidSettingsError",
    "PeerModel",
    "PlatformModel",
    "ProxySettings",
    "ServiceModel",
    "StopModel",
    "StrictModel",
    "UserModel",
    "load_document",
    "load_model",
    "load_settings",
    "schema_text",
]
