"""Record of a registered instance."""

from dataclasses import dataclass

from heatherpier.upstreams import Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """What a registered instance states of itself.

    Attributes:
        instance: Name, address and location; `leaving` is set while it drains.
        service: Service that it belongs to.
        claims_primary: Whether it considers itself the primary.
        started_ms: Unix time in milliseconds of its start, or 0 if unknown. Another
            start under the same name is another incarnation, which has none of the
            earlier one's state.
        sequence: Number of the entry within its incarnation, or 0 if unknown.
    """

    instance: Instance
    service: str
    claims_primary: bool
    started_ms: int = 0
    sequence: int = 0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.instance.name
