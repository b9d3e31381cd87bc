"""What this proxy knows of the load of instances, with the time of the knowledge."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from heatherpier.balancing._usual_times import UsualTimes
from heatherpier.telemetry import get_logger

log = get_logger("balancing")
# Half of what a report tells of an instance's difference from the others is out of
# date after this time. A queue at 60% of capacity is renewed within some service times,
# which are 15 to 55 ms; a longer half-life lets proxies act on queues that are gone.
LOAD_HALF_LIFE_S = 0.15
# Half-life of the knowledge that an instance answers slowly. Slow disks and neighbours
# last for seconds, and one proxy among 144 gets an answer of an instance about every
# 2 s.
SLOWNESS_HALF_LIFE_S = 3.0
# Weight of an answer in the moving average of an instance's slowness, if the average
# is recent.
SLOWNESS_WEIGHT = 0.2
# Wait that each statement at an instance adds: 33 ms of work on 6 slots, 15 ms on 4.
WAIT_PER_STATEMENT_S = 0.005
# Half-life of an instance's usual load, which counts in the mean in place of a report
# that is out of date, and the least weight of a report in it.
USUAL_LOAD_HALF_LIFE_S = 10.0
USUAL_LOAD_WEIGHT = 0.05
# Slowness from which an instance is logged as slow, and below which no more.
SLOW_FROM_S = 0.1
SLOW_BELOW_S = 0.05


@dataclass(slots=True)
class _Knowledge:
    """Knowledge of one instance.

    Attributes:
        others: Statements of other proxies at the instance when it was reported.
        usual: Moving average of ``others``.
        reported_at: Monotonic time in seconds of that; None without a report.
        slowness_s: Time in seconds that answers take beyond the usual.
        answered_at: Monotonic time in seconds of ``slowness_s``; None without an answer.
        in_flight: Monotonic times in seconds at which this proxy sent statements that
            are not settled.
        held_for_slow: Whether it was logged as slow.
    """

    others: float = 0.0
    usual: float = 0.0
    reported_at: float | None = None
    slowness_s: float = 0.0
    answered_at: float | None = None
    in_flight: list[float] = field(default_factory=list)
    held_for_slow: bool = False

    def note_others(self, others: float, at: float) -> None:
        """Records the load by others at a time."""
        if self.reported_at is None:
            self.usual = others
        else:
            kept = _decay(at - self.reported_at, USUAL_LOAD_HALF_LIFE_S)
            weight = max(USUAL_LOAD_WEIGHT, 1 - kept)
            self.usual += weight * (others - self.usual)
        self.others = others
        self.reported_at = at

    def slowness_at(self, now: float) -> float:
        """Returns the slowness in seconds; it tends to none with age."""
        return self.slowness_s * self.slowness_weight_at(now)

    def slowness_weight_at(self, now: float) -> float:
        """Returns how much the slowness still counts, from 0 to 1."""
        if self.answered_at is None:
            return 0.0
        return _decay(now - self.answered_at, SLOWNESS_HALF_LIFE_S)

    def weight_at(self, now: float) -> float:
        """Returns how much a report still counts, from 0 to 1."""
        if self.reported_at is None:
            return 0.0
        return _decay(now - self.reported_at, LOAD_HALF_LIFE_S)


class LoadEstimates:
    """Estimates the wait at instances from reports, answers and own statements.

    All times are monotonic times of this proxy, in seconds.
    """

    def __init__(self) -> None:
        self._instances: dict[str, _Knowledge] = {}
        self._usual_times = UsualTimes()

    def note_report(
        self,
        instance: str,
        *,
        waiting: int,
        in_use: int,
        sent_at: float,
        now: float,
        homes: int = 1,
    ) -> None:
        """Records what a home of an instance reports with an answer.

        Args:
            instance: Name of the instance.
            waiting: Statements that wait for a connection at the home.
            in_use: Connections of the home in use.
            sent_at: Time that the report describes. The time at which the answered
                request was sent is a lower bound of it.
            now: Time of the arrival; of two reports the later arrival counts.
            homes: Number of homes among which the instance's statements are divided.
        """
        load = float((waiting + in_use) * homes)
        known = self._known(instance)
        included = sum(at <= sent_at for at in known.in_flight)
        known.note_others(max(load - included, 0.0), min(sent_at, now))

    def note_answer(
        self, instance: str, *, kind: str, took_s: float, now: float
    ) -> None:
        """Records the time that an answer took.

        Args:
            instance: Name of the instance.
            kind: Kind of statement; only times of one kind are compared.
            took_s: Time from sending the statement to its answer.
            now: Time of the answer.
        """
        excess_s = self._usual_times.excess_s(kind, took_s=took_s)
        self._note_slowness(instance, excess_s, now)

    def note_rejected(self, instance: str, *, wait_s: float, now: float) -> None:
        """Records that an instance rejected a statement because it is full.

        Such answers are quick, so without this the instance would count as idle.

        Args:
            instance: Name of the instance.
            wait_s: Wait that a full instance stands for.
            now: Time of the answer.
        """
        self._note_slowness(instance, wait_s, now)

    def note_sent(self, instance: str, sent_at: float) -> None:
        """Records that this proxy sent a statement to an instance."""
        self._known(instance).in_flight.append(sent_at)

    def note_settled(self, instance: str, sent_at: float) -> None:
        """Records that a sent statement was answered, failed or timed out."""
        known = self._instances.get(instance)
        if known is not None and sent_at in known.in_flight:
            known.in_flight.remove(sent_at)

    def expected_wait_s(
        self, instance: str, now: float, *, among: Sequence[str] = ()
    ) -> float:
        """Returns the expected wait of a new statement, in seconds.

        Args:
            instance: Name of the instance.
            now: The current time.
            among: The candidate instances, to whose mean the estimate tends with the
                age of the report; all known instances if empty.
        """
        names = [instance, *(name for name in among or self._instances)]
        return self.expected_waits_s(list(dict.fromkeys(names)), now)[0]

    def expected_waits_s(self, instances: Sequence[str], now: float) -> list[float]:
        """Returns the expected wait of a new statement at each instance, in seconds.

        Args:
            instances: Names of the candidate instances, to whose mean each estimate
                tends with the age of its report.
            now: The current time.
        """
        known = [self._known(name) for name in instances]
        weights = [item.weight_at(now) for item in known]
        # An instance that was never reported on counts as the least loaded, so that
        # its load becomes known. The choice bounds how many reads that brings it.
        least = min(
            (item.usual for item in known if item.reported_at is not None), default=0.0
        )
        mean = sum(
            weight * item.others
            + (1 - weight) * (least if item.reported_at is None else item.usual)
            for item, weight in zip(known, weights, strict=True)
        ) / len(known)
        waits_s = []
        for name, item, weight in zip(instances, known, weights, strict=True):
            others = mean + weight * (item.others - mean)
            slowness_s = item.slowness_at(now)
            if item.held_for_slow:
                self._log_if_recovered(name, item, slowness_s)
            load = others + len(item.in_flight)
            waits_s.append(max(load * WAIT_PER_STATEMENT_S + slowness_s, 0.0))
        return waits_s

    def report_age_s(self, instance: str, now: float) -> float | None:
        """Returns the age of the report on an instance, or None without one."""
        known = self._instances.get(instance)
        if known is None or known.reported_at is None:
            return None
        return now - known.reported_at

    def forget(self, instance: str) -> None:
        """Drops what is known of an instance that was removed."""
        self._instances.pop(instance, None)

    def _known(self, instance: str) -> _Knowledge:
        known = self._instances.get(instance)
        if known is None:
            known = self._instances[instance] = _Knowledge()
        return known

    def _note_slowness(self, instance: str, excess_s: float, now: float) -> None:
        known = self._known(instance)
        weight = max(SLOWNESS_WEIGHT, 1 - known.slowness_weight_at(now))
        known.slowness_s = (1 - weight) * known.slowness_at(now) + weight * excess_s
        known.answered_at = now
        if known.held_for_slow:
            self._log_if_recovered(instance, known, known.slowness_s)
        elif known.slowness_s >= SLOW_FROM_S:
            known.held_for_slow = True
            log.info(
                "instance is slow",
                instance=instance,
                excess_s=round(known.slowness_s, 3),
                last_s=round(excess_s, 3),
            )

    def _log_if_recovered(
        self, instance: str, known: _Knowledge, slowness_s: float
    ) -> None:
        if slowness_s >= SLOW_BELOW_S:
            return
        known.held_for_slow = False
        log.info(
            "instance no longer counts as slow",
            instance=instance,
            excess_s=round(slowness_s, 3),
        )


def _decay(age_s: float, half_life_s: float) -> float:
    return float(0.5 ** (max(age_s, 0.0) / half_life_s))
