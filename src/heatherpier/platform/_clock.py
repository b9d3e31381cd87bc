"""Conversion of the store's monotonic time to local time."""


class StoreClock:
    """Converts times of the store's monotonic clock to local time.

    The result is the earliest local time that the store's time can mean, so that the
    age of an answer is not underestimated. Local times are those of
    `Timers.elapsed`, which keeps running while the VM is suspended: an answer that is
    read only after a suspension keeps the time at which the store gave it.

    A request sent at local time s and answered with store time n shows that n was not
    before s, so s - n is a lower bound of the difference between local and store time.
    The greatest bound so far, added to n, gives the result. It assumes that both clocks
    run at the same rate.

    The bounds from before a restart of the store's clock no longer hold. If the clock
    restarts at a lower time, the next bound is greater than the old ones and replaces
    them. If it restarts at a higher time, the result may come out after the arrival of
    the answer, which is impossible, and then the old bounds are discarded; until then
    the result is too late by at most the time that the answer was on its way.
    """

    def __init__(self) -> None:
        self._min_difference: float | None = None
        self._epoch = 0

    def earliest_local_time(
        self, store_time: float, *, sent_at: float, received_at: float, epoch: int = 0
    ) -> float:
        """Returns the earliest local time that a time of the store can mean.

        Args:
            store_time: Time in the answer by the store's clock, in seconds.
            sent_at: Local time in seconds, read before the request was sent.
            received_at: Local time in seconds, read after the answer arrived.
            epoch: Epoch of the store in the answer. A restored store may have another
                clock, so the bounds of an earlier epoch are discarded.

        Returns:
            Local time in seconds, from `sent_at` to `received_at`.
        """
        if epoch != self._epoch:
            self._epoch = epoch
            self._min_difference = None
        bound = sent_at - store_time
        if self._min_difference is None or bound > self._min_difference:
            self._min_difference = bound
        local = store_time + self._min_difference
        if not sent_at <= local <= received_at:
            # The store has restarted its clock.
            self._min_difference = bound
            return sent_at
        return local
