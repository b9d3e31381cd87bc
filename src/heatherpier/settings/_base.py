"""Base class of the validated models and their common field types."""

import ipaddress
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field


def _require_ip(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError("expected an IP address") from None
    return value


Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_-]{0,62}$")]
Port = Annotated[int, Field(ge=1, le=65535)]
IpAddress = Annotated[str, AfterValidator(_require_ip)]


class StrictModel(BaseModel):
    """A frozen model that refuses unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)
