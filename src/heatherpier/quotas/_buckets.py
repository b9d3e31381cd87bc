"""The rights that an allocator creates, and their fair sharing."""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from heatherpier.quotas._allocators import ALLOCATORS, RIGHT_VALIDITY_S

# Rights of each organisation that all allocators together hold beyond its burst. Each
# can then hold two whole rights, so that none has to be assembled from parts that expire
# meanwhile, and an organisation with a small burst can use its rate in spite of random
# arrivals. It is half of the 20 operations that the requirement allows beyond rate and
# burst; the other half is for operations that wait between their right and their run.
SPARE = 10.0
# Period over which rights are shared fairly, in seconds.
SHARE_PERIOD_S = 1.0
# Fraction of what other proxies are entitled to in a period that is kept for them when
# one takes more than its share. They may have ceased to ask, as when an organisation's
# callers move to one proxy, so that keeping all of it would leave rights unused.
KEPT_FRACTION = 0.2
# Time for which a computed fair level is used. With many proxies its computation would
# otherwise take longer than the rest of an answer.
LEVEL_REUSE_S = 0.05
# Keeps sums of fractions from missing a whole right by a rounding error.
EPSILON = 1e-9


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaWindow:
    """Windows in which the operations of an organisation are counted.

    Attributes:
        length_s: Length in seconds.
        excess: Fraction of rate and burst that is allowed beyond them.
        extra: Operations that are allowed beyond that.
    """

    length_s: float = 5.0
    excess: float = 0.1
    extra: float = 20.0

    @property
    def spare(self) -> float:
        """Rights that allocators hold beyond the burst; the rest of `extra` is a reserve."""
        return min(SPARE, self.extra / 2)

    def allowed(self, per_s: float, burst: float) -> float:
        """Returns how many rights may be spent in a window at a rate and a burst.

        It leaves a reserve for operations that wait between their right and their run.
        """
        usual = per_s * self.length_s + burst
        return usual * (1 + self.excess) + self.extra - self.spare


@dataclass(frozen=True, slots=True)
class Rate:
    """Rate limit of an organisation.

    Attributes:
        per_s: Rights created per second by all allocators.
        burst: Operations that may run at once beyond the rate.
        window: Windows in which the limit holds.
    """

    per_s: float
    burst: float
    window: QuotaWindow = QuotaWindow()

    @property
    def stock(self) -> float:
        """Maximum number of rights that all allocators together hold.

        Rights given earlier stay valid for `RIGHT_VALIDITY_S`, so that time of the rate
        is part of what can run at once.
        """
        usual = max(self.burst - self.per_s * RIGHT_VALIDITY_S, 0.0) + self.window.spare
        return min(usual, max(self._allowed - self._created, 0.0))

    @property
    def _allowed(self) -> float:
        return self.window.allowed(self.per_s, self.burst)

    @property
    def _created(self) -> float:
        """Rights created at the rate that may be spent in one window."""
        return self.per_s * (self.window.length_s + RIGHT_VALIDITY_S)

    @property
    def max_factor(self) -> float:
        """Highest multiple of the rate that allocators together may create."""
        created = self._created
        return (self._allowed - self.stock) / created if created > 0 else 1.0

    def share_per_s(self, missing: int = 0) -> float:
        """Returns how many rights one allocator creates per second.

        Args:
            missing: Number of allocators whose shares the others make up for, as far
                as `max_factor` allows.
        """
        present = max(ALLOCATORS - missing, 1)
        factor = min(ALLOCATORS / present, self.max_factor)
        return self.per_s * factor / ALLOCATORS

    def max_operations(self, window_s: float, *, missing: int = 0) -> float:
        """Returns the maximum number of operations in any window of this length.

        Args:
            window_s: Length of the window in seconds.
            missing: Largest number of allocators that any other one makes up for.
        """
        created = self.share_per_s(missing) * ALLOCATORS
        return created * (window_s + RIGHT_VALIDITY_S) + self.stock


@dataclass(frozen=True, slots=True)
class Gift:
    """Rights that an allocator gives.

    Attributes:
        amount: Number of rights.
        retry_s: Mean time in seconds between two rights that the asker can expect; 0
            if it got all that it asked for.
    """

    amount: float
    retry_s: float = 0.0


def fair_level(demands: Mapping[str, float], capacity: float) -> float:
    """Returns the most that one asker gets if ``capacity`` is shared max-min fairly.

    Args:
        demands: Demand by asker.
        capacity: What is shared.

    Returns:
        The level; infinite if all demands can be met.
    """
    left = capacity
    ordered = sorted(demands.values())
    for index, demand in enumerate(ordered):
        share = left / (len(ordered) - index)
        if demand > share:
            return share
        left -= demand
    return math.inf


@dataclass(slots=True)
class _Period:
    """Asks and gifts of one period.

    Attributes:
        began: Time in seconds.
        demands: Rights asked for, by asker.
        given: Rights given, by asker.
    """

    began: float
    demands: dict[str, float] = field(default_factory=dict)
    given: dict[str, float] = field(default_factory=dict)


class Bucket:
    """One allocator's rights of one organisation.

    It gives whole rights only.

    Args:
        rate: Rate limit of the organisation.
        empty_at: Time in seconds at which the bucket was empty.
    """

    def __init__(self, rate: Rate, *, empty_at: float) -> None:
        self._rate = rate
        self._share_per_s = rate.share_per_s()
        self._level = 0.0
        self._filled_at = empty_at
        self._period = _Period(began=empty_at)
        self._previous: dict[str, float] = {}
        self._fair = math.inf
        self._fair_until = -math.inf
        # What the askers together are still entitled to in the present period.
        self._reserved = 0.0
        # Whether some asker wants less than its share, and so is owed all it asks for.
        self._any_below_share = False

    def level(self, now: float) -> float:
        """Returns how many rights the bucket holds."""
        self._fill(now)
        return self._level

    def set_rate(self, rate: Rate, now: float, *, missing: int = 0) -> None:
        """Changes the rate limit; the bucket is cut to what the new one allows.

        Args:
            rate: Rate limit from now on.
            now: Time in seconds.
            missing: Number of allocators whose shares the others make up for.
        """
        share_per_s = rate.share_per_s(missing)
        if rate == self._rate and share_per_s == self._share_per_s:
            return
        self._fill(now)
        self._rate, self._share_per_s = rate, share_per_s
        self._level = min(self._level, rate.stock / ALLOCATORS)
        self._fair_until = -math.inf

    def give(self, asker: str, amount: float, now: float) -> Gift:
        """Gives rights to a proxy.

        A proxy gets its max-min fair share evenly over time, and beyond it whatever is
        not kept for the others that asked lately.

        Args:
            asker: Name of the proxy.
            amount: Number of rights that it asks for.
            now: Time in seconds.
        """
        self._fill(now)
        self._enter_period(now)
        period = self._period
        period.demands[asker] = period.demands.get(asker, 0.0) + amount
        fair = self._fair_level(now)
        allowed = min(amount, self._level, self._allowance(asker, fair, now))
        given = float(max(math.floor(allowed + EPSILON), 0))
        self._level = max(self._level - given, 0.0)
        period.given[asker] = period.given.get(asker, 0.0) + given
        if given >= amount:
            return Gift(given)
        share = min(fair / SHARE_PERIOD_S, self._share_per_s)
        return Gift(given, retry_s=1 / share if share > 0 else math.inf)

    def _fill(self, now: float) -> None:
        elapsed_s = max(now - self._filled_at, 0.0)
        self._filled_at = max(now, self._filled_at)
        stock = self._rate.stock / ALLOCATORS
        created = self._share_per_s * elapsed_s
        self._level = min(self._level + created, stock)

    def _enter_period(self, now: float) -> None:
        period = self._period
        if now < period.began + SHARE_PERIOD_S:
            return
        recent = now < period.began + 2 * SHARE_PERIOD_S
        self._previous = period.demands if recent else {}
        self._period = _Period(began=now)
        self._fair_until = -math.inf

    def _fair_level(self, now: float) -> float:
        """Returns how many rights one asker may have in the present period."""
        if now < self._fair_until:
            return self._fair
        demands = dict(self._previous)
        for asker, demand in self._period.demands.items():
            demands[asker] = max(demand, demands.get(asker, 0.0))
        capacity = self._share_per_s * SHARE_PERIOD_S
        self._fair = fair_level(demands, max(capacity, self._level))
        self._fair_until = now + LEVEL_REUSE_S
        if self._fair != math.inf:
            share = math.floor(self._fair)
            self._reserved = sum(self._entitlement(name, share) for name in demands)
            self._any_below_share = any(
                demand < self._fair for demand in demands.values()
            )
        return self._fair

    def _allowance(self, asker: str, fair: float, now: float) -> float:
        if fair == math.inf:
            return math.inf
        given = self._period.given.get(asker, 0.0)
        # A share of less than a right is not set aside: the first that ask get one.
        reserved = self._reserved - self._entitlement(asker, math.floor(fair))
        kept = math.ceil(max(reserved, 0.0) * KEPT_FRACTION)
        elapsed = (now - self._period.began) / SHARE_PERIOD_S
        due = math.floor(fair * elapsed) + 1 - given
        allowed = max(due, self._level - kept)
        if self._any_below_share and self._demand(asker) >= fair:
            # Rights are whole. Without one in store, an asker that wants less than its
            # share would find none whenever this one takes each as it is created.
            return min(allowed, self._level - 1)
        return allowed

    def _entitlement(self, asker: str, share: float) -> float:
        got = self._period.given.get(asker, 0.0)
        return max(min(share, self._demand(asker)) - got, 0.0)

    def _demand(self, asker: str) -> float:
        present = self._period.demands.get(asker, 0.0)
        return max(present, self._previous.get(asker, 0.0))


class Buckets:
    """One allocator's rights of all organisations.

    Args:
        rate_of: Returns the rate limit of an organisation: None if it has none, or if
            it is unknown.
    """

    def __init__(self, rate_of: Callable[[str], Rate | None]) -> None:
        self._rate_of = rate_of
        self._buckets: dict[str, Bucket] = {}
        self._empty_at = 0.0
        self._missing = 0

    def restart(self, empty_at: float) -> None:
        """Empties all buckets: this proxy begins to be an allocator.

        Another one may have given all its rights just before.

        Args:
            empty_at: Time in seconds since which rights were created for nobody else.
        """
        self._buckets.clear()
        self._empty_at = empty_at

    def set_missing(self, missing: int, now: float) -> None:
        """Sets for how many other allocators this one makes up from now on."""
        if missing != self._missing:
            # What was created before was created at the earlier share.
            self._missing = missing
            self.update_rates(now)

    def update_rates(self, now: float) -> None:
        """Applies the rate limits of a new configuration from now on.

        Without this call a new limit applies from the next request.
        """
        for organisation, bucket in list(self._buckets.items()):
            rate = self._rate_of(organisation)
            if rate is None:
                del self._buckets[organisation]
            else:
                bucket.set_rate(rate, now, missing=self._missing)

    def give(self, organisation: str, asker: str, amount: float, now: float) -> Gift:
        """Gives rights of an organisation to a proxy.

        Args:
            organisation: Name of the organisation.
            asker: Name of the proxy.
            amount: Number of rights that it asks for.
            now: Time in seconds.
        """
        rate = self._rate_of(organisation)
        if rate is None:
            self._buckets.pop(organisation, None)
            return Gift(0.0, retry_s=SHARE_PERIOD_S)
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = self._buckets[organisation] = Bucket(rate, empty_at=self._empty_at)
        bucket.set_rate(rate, now, missing=self._missing)
        return bucket.give(asker, amount, now)
