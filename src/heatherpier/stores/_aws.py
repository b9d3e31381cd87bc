"""Clients of a DynamoDB-style table service and an S3-style object store."""

from collections.abc import Awaitable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any, TypeVar

from aiobotocore.config import AioConfig
from aiobotocore.session import get_session
from botocore.exceptions import BotoCoreError, ClientError

from heatherpier.stores._errors import (
    ConflictError,
    PlatformUnavailableError,
    ThrottledError,
)
from heatherpier.stores._interface import ABSENT_VERSION, Record

SOCKET_TIMEOUT_S = 2
MAX_CONNECTIONS = 4
THROTTLED_CODES = frozenset(
    {"ProvisionedThroughputExceededException", "ThrottlingException", "SlowDown"}
)
CONFLICT_CODE = "ConditionalCheckFailedException"
NO_SUCH_KEY_CODE = "NoSuchKey"

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAddress:
    """Addresses of both services, and credentials that sign the calls.

    Attributes:
        table_url: URL of the table service.
        object_url: URL of the object store.
        table: Name of the table.
        bucket: Name of the bucket.
        region: Region name, part of each signature.
        access_key: Access key id.
        secret_key: Secret access key.
    """

    table_url: str
    object_url: str
    table: str
    bucket: str
    region: str
    access_key: str
    secret_key: str


class AwsPlatform:
    """Implements `TableStore` and `ObjectStore` by the DynamoDB and S3 protocols.

    An instance is an asynchronous context manager that opens and closes the clients.
    """

    def __init__(self, address: PlatformAddress) -> None:
        self._address = address
        self._exit_stack = AsyncExitStack()
        self._table: Any = None
        self._objects: Any = None

    async def __aenter__(self) -> "AwsPlatform":
        self._table = await self._open_client("dynamodb", self._address.table_url)
        self._objects = await self._open_client("s3", self._address.object_url)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._exit_stack.aclose()

    async def _open_client(self, service: str, url: str) -> Any:
        client = get_session().create_client(
            service,
            region_name=self._address.region,
            endpoint_url=url,
            aws_access_key_id=self._address.access_key,
            aws_secret_access_key=self._address.secret_key,
            config=AioConfig(
                connect_timeout=SOCKET_TIMEOUT_S,
                read_timeout=SOCKET_TIMEOUT_S,
                max_pool_connections=MAX_CONNECTIONS,
                # Callers decide on retries, since they know what a retry costs.
                retries={"total_max_attempts": 1},
                s3={"addressing_style": "path"},
            ),
        )
        return await self._exit_stack.enter_async_context(client)

    async def get(self, key: str) -> Record | None:
        """Returns the record of ``key``, or None if there is none.

        Raises:
            PlatformError: The service did not answer or rejected the call.
        """
        answer = await _call(
            self._table.get_item(
                TableName=self._address.table,
                Key={"key": {"S": key}},
                ConsistentRead=True,
            )
        )
        item = answer.get("Item")
        if item is None:
            return None
        return Record(
            key=key, version=int(item["version"]["N"]), body=bytes(item["body"]["B"])
        )

    async def put(self, record: Record) -> None:
        """Writes ``record`` if the stored version is its predecessor.

        A record of version 1 is written only if none is stored.

        Raises:
            ConflictError: The stored version is another one; nothing changed.
            ThrottledError: The rate limit is reached; nothing changed.
            PlatformUnavailableError: No usable answer arrived; the outcome is unknown.
        """
        expected = record.version - 1
        if expected == ABSENT_VERSION:
            condition = {"ConditionExpression": "attribute_not_exists(#k)"}
            names, values = {"#k": "key"}, {}
        else:
            condition = {"ConditionExpression": "#v = :expected"}
            names = {"#v": "version"}
            values = {"ExpressionAttributeValues": {":expected": {"N": str(expected)}}}
        await _call(
            self._table.put_item(
                TableName=self._address.table,
                Item={
                    "key": {"S": record.key},
                    "version": {"N": str(record.version)},
                    "body": {"B": record.body},
                },
                ExpressionAttributeNames=names,
                **condition,
                **values,
            )
        )

    async def get_object(self, name: str) -> bytes | None:
        """Returns the blob ``name``, or None if there is none.

        Raises:
            PlatformError: The service did not answer or rejected the call.
        """
        return await _call(self._read_object(name))

    async def _read_object(self, name: str) -> bytes | None:
        try:
            answer = await self._objects.get_object(
                Bucket=self._address.bucket, Key=name
            )
        except ClientError as exc:
            if _error_code(exc) == NO_SUCH_KEY_CODE:
                return None
            raise
        async with answer["Body"] as stream:
            return bytes(await stream.read())

    async def put_object(self, name: str, body: bytes) -> None:
        """Stores the blob ``body`` as ``name``. Repeating the call has no effect.

        Raises:
            PlatformError: The blob is possibly not stored.
        """
        await _call(
            self._objects.put_object(Bucket=self._address.bucket, Key=name, Body=body)
        )


async def _call(request: Awaitable[Answer]) -> Answer:
    """Awaits ``request`` and converts its errors to those of this package."""
    try:
        return await request
    except ClientError as exc:
        code = _error_code(exc)
        if code == CONFLICT_CODE:
            raise ConflictError(str(exc)) from exc
        if code in THROTTLED_CODES:
            raise ThrottledError(str(exc)) from exc
        raise PlatformUnavailableError(str(exc)) from exc
    except (TimeoutError, BotoCoreError, OSError) as exc:
        raise PlatformUnavailableError(str(exc)) from exc


def _error_code(exc: ClientError) -> str:
    return str(exc.response.get("Error", {}).get("Code", ""))
