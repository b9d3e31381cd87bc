"""Settings for reaching the other proxies and the services of the platform."""

from typing import Annotated

from pydantic import Field, SecretStr

from heatherpier.settings._base import IpAddress, Name, Port, StrictModel

Z85_KEY_CHARS = 40
Url = Annotated[str, Field(pattern=r"^https?://[^\s]+$")]


class PeerModel(StrictModel):
    """Address of another proxy.

    Attributes:
        name: Its name.
        host: Its IP address.
        port: Its TCP port for peers.
        data_centre: Data centre of its VM.
    """

    name: Name
    host: IpAddress
    port: Port
    data_centre: Name


class FleetModel(StrictModel):
    """How this proxy talks to its peers.

    Attributes:
        port: TCP port for peers.
        public_key: The deployment's public CURVE key, Z85.
        secret_key: Its secret key, Z85.
        seeds: Proxies to ask first; any that are alive will do.
    """

    port: Port
    public_key: Annotated[
        str, Field(min_length=Z85_KEY_CHARS, max_length=Z85_KEY_CHARS)
    ]
    secret_key: Annotated[
        SecretStr, Field(min_length=Z85_KEY_CHARS, max_length=Z85_KEY_CHARS)
    ]
    seeds: tuple[PeerModel, ...] = ()


class PlatformModel(StrictModel):
    """Where the platform's services are.

    Attributes:
        table_url: URL of the table service.
        object_url: URL of the object store.
        table: Name of the table.
        bucket: Name of the bucket.
        region: Region name that signatures carry.
        access_key: Access key id.
        secret_key: Secret access key.
    """

    table_url: Url
    object_url: Url
    table: Annotated[str, Field(min_length=1, max_length=255)]
    bucket: Annotated[str, Field(min_length=1, max_length=63)]
    region: Annotated[str, Field(min_length=1, max_length=63)] = "local"
    access_key: str
    secret_key: SecretStr
