"""The version in production decodes what the present one writes, and the reverse."""

import importlib
import inspect

import msgspec
import pytest

from heatherpier.tests._production import git, production_commit

# Messages between proxies and rows of the store, by the module that defines them.
FORMATS = (
    "fleet._messages",
    "forwarding._messages",
    "leases._messages",
    "leases._records",
    "quotas._messages",
)
# Parts of a schema that do not reach the wire.
TEXTS = ("title", "description")


def schemas(module):
    """Returns the schema of each struct that a module defines."""
    types = [
        item
        for _, item in inspect.getmembers(module, inspect.isclass)
        if issubclass(item, msgspec.Struct) and item.__module__ == module.__name__
    ]
    return msgspec.json.schema_components(types)[1]


def without_texts(schema):
    if isinstance(schema, dict):
        kept = {key: item for key, item in schema.items() if key not in TEXTS}
        return {key: without_texts(item) for key, item in kept.items()}
    if isinstance(schema, list):
        return [without_texts(item) for item in schema]
    return schema


def find_differences(before, now):
    """Returns the fields of one format that one build can't read from the other."""
    found = []
    if before.get("required") != now.get("required"):
        found.append("required fields")
    if before.get("minItems") != now.get("minItems"):
        found.append("required items")
    items = before.get("prefixItems", [])
    if now.get("prefixItems", [])[: len(items)] != items:
        found.append("items")
    fields = now.get("properties", {})
    for name, kind in before.get("properties", {}).items():
        if fields.get(name) != kind:
            found.append(name)
    return found


def test_version_in_production_is_an_ancestor():
    """Guards against a version that no history builds."""
    git("merge-base", "--is-ancestor", production_commit(), "HEAD")


@pytest.mark.parametrize("name", FORMATS)
def test_formats_are_read_by_both_versions(load_production, name):
    """Guards against a renamed, retyped or newly required field."""
    before = without_texts(schemas(load_production(name)))
    now = without_texts(schemas(importlib.import_module(f"heatherpier.{name}")))
    assert before
    found = {kind: find_differences(item, now[kind]) for kind, item in before.items()}
    assert not {kind: names for kind, names in found.items() if names}


def test_changed_formats_are_found():
    """Guards against a comparison that accepts any change."""

    class Before(msgspec.Struct, tag="a"):
        count: int
        name: str = ""

    changes = {
        "type": msgspec.defstruct("After", [("count", str), ("name", str, "")]),
        "name": msgspec.defstruct("After", [("counted", int), ("name", str, "")]),
        "default": msgspec.defstruct("After", [("count", int), ("name", str)]),
    }
    schema = msgspec.json.schema_components([Before])[1]["Before"]
    assert not find_differences(schema, schema)
    for after in changes.values():
        assert find_differences(
            schema, msgspec.json.schema_components([after])[1]["After"]
        )
