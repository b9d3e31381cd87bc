"""Decoding of the records that instances write into the store."""

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, Literal

import msgspec

from heatherpier.decoding import DECODE_ERRORS
from heatherpier.discovery import InstanceRecord
from heatherpier.platform._errors import MalformedRecordError
from heatherpier.platform._line import ENCODING
from heatherpier.upstreams import Instance

# Table of the store in which each instance has a row; the key is its id.
INSTANCES_TABLE = "servers"
# Largest number that all formats of messages between proxies carry.
MAX_INTEGER = 2**63 - 1
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class _Entry(msgspec.Struct, kw_only=True, rename="camel"):
    service: str
    # ``IP:port``.
    address: str
    # Data centre.
    zone: str
    state: Literal["ready", "draining"]
    # Role that the instance ascribes to itself; it does not show whether other
    # instances agree.
    db_role: Literal["primary", "replica"]
    # Unix time in milliseconds when the instance started; 0 if unknown.
    born: _Count = 0
    # Number of the heartbeat within this run; 0 if unknown.
    seq_no: _Count = 0


_decoder = msgspec.json.Decoder(_Entry)
MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def decode_instance(name: str, body: bytes) -> InstanceRecord:
    """Decodes the record of an instance.

    Args:
        name: Id of the instance, which is the key of its row.
        body: Content of the row.

    Raises:
        MalformedRecordError: The row can't be decoded, so it describes no instance.
    """
    try:
        if not _is_word(name):
            raise ValueError("expected an id that fits into a message")
        entry = _decoder.decode(body)
        if not _is_word(entry.service):
            raise ValueError(
                f"expected a service that fits into a message, got {entry.service!r:.60}"
            )
        host, port = split_address(entry.address)
    except DECODE_ERRORS as exc:
        raise MalformedRecordError(f"instance {name!r:.60}: {exc}") from exc
    return InstanceRecord(
        instance=Instance(
            name=name,
            host=host,
            port=port,
            data_centre=entry.zone,
            leaving=entry.state == "draining",
        ),
        service=entry.service,
        claims_primary=entry.db_role == "primary",
        started_ms=entry.born,
        sequence=entry.seq_no,
    )


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an address ``IP:port``.

    Raises:
        ValueError: The address has another form, or nothing can listen there.
    """
    host, colon, port = address.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not (colon and _is_host(host) and is_number and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"expected IP:port, got {address!r:.60}")
    return host, int(port)


def _is_host(text: str) -> bool:
    """Returns whether a text is the IPv4 address of one machine.

    A name would be looked up at each connection, and a connection to the unspecified
    address leads to this machine.
    """
    try:
        ip = IPv4Address(text)
    except AddressValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)


def _is_word(text: str) -> bool:
    """Returns whether a text can stand between two blanks of a message."""
    if not text.isprintable() or any(map(str.isspace, text)):
        return False
    try:
        return bool(text.encode(ENCODING))
    except UnicodeEncodeError:
        return False
