"""Rows and messages of other writers: each decoder rejects them by its own error only."""

import contextlib
import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherpier.fleet import Codec
from heatherpier.fleet._messages import MalformedMessageError
from heatherpier.forwarding import FORWARDING_MESSAGES
from heatherpier.leases import LEASE_MESSAGES, FleetView
from heatherpier.platform import (
    MalformedRecordError,
    decode_config,
    decode_instance,
    load_vm_settings,
)
from heatherpier.quotas import QUOTA_MESSAGES
from heatherpier.tables import Row, TableCopy

ENTRY = {
    "service": "claims",
    "address": "10.0.0.9:8080",
    "zone": "north-a",
    "state": "ready",
    "dbRole": "primary",
    "born": 1700000000000,
    "seqNo": 3,
}
NESTED = b"[" * 100_000 + b"]" * 100_000
CODEC = Codec((*LEASE_MESSAGES, *QUOTA_MESSAGES, *FORWARDING_MESSAGES))
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda item: st.lists(item) | st.dictionaries(st.text(), item),
    max_leaves=8,
)
# Largest number of a message between proxies.
MAX_INTEGER = 2**64 - 1


def with_nested_field(body):
    return json.dumps(body).encode()[:-1] + b',"odd":' + NESTED + b"}"


@pytest.mark.parametrize(
    "change",
    [
        {"born": 10**30},
        {"born": -1},
        {"born": 1.5},
        {"seqNo": 2**64},
        {"seqNo": -1},
        {"address": "10.0.0.9:٨٠٨٠"},
        {"address": "10.0.0.9:" + "9" * 5000},
        {"address": "10.0.0.9:70000"},
        {"address": "10.0. 0.9:8080"},
        {"address": "10.0.0.9\u2003:8080"},
        {"zone": None},
    ],
    ids=str,
)
def test_an_odd_value_makes_an_entry_malformed(change):
    # Guards against numbers that no message can carry, and texts that end one.
    with pytest.raises(MalformedRecordError, match="i-1"):
        decode_instance("i-1", json.dumps(ENTRY | change).encode())


@pytest.mark.parametrize(
    "host",
    [
        "127.0..9",
        "1.2.3",
        "256.1.1.1",
        "010.0.0.1",
        "0x7f.1",
        "0.0.0.0",
        "224.0.0.1",
        "255.255.255.255",
        "a" * 70,
        "host",
        "-",
        "h\u00f6st",
        "\u0661.2.3.4",
        "::1",
    ],
)
def test_an_address_that_is_no_ip_names_no_instance(host):
    # Guards against a decision about a service that fails at such an address, for good.
    with pytest.raises(MalformedRecordError, match="i-1.*expected IP:port"):
        decode_instance("i-1", json.dumps(ENTRY | {"address": f"{host}:80"}).encode())


@pytest.mark.parametrize("service", ["", "a b", "a\r\nBYE", "\u0395"])
def test_a_service_that_would_break_a_message_names_no_instance(service):
    # Guards against a text in the first message to an instance that ends the message,
    # or that can't be sent.
    with pytest.raises(MalformedRecordError, match="i-1"):
        decode_instance("i-1", json.dumps(ENTRY | {"service": service}).encode())


@pytest.mark.parametrize("name", ["", "i 1", "i\r\nBYE", "i\0", "i\u2028", "i-\u0395"])
def test_an_id_that_would_break_a_message_names_no_instance(name):
    with pytest.raises(MalformedRecordError):
        decode_instance(name, json.dumps(ENTRY).encode())


@pytest.mark.parametrize(
    "body", [NESTED, with_nested_field(ENTRY)], ids=["all", "field"]
)
async def test_deep_nesting_is_malformed_for_each_decoder(body, tmp_path, timers):
    # Guards against a RecursionError that stops the task which follows a table.
    with pytest.raises(MalformedRecordError):
        decode_instance("i-1", body)
    with pytest.raises(MalformedRecordError):
        decode_config(body)
    path = tmp_path / "local.yaml"
    path.write_bytes(b"node: " + b"[" * 3000)
    with pytest.raises(MalformedRecordError):
        load_vm_settings(path)
    copy = TableCopy("fleet", timers=timers)
    view = FleetView(copy, timers=timers)
    for number, key in enumerate(("member/a", "leader/claims", "replicas/claims"), 1):
        copy.apply_row(Row(key=key, version=number, body=body))
    assert view.members == {}
    assert view.leaders == {}


def test_deep_nesting_in_a_message_is_malformed():
    envelope = b"\x91" * 100_000 + b"\xc0"
    with pytest.raises(MalformedMessageError):
        CODEC.decode(envelope)


@given(st.binary() | JSON.map(lambda item: json.dumps(item).encode()))
def test_any_bytes_are_decoded_or_malformed(body):
    for decode in (lambda item: decode_instance("i-1", item), decode_config):
        with contextlib.suppress(MalformedRecordError):
            decode(body)
    with contextlib.suppress(MalformedMessageError):
        CODEC.decode(body)


@given(st.sampled_from(sorted(ENTRY)), JSON)
def test_an_entry_with_any_value_is_decoded_or_malformed(field, value):
    body = json.dumps(ENTRY | {field: value}).encode()
    try:
        record = decode_instance("i-1", body)
    except MalformedRecordError:
        return
    assert 0 < record.instance.port < 2**16
    assert 0 <= record.started_ms <= MAX_INTEGER
    assert 0 <= record.sequence <= MAX_INTEGER
    msgspec.msgpack.encode([record.started_ms, record.sequence])
