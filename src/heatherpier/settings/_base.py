"""Base of all validated models."""

from pydantic import BaseModel, ConfigDict


class StrictModel(BaseModel):
    """A frozen model that refuses unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)
