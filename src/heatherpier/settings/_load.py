"""Reads settings and documents from JSON files."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from heatherpier.settings._document import Document
from heatherpier.settings._errors import InvalidSettingsError
from heatherpier.settings._process import ProxySettings

Model = TypeVar("Model", bound=BaseModel)

# Environment variables that stand before the file, by the path of their field.
OVERRIDES = {
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
VALUE_CHARS = 60
SECRET_WORDS = ("password", "token", "key")


def load_settings(path: Path, *, environment: Mapping[str, str]) -> ProxySettings:
    """Reads the settings of a proxy.

    Args:
        path: JSON file.
        environment: Environment variables; see `OVERRIDES`.

    Raises:
        InvalidSettingsError: The file can't be read or does not validate.
    """
    raw = _read_json(path)
    for variable, field in OVERRIDES.items():
        if variable in environment:
            _override(raw, field, environment[variable])
    return _validate(ProxySettings, raw, source=str(path))


def load_model(model: type[Model], path: Path) -> Model:
    """Reads any validated model from a JSON file.

    Raises:
        InvalidSettingsError: The file can't be read or does not validate.
    """
    return _validate(model, _read_json(path), source=str(path))


def load_document(path: Path) -> Document:
    """Reads a configuration document.

    Raises:
        InvalidSettingsError: The file can't be read or does not validate.
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
            source, [_sentence(item) for item in exc.errors()]
        ) from exc


def _override(raw: dict[str, Any], field: str, value: str) -> None:
    section, _, name = field.rpartition(".")
    target = raw.setdefault(section, {}) if section else raw
    if isinstance(target, dict):
        target[name] = value


def _sentence(item: Any) -> str:
    path = ".".join(str(part) for part in item["loc"]) or "document"
    if item["type"] == "missing":
        return f"{path}: is missing"
    if item["type"] == "extra_forbidden":
        return f"{path}: unknown field"
    expected = item["msg"].removeprefix("Value error, ")
    for verbose in ("Input should be ", "String should ", "Input should "):
        if expected.startswith(verbose):
            expected = f"expected {'' if 'be' in verbose else 'to '}" + (
                expected.removeprefix(verbose)
            )
    return f"{path}: {expected}{_shown(path, item['input'])}"


def _shown(path: str, value: Any) -> str:
    if any(word in path for word in SECRET_WORDS):
        return ", got a value that is not shown"
    if isinstance(value, dict | list | tuple):
        # It may hold a secret, and the message names what is wrong with it.
        return ""
    text = repr(value)
    return f", got {text[:VALUE_CHARS]}"
