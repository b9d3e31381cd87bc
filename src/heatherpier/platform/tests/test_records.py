import json
import tomllib
from pathlib import Path

import pytest

from heatherpier.platform import (
    MalformedRecordError,
    decode_config,
    decode_instance,
    load_vm_settings,
)
from heatherpier.quotas import QuotaWindow
from heatherpier.routing import AnyCommit, BoundedStaleness, ReadOwnWrites

ROUTE = {
    "name": "r1",
    "host": "db1",
    "prefix": "/",
    "kind": "primary",
    "timeoutMs": 800,
    "targetLatencyMs": 400,
    "priority": 1,
    "service": "claims",
}
CONFIG = {
    "version": 7,
    "routes": [
        ROUTE,
        ROUTE | {"host": "db2", "kind": "bounded_staleness", "maxStalenessMs": 1500},
        ROUTE | {"host": "db3", "kind": "read_own_writes", "maxStalenessMs": 2500},
    ],
    "services": [{"name": "claims", "maxConns": 22, "syncReplicas": 1}],
    "limits": {
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
        "txIdleMs": 2000,
    },
}
ENTRY = {
    "service": "claims",
    "address": "10.0.0.9:8080",
    "zone": "north-a",
    "state": "ready",
    "dbRole": "primary",
    "seqNo": 4,
    "born": 1700000000000,
}
SETTINGS = """
node: "front-north-a-1"
ip: "10.1.0.8"
zone: "north-a"
zones: {north-a: "north", north-b: "north", south-a: "south"}
listen: {front: "10.1.0.8:8784", ready: "10.1.0.8:8785"}
internalPorts: [7440, 7455]
seeds: ["10.1.0.8:8782", "10.2.0.6:8782"]
platform: {address: "10.200.1.7:8783", form: "table"}
cloudApi: {address: "10.200.0.160:8783"}
bounds: {graceS: 6, configApplyMs: 3000}
somethingNew: {a: 1}
"""


def encode(value):
    return json.dumps(value).encode()


def test_configuration_is_decoded():
    table = decode_config(encode(CONFIG))
    assert table.version == 7
    assert table.routes["db1"].consistency == AnyCommit()
    assert table.routes["db2"].consistency == BoundedStaleness(max_age_s=1.5)
    assert table.routes["db3"].consistency == ReadOwnWrites(max_age_s=2.5)
    assert table.routes["db1"].statement_timeout_s == 0.8
    assert table.services["claims"].max_connections == 22
    assert table.services["claims"].synchronous_replicas == 1
    assert table.limits.transaction_idle_s == 2.0


def test_organisations_and_their_keys_are_decoded():
    table = decode_config(
        encode(
            CONFIG
            | {
                "routes": [ROUTE | {"authExempt": True}],
                "tenants": [
                    {
                        "name": "bode",
                        "apiKeys": ["k1", "k2"],
                        "priority": 1,
                        "ratePerS": 83,
                        "burst": 50,
                    },
                    {"name": "sola", "apiKeys": []},
                ],
            }
        )
    )
    assert table.organisations["bode"].rate_per_s == 83
    assert table.organisations["bode"].burst == 50
    assert table.organisations["sola"].rate_per_s is None
    assert table.keys == {"k1": "bode", "k2": "bode"}
    assert table.routes["db1"].open_to_all
    assert "k1" not in repr(table)


def test_settings_may_require_keys_before_organisations_are_named():
    assert decode_config(encode(CONFIG)).organisations is None
    table = decode_config(encode(CONFIG), identifies_callers=True)
    assert table.organisations == {}


@pytest.mark.parametrize("name", ["", "a b", "a\r\nQUERY"])
def test_organisation_whose_name_would_break_a_message_is_rejected(name):
    tenants = [{"name": name, "apiKeys": ["k1"]}]
    with pytest.raises(MalformedRecordError, match="tenant"):
        decode_config(encode(CONFIG | {"tenants": tenants}))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"not json",
        encode([]),
        encode(CONFIG | {"version": "seven"}),
        encode(CONFIG | {"routes": [ROUTE | {"kind": "other"}]}),
        encode({key: value for key, value in CONFIG.items() if key != "services"}),
    ],
)
def test_malformed_configuration_is_rejected(body):
    with pytest.raises(MalformedRecordError, match="configuration"):
        decode_config(body)


def test_instance_is_decoded():
    record = decode_instance("i-1", encode(ENTRY))
    assert record.name == "i-1"
    assert (record.instance.host, record.instance.port) == ("10.0.0.9", 8080)
    assert record.instance.data_centre == "north-a"
    assert record.claims_primary
    assert not record.instance.leaving
    assert record.started_ms == 1700000000000


def test_draining_instance_is_leaving():
    record = decode_instance("i-1", encode(ENTRY | {"state": "draining"}))
    assert record.instance.leaving


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"dbRole": "observer"},
        {"address": "nowhere"},
        {"address": "10.0.0.9:http"},
        {"address": "10.0.0.9:0"},
        {"address": "10.0.0.9:99999"},
        {"address": "10.0.0.9\0:8080"},
        {"service": 7},
        {"born": "yesterday"},
        {"zone": None},
    ],
)
def test_malformed_entry_is_rejected_with_its_key(change):
    with pytest.raises(MalformedRecordError, match="i-1"):
        decode_instance("i-1", encode(ENTRY | change))


def test_entry_that_is_not_utf8_is_rejected():
    with pytest.raises(MalformedRecordError):
        decode_instance("i-1", b"\xff\xfe")


def test_settings_are_loaded_and_unknown_fields_ignored(tmp_path):
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS)
    cfg = load_vm_settings(path)
    assert cfg.name == "front-north-a-1"
    assert (cfg.callers_port, cfg.ready_port) == (8784, 8785)
    assert (cfg.peer_port, cfg.metrics_port) == (7440, 7441)
    assert cfg.seeds == ("10.1.0.8", "10.2.0.6")
    assert cfg.grace_s == 6
    assert cfg.capacity == 1.0
    assert (cfg.region("south-a"), cfg.region("new")) == ("south", "new")
    path.write_text(SETTINGS + "limits: {memoryMB: 160, cores: 0.5, cpuShare: 0.72}")
    assert load_vm_settings(path).capacity == 0.36
    assert cfg.quota_window is None
    path.write_text(SETTINGS.replace("graceS: 6", "graceS: 6, quotaWindowS: 5"))
    assert load_vm_settings(path).quota_window == QuotaWindow(length_s=5.0)
    bounds = "graceS: 6, quotaWindowS: 2, quotaExcess: 0.2, quotaExtra: 4"
    path.write_text(SETTINGS.replace("graceS: 6", bounds))
    assert load_vm_settings(path).quota_window == QuotaWindow(
        length_s=2.0, excess=0.2, extra=4.0
    )


@pytest.mark.parametrize(
    ("zone", "distance"), [("north-a", 0), ("north-b", 1), ("south-a", 2), ("new", 2)]
)
def test_distance_depends_on_data_centre_and_region(tmp_path, zone, distance):
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS)
    assert load_vm_settings(path).distance(zone) == distance


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('node: "front-north-a-1"', "node: 7"),
        ("internalPorts: [7440, 7455]", "internalPorts: [7440, 7440]"),
        ("internalPorts: [7440, 7455]", "internalPorts: many"),
        ('front: "10.1.0.8:8784"', 'front: "somewhere"'),
        ('cloudApi: {address: "10.200.0.160:8783"}', ""),
        ("zone:", "  zone:"),
    ],
)
def test_malformed_settings_are_rejected_with_their_path(tmp_path, old, new):
    path = tmp_path / "local.yaml"
    path.write_text(SETTINGS.replace(old, new))
    with pytest.raises(MalformedRecordError, match="local.yaml"):
        load_vm_settings(path)


def test_missing_settings_are_rejected_with_their_path(tmp_path):
    with pytest.raises(MalformedRecordError, match="absent.yaml"):
        load_vm_settings(tmp_path / "absent.yaml")


def test_deploy_file_makes_the_platform_list_seeds():
    # The platform lists other VMs as seeds only for a role that serves its control
    # address.
    deploy = Path(__file__).parents[4] / "deploy" / "system.toml"
    role = tomllib.loads(deploy.read_text())["roles"]["proxy"]
    assert set(role["serves"]) == {"front", "control"}
