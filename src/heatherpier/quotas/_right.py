"""The answers to an operation that asks to run."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(slots=True)
class Right:
    """Permission to run one operation.

    Attributes:
        organisation: Name of the organisation.
        expires_at: Time in seconds by `Timers.elapsed` until which it may be put back
            and spent again.
    """

    organisation: str
    expires_at: float
    _return: Callable[["Right"], None] | None = None

    def put_back(self) -> None:
        """Gives the right back, because the operation was certainly not run."""
        give_back, self._return = self._return, None
        if give_back is not None:
            give_back(self)


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The operation may not run.

    Attributes:
        cause: Why there is no right for it.
        retry_s: Time in seconds after which this proxy expects to have one.
    """

    cause: str
    retry_s: float


class OpenGate:
    """Admits all operations: quotas are not active."""

    async def admit(
        self, organisation: str, *, deadline: float, statement_id: str = ""
    ) -> Right | Refusal:
        """Returns a right without a limit."""
        return Right(organisation, float("inf"))
