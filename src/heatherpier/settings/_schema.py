"""JSON Schemas of the settings and of the configuration document."""

import json

from pydantic import BaseModel

from heatherpier.settings._document import Document
from heatherpier.settings._process import ProxySettings

SCHEMAS: dict[str, type[BaseModel]] = {
    "settings": ProxySettings,
    "document": Document,
}


def schema_text(name: str) -> str:
    """Returns the JSON Schema of a model as indented text with sorted keys.

    Args:
        name: ``settings`` or ``document``.
    """
    schema = SCHEMAS[name].model_json_schema()
    return json.dumps(schema, indent=2, sort_keys=True) + "\n"
