"""Settings of the stand-in instances."""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from heatherpier.settings import InstanceModel, StrictModel, load_model


class InstanceSettings(StrictModel):
    """Settings of one stand-in instance.

    Attributes:
        name: Which of ``instances`` it is.
        instances: All instances of its group.
        first_primary: Name of the instance that is the primary of term 1.
        slots: Statements that it runs at once.
        connections: Connections that it accepts.
        lag_ms: Replication delay in milliseconds.
        far_ms: One-way delay to another data centre in milliseconds.
    """

    name: str
    instances: tuple[InstanceModel, ...]
    first_primary: str
    slots: Annotated[int, Field(ge=1)] = 3
    connections: Annotated[int, Field(ge=1)] = 20
    lag_ms: Annotated[int, Field(ge=0)] = 0
    far_ms: Annotated[int, Field(ge=0)] = 0


def load_instance_settings(path: Path) -> InstanceSettings:
    """Reads the settings of a stand-in instance.

    Raises:
        InvalidSettingsError: The file can't be read or does not validate.
    """
    return load_model(InstanceSettings, path)
