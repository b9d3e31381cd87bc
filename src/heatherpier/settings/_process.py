"""Settings of one proxy process."""

from typing import Annotated, Literal

from pydantic import Field

from heatherpier.settings._base import StrictModel
from heatherpier.settings._document import Name, Port


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
        document: Path of the first configuration document.
        log_level: Least level that is logged.
    """

    name: Name
    deployment: Name
    data_centre: Name
    host: str = "127.0.0.1"
    port: Port
    proxies: Annotated[int, Field(ge=1, le=10_000)] = 4
    token_keys: Annotated[
        tuple[Annotated[str, Field(pattern=r"^([0-9a-f]{2}){16,64}$")], ...],
        Field(min_length=1, max_length=4),
    ]
    upstream_user: str = "heatherpier"
    upstream_password: str = ""
    document: str
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
