"""What an instance says of itself."""

from dataclasses import dataclass

from heatherpier.upstreams import Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """One registered instance.

    Attributes:
        instance: Name, address and place; `leaving` is set while it drains.
        service: The service it belongs to.
        claims_primary: Whether it sees itself as the primary.
        started_ms: Unix time in milliseconds of its start, or 0 if unknown. Another
            start under the same name is another incarnation, which knows nothing.
    """

    instance: Instance
    service: str
    claims_primary: bool
    started_ms: int = 0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.instance.name
