"""Validation of settings and documents, and the texts of the errors."""

import copy
import json
from pathlib import Path

import pytest

from heatherpier.settings import (
    SCHEMAS,
    InvalidSettingsError,
    load_document,
    load_settings,
    schema_text,
)

ROOT = Path(__file__).parents[4]
SETTINGS = json.loads((ROOT / "examples/proxy.json").read_text())
DOCUMENT = json.loads((ROOT / "examples/document.json").read_text())


def with_value(raw, path, value):
    raw = copy.deepcopy(raw)
    *parents, last = path
    target = raw
    for part in parents:
        target = target[part]
    target[last] = value
    return raw


@pytest.fixture
def write(tmp_path):
    def write(raw):
        path = tmp_path / "file.json"
        path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
        return path

    return write


INSTANCES = ("services", 0, "groups", 0, "instances")


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (
            (*INSTANCES, 0, "host"),
            "db.example",
            "host: expected an IP address, got 'db",
        ),
        (
            (*INSTANCES, 0, "port"),
            0,
            "port: expected greater than or equal to 1, got 0",
        ),
        ((*INSTANCES, 0, "host"), "10.2.0.21", "address '10.2.0.21:3306' is used more"),
        (
            (*INSTANCES, 0, "name"),
            "assist-core-1-south",
            "instance 'assist-core-1-south'",
        ),
        ((*INSTANCES, 0, "data_centre"), "North A", "data_centre: expected to match"),
        ((*INSTANCES, 0, "zone"), "x", "zone: unknown field"),
        (INSTANCES, DOCUMENT["services"][0]["groups"][0]["instances"][:2], "odd count"),
        (("services", 0, "slots"), "three", "got 'three'"),
        (("services", 0, "deadline_ms"), 5, "deadline_ms: expected greater than"),
        (("services", 0, "name"), None, "services.0.name: expected a valid string"),
        (("services",), [], "services: "),
    ],
)
def test_error_names_the_fault_of_a_document(write, path, value, expected):
    with pytest.raises(InvalidSettingsError) as caught:
        load_document(write(with_value(DOCUMENT, path, value)))
    assert expected in str(caught.value)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("{", "is not JSON"),
        ("[]", "expected an object"),
        ("{}", "services: is missing"),
    ],
)
def test_file_that_is_not_a_document_is_rejected(write, text, expected):
    with pytest.raises(InvalidSettingsError, match=expected):
        load_document(write(text))


def test_error_lists_every_fault(write):
    raw = with_value(SETTINGS, ("port",), 0)
    raw["proxies"] = 0
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(write(raw), environment={})
    assert len(caught.value.faults) == 2


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("token_keys",), ["s3cret"]),
        (("token_keys",), "s3cret"),
        (("upstream_password",), ["s3cret"]),
        (("admin", "token"), {"a": "s3cret"}),
        (("callers",), {"tls_key": "s3cret"}),
        (("admin",), {"token": "s3cret", "port": 0}),
    ],
)
def test_secret_is_not_shown(write, path, value):
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(write(with_value(SETTINGS, path, value)), environment={})
    assert "s3cret" not in str(caught.value)


def test_environment_overrides_the_file(write):
    cfg = load_settings(
        write(SETTINGS),
        environment={
            "HEATHERPIER_HOST": "10.9.9.9",
            "HEATHERPIER_PORT": "3399",
            "HEATHERPIER_DATA_CENTRE": "south-a",
            "HEATHERPIER_ADMIN_PORT": "9000",
            "HEATHERPIER_UPSTREAM_PASSWORD": "other",
        },
    )
    assert (cfg.host, cfg.port, cfg.data_centre) == ("10.9.9.9", 3399, "south-a")
    assert cfg.admin.port == 9000
    assert cfg.upstream_password.get_secret_value() == "other"


def test_error_names_the_fault_of_an_environment_variable(write):
    with pytest.raises(InvalidSettingsError, match="port: expected a valid integer"):
        load_settings(write(SETTINGS), environment={"HEATHERPIER_PORT": "high"})


def test_examples_are_valid():
    load_settings(ROOT / "examples/proxy.json", environment={})
    load_document(ROOT / "examples/document.json")


@pytest.mark.parametrize("name", sorted(SCHEMAS))
def test_committed_schema_is_current(name):
    committed = (ROOT / f"docs/schema/{name}.json").read_text(encoding="utf-8")
    assert committed == schema_text(name)
