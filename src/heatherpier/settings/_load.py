"""Loads settings and documents from JSON files."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from heatherpier.settings._document import Document
from heatherpier.settings._errors import InvalidSettingsError
from heatherpier.settings._process import ProxySettings

Model = TypeVar("Model", bound=BaseModel)

# Environment variables and the fields, as dotted paths, that they override.
ENVIRONMENT_OVERRIDES = {
    "HEATHERPIER_NAME": "name",
    "HEATHERPIER_HOST": "host",
    "HEATHERPIER_PORT": "port",
    "HEATHERPIER_DATA_CENTRE": "data_centre",
    "HEATHERPIER_LOG_LEVEL": "log_level",
    "HEATHERPIER_UPSTREAM_PASSWORD": "upstream_password",
    "HEATHERPIER_ADMIN_HOST": "admin.host",
    "HEATHERPIER_ADMIN_PORT": "admin.port",
    "HEATHERPIER_ADMIN_TOKEN": "admin.token",
}
MAX_VALUE_CHARS = 60
SECRET_FIELD_WORDS = ("password", "token", "key")


def load_settings(path: Path, *, environment: Mapping[str, str]) -> ProxySettings:
    """Returns the settings of a proxy.

    Args:
        path: JSON file.
        environment: Environment variables; those of `ENVIRONMENT_OVERRIDES` override
            fields of the file.

    Raises:
        InvalidSettingsError: The file can't be read or is invalid.
    """
    raw = _read_json(path)
    for variable, field in ENVIRONMENT_OVERRIDES.items():
        if variable in environment:
            _override(raw, field, environment[variable])
    return _validate(ProxySettings, raw, source=str(path))


def load_model(model: type[Model], path: Path) -> Model:
    """Returns a model that is read from a JSON file.

    Args:
        model: Class of the model.
        path: JSON file.

    Raises:
        InvalidSettingsError: The file can't be read or is invalid.
    """
    return _validate(model, _read_json(path), source=str(path))


def load_document(path: Path) -> Document:
    """Returns a configuration document that is read from a JSON file.

    Raises:
        InvalidSettingsError: The file can't be read or is invalid.
    """
    return load_model(Document, path)


def _read_json(path: Path) -> dict[str, Any]:
    try:
        raw = json.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        raise InvalidSettingsError(
            str(path), [f"can't be read: {exc.strerror}"]
        ) from exc
    except ValueError as exc:
        raise InvalidSettingsError(str(path), [f"is not JSON: {exc}"]) from exc
    if not isinstance(raw, dict):
        raise InvalidSettingsError(str(path), ["expected an object"])
    return raw


def _validate(model: type[Model], raw: dict[str, Any], *, source: str) -> Model:
    try:
        return model.model_validate(raw)
    except ValidationError as exc:
        raise InvalidSettingsError(
            source, [_describe_fault(item) for item in exc.errors()]
        ) from exc


def _override(raw: dict[str, Any], field: str, value: str) -> None:
    section, _, name = field.rpartition(".")
    target = raw.setdefault(section, {}) if section else raw
    if isinstance(target, dict):
        target[name] = value


def _describe_fault(item: Any) -> str:
    path = ".".join(str(part) for part in item["loc"]) or "document"
    if item["type"] == "missing":
        return f"{path}: is missing"
    if item["type"] == "extra_forbidden":
        return f"{path}: unknown field"
    expected = item["msg"].removeprefix("Value error, ")
    for prefix in ("Input should be ", "String should ", "Input should "):
        if expected.startswith(prefix):
            expected = f"expected {'' if 'be' in prefix else 'to '}" + (
                expected.removeprefix(prefix)
            )
    return f"{path}: {expected}{_describe_value(path, item['input'])}"


def _describe_value(path: str, value: Any) -> str:
    if any(word in path for word in SECRET_FIELD_WORDS):
        return ", got a value that is not shown"
    if isinstance(value, dict | list | tuple):
        # A compound value may contain a secret; the text already names what is wrong.
        return ""
    text = repr(value)
    return f", got {text[:MAX_VALUE_CHARS]}"
