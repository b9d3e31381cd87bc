"""Combines single writes, transactions and the pruning of records of a proxy."""

from collections.abc import Callable
from random import Random

from heatherpier.groups import Group
from heatherpier.limits import Admission
from heatherpier.requests import Answer, Request
from heatherpier.timers import Timers
from heatherpier.writes._begin import TransactionOpener
from heatherpier.writes._caller import CallerTransactions
from heatherpier.writes._commit import Committer
from heatherpier.writes._keys import KeyGenerator
from heatherpier.writes._pruner import Pruner
from heatherpier.writes._resolver import Resolver
from heatherpier.writes._single import SingleWriter


class Writer:
    """Runs writes of callers at most once.

    Args:
        timers: Timer service.
        keys: Generates and validates idempotency keys.
        rng: Random source for retry delays.
        admission: Limits the concurrent statements on each instance; None creates one
            for this writer only.
    """

    def __init__(
        self,
        *,
        timers: Timers,
        keys: KeyGenerator,
        rng: Random,
        admission: Admission | None = None,
    ) -> None:
        admission = admission or Admission(timers=timers)
        resolver = Resolver(timers=timers, rng=rng)
        self._single = SingleWriter(
            timers=timers,
            keys=keys,
            resolver=resolver,
            rng=rng,
            admission=admission,
        )
        self._committer = Committer(timers=timers, keys=keys, resolver=resolver)
        self._opener = TransactionOpener(timers=timers, rng=rng, admission=admission)
        self._pruner = Pruner(timers=timers, rng=rng, retention_ms=keys.retention_ms)

    def start_pruning(self, group: Group) -> None:
        """Starts a task that prunes the group's records until the group is closed."""
        group.start(self._pruner.run(group))

    async def execute(self, group: Group, req: Request) -> Answer:
        """Runs one write outside a transaction.

        Raises:
            FinalError: The write failed; `SingleWriter` lists the cases.
        """
        return await self._single.execute(group, req)

    def open_caller(
        self,
        *,
        on_commit: Callable[[Answer, Group], object],
        idle_limit_s: float,
    ) -> CallerTransactions:
        """Returns the transaction state of a new caller, without an open transaction.

        Args:
            on_commit: Called with the answer and group of each commit.
            idle_limit_s: Maximum time in seconds between two statements of a
                transaction.
        """
        return CallerTransactions(
            opener=self._opener,
            committer=self._committer,
            writer=self._single,
            on_commit=on_commit,
            idle_limit_s=idle_limit_s,
        )
