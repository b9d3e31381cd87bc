"""Settings of one proxy process."""

from typing import Annotated, Literal, Self

from pydantic import Field, SecretStr, model_validator

from heatherpier.settings._base import IpAddress, Name, Port, StrictModel
from heatherpier.settings._fleet import FleetModel, PlatformModel


class CallersModel(StrictModel):
    """Limits of the listener and of each caller's connection.

    Attributes:
        connections: Callers connected at once.
        packet_bytes: Longest statement in bytes.
        handshake_ms: Time in milliseconds for the handshake.
        idle_ms: Longest time in milliseconds between two commands.
        packet_ms: Time in milliseconds for all bytes of one command.
        write_ms: Time in milliseconds that a caller may take to read an answer.
        tls_certificate: Path of a PEM certificate chain, or None for no TLS.
        tls_key: Path of its PEM key.
    """

    connections: Annotated[int, Field(ge=1, le=65536)] = 2000
    packet_bytes: Annotated[int, Field(ge=1024, le=1 << 30)] = 4 * 1024 * 1024
    handshake_ms: Annotated[int, Field(ge=100, le=60_000)] = 5000
    idle_ms: Annotated[int, Field(ge=100, le=86_400_000)] = 3_600_000
    packet_ms: Annotated[int, Field(ge=100, le=600_000)] = 10_000
    write_ms: Annotated[int, Field(ge=100, le=600_000)] = 30_000
    tls_certificate: str | None = None
    tls_key: str | None = None

    @model_validator(mode="after")
    def _check_certificate_and_key(self) -> Self:
        if (self.tls_certificate is None) != (self.tls_key is None):
            raise ValueError("tls_certificate and tls_key must be set together")
        return self


class StopModel(StrictModel):
    """Times of a planned stop.

    Attributes:
        unready_ms: Time in milliseconds from readiness off to the closed listener.
        transactions_ms: Time in milliseconds for open transactions to finish.
        linger_ms: Time in milliseconds that a caller has to close its end.
    """

    unready_ms: Annotated[int, Field(ge=0, le=600_000)] = 3000
    transactions_ms: Annotated[int, Field(ge=0, le=600_000)] = 10_000
    linger_ms: Annotated[int, Field(ge=0, le=60_000)] = 2000


class AdminModel(StrictModel):
    """The HTTP endpoint for balancers and operators.

    Attributes:
        host: IP address to listen at.
        port: TCP port.
        token: Secret for changes of the log level; empty forbids them.
    """

    host: IpAddress = "127.0.0.1"
    port: Port
    token: SecretStr = SecretStr("")


class ProxySettings(StrictModel):
    """What a proxy must know before it can reach anything else.

    Attributes:
        name: Name of this proxy, unique in the deployment.
        deployment: Name of the deployment; tokens are bound to it.
        data_centre: Data centre of this VM.
        host: IP address to listen at.
        port: TCP port for callers.
        proxies: Count of proxies that share the connections of an instance.
        token_keys: Hexadecimal secret keys for session tokens; the first signs.
        upstream_user: User name at the instances.
        upstream_password: Password at the instances.
        upstream_tls_ca: Path of a PEM file that signs the instances' certificates,
            or None for connections without TLS.
        document: Path of the first configuration document.
        log_level: Least level that is logged.
        callers: Limits of the listener.
        stop: Times of a planned stop.
        admin: HTTP endpoint for readiness, metrics and status, or None.
        fleet: How to talk to peers, or None for a proxy that stands alone.
        platform: Where the platform's services are; needed by ``fleet``.
    """

    name: Name
    deployment: Name
    data_centre: Name
    host: IpAddress = "127.0.0.1"
    port: Port
    proxies: Annotated[int, Field(ge=1, le=10_000)] = 4
    token_keys: Annotated[
        tuple[Annotated[str, Field(pattern=r"^([0-9a-f]{2}){16,64}$")], ...],
        Field(min_length=1, max_length=4),
    ]
    upstream_user: str = "heatherpier"
    upstream_password: SecretStr = SecretStr("")
    upstream_tls_ca: str | None = None
    document: str
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    callers: CallersModel = CallersModel()
    stop: StopModel = StopModel()
    admin: AdminModel | None = None
    fleet: FleetModel | None = None
    platform: PlatformModel | None = None

    @model_validator(mode="after")
    def _check_fleet_and_platform(self) -> Self:
        if (self.fleet is None) != (self.platform is None):
            raise ValueError("fleet and platform must be set together")
        return self
