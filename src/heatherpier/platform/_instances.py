"""Decoding of the records that instances write into the store."""

from typing import Literal

import msgspec

from heatherpier.discovery import InstanceRecord
from heatherpier.platform._errors import MalformedRecordError
from heatherpier.upstreams import Instance

# Table of the store in which each instance has a row; the key is its id.
INSTANCES_TABLE = "servers"


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
    born: int = 0
    # Number of the heartbeat within this run; 0 if unknown.
    seq_no: int = 0


_decoder = msgspec.json.Decoder(_Entry)
MAX_PORT = 65535


def decode_instance(name: str, body: bytes) -> InstanceRecord:
    """Decodes the record of an instance.

    Args:
        name: Id of the instance, which is the key of its row.
        body: Content of the row.

    Raises:
        MalformedRecordError: The row can't be decoded, so it describes no instance.
    """
    try:
        entry = _decoder.decode(body)
        host, port = split_address(entry.address)
    except (msgspec.MsgspecError, ValueError) as exc:
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
        ValueError: The address has another form.
    """
    host, colon, port = address.rpartition(":")
    is_port = port.isdecimal() and 0 < int(port) <= MAX_PORT
    if not (host and colon and is_port and host.isprintable()):
        raise ValueError(f"expected IP:port, got {address!r:.60}")
    return host, int(port)
