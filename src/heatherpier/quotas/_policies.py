"""Ways in which allocators begin, and in which they make up for lost ones."""

from dataclasses import dataclass, field

from heatherpier.quotas._allocators import RIGHT_VALIDITY_S


@dataclass(frozen=True, slots=True, kw_only=True)
class EmptyStart:
    """The buckets are empty when the role begins, a pause after the start.

    Attributes:
        pause_s: Time in seconds after the start in which no rights are created.
    """

    pause_s: float = RIGHT_VALIDITY_S


@dataclass(frozen=True, slots=True, kw_only=True)
class FilledSinceStart:
    """The buckets hold what was created since the process was started.

    An earlier incarnation had ended by then, so nobody else has given these rights.

    Attributes:
        max_age_s: Age of the process in seconds up to which this applies. It is less
            than the difference between `REMOVED_RETENTION_S` and `MAX_VIEW_AGE_S`.
    """

    max_age_s: float = 2.0


StartPolicy = EmptyStart | FilledSinceStart


@dataclass(frozen=True, slots=True)
class FixedShares:
    """Each allocator creates its share of the rate, whatever becomes of the others."""


@dataclass(frozen=True, slots=True)
class RaisedShares:
    """While others are missing, an allocator creates more than its share.

    It goes up to the excess that the window allows if all of them did so.
    """


LossPolicy = FixedShares | RaisedShares


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaPolicy:
    """How allocators begin and make up for each other.

    Attributes:
        start: What an allocator holds when it begins.
        loss: What it creates while others are missing.
    """

    start: StartPolicy = field(default_factory=FilledSinceStart)
    loss: LossPolicy = field(default_factory=RaisedShares)
