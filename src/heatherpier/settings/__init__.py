"""Validated settings of a process and the validated configuration document."""

from heatherpier.settings._base import StrictModel
from heatherpier.settings._document import (
    Document,
    GroupModel,
    InstanceModel,
    ServiceModel,
    UserModel,
)
from heatherpier.settings._errors import InvalidSettingsError
from heatherpier.settings._load import load_document, load_model, load_settings
from heatherpier.settings._process import (
    AdminModel,
    CallersModel,
    ProxySettings,
    StopModel,
)

__all__ = [
    "AdminModel",
    "CallersModel",
    "Document",
    "GroupModel",
    "InstanceModel",
    "InvalidSettingsError",
    "ProxySettings",
    "ServiceModel",
    "StopModel",
    "StrictModel",
    "UserModel",
    "load_document",
    "load_model",
    "load_settings",
]
