"""Shares samples of primaries' positions between the followers of a voter.

A read may run on a replica if a recent position of the primary is known. A proxy with
little work on a primary, or without a connection to it, learns positions from others.

A sample is worth nothing without the time at which it was taken, and a time that is too
late makes reads stale. Clocks of proxies are not comparable, so each time is converted to
a lower bound: a voter's answer was sent after the request that it answers, and before it
arrived.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from heatherpier.leases._grants import MAX_CLOCK_DRIFT
from heatherpier.leases._messages import SampleAnswer, SampleReport, SharedSample
from heatherpier.positions import LogPosition
from heatherpier.timers import Timers

# Older samples serve no route.
MAX_SHARED_AGE_S = 10.0


class PositionSamples(Protocol):
    """The newest position sample of each service."""

    def newest(self) -> Mapping[str, tuple[LogPosition, float]]:
        """Returns position and time by service; times are those of `Timers.elapsed`."""

    def note(self, service: str, position: LogPosition, *, taken_at: float) -> bool:
        """Records a sample; returns whether the service had no recent one before."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _ClockReference:
    """A moment of a voter's clock, and a local time that is not before it.

    Attributes:
        clock_id: Identifies the incarnation of the voter.
        clock_s: The voter's time when it sent an answer, in seconds.
        received_at: Local time when the answer had arrived, in seconds.
    """

    clock_id: int
    clock_s: float
    received_at: float


class SampleExchange:
    """Reports samples to the voter that is followed, and passes on those reported here.

    Args:
        samples: Samples of this proxy.
        clock_id: Number that identifies this incarnation of the process.
        timers: Timer service.
    """

    def __init__(
        self, samples: PositionSamples, *, clock_id: int, timers: Timers
    ) -> None:
        self._samples = samples
        self._clock_id = clock_id
        self._timers = timers
        self._references: dict[str, _ClockReference] = {}
        # Time of the newest sample that a peer was sent, by peer and service.
        self._sent: dict[str, dict[str, float]] = {}

    def report_to(self, peer: str) -> SampleReport | None:
        """Returns the samples that a voter lacks, in times of its clock."""
        reference = self._references.get(peer)
        if reference is None:
            return None
        samples = {}
        for service, (position, taken_at) in self._unsent(peer).items():
            since_s = taken_at - reference.received_at
            at = reference.clock_s + since_s - abs(since_s) * MAX_CLOCK_DRIFT
            samples[service] = SharedSample(position.term, position.index, at)
        return SampleReport(clock_id=reference.clock_id, samples=samples)

    def take_report(self, report: SampleReport | None) -> bool:
        """Records the samples of a follower; returns whether one was needed."""
        if report is None or report.clock_id != self._clock_id:
            # The times are those of an earlier incarnation, or of another build.
            return False
        now = self._timers.elapsed()
        needed = False
        for service, sample in report.samples.items():
            if now - MAX_SHARED_AGE_S < sample.time_s <= now:
                position = LogPosition(sample.term, sample.index)
                needed |= self._samples.note(service, position, taken_at=sample.time_s)
        return needed

    def answer_to(self, peer: str) -> SampleAnswer:
        """Returns the samples that a follower lacks, with their ages."""
        now = self._timers.elapsed()
        samples = {
            service: SharedSample(position.term, position.index, now - taken_at)
            for service, (position, taken_at) in self._unsent(peer).items()
        }
        return SampleAnswer(clock_id=self._clock_id, clock_s=now, samples=samples)

    def take_answer(
        self, peer: str, answer: SampleAnswer | None, *, sent_after: float
    ) -> None:
        """Records the samples of a voter.

        Args:
            peer: Name of the voter.
            answer: Its samples.
            sent_after: Local time in seconds after which the voter sent them.
        """
        if answer is None:
            return
        self._references[peer] = _ClockReference(
            clock_id=answer.clock_id,
            clock_s=answer.clock_s,
            received_at=self._timers.elapsed(),
        )
        for service, sample in answer.samples.items():
            taken_at = sent_after - sample.time_s * (1 + MAX_CLOCK_DRIFT)
            position = LogPosition(sample.term, sample.index)
            self._samples.note(service, position, taken_at=taken_at)

    def _unsent(self, peer: str) -> dict[str, tuple[LogPosition, float]]:
        """Returns the recent samples that a peer was not sent, and notes them as sent.

        An exchange that fails loses some of them; the next samples replace them.
        """
        sent = self._sent.setdefault(peer, {})
        earliest = self._timers.elapsed() - MAX_SHARED_AGE_S
        found = {
            service: (position, taken_at)
            for service, (position, taken_at) in self._samples.newest().items()
            if taken_at > max(sent.get(service, earliest), earliest)
        }
        sent.update({service: taken_at for service, (_, taken_at) in found.items()})
        return found
