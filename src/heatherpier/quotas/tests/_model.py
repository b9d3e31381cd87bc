"""Runs the rules of quotas in processes with random faults, and checks all windows.

Copies of the members' table, choice of allocators, buckets and ledgers are the real
ones. Network, store and the holders' asks are simulated in steps of 0.1 s: holders ask
for as much as they can of any proxy. They spend at once, at random times before the
expiry, or all together at the end of a cycle in which buckets could fill.
"""

import random
from dataclasses import dataclass, field, fields, is_dataclass, replace
from types import ModuleType

import logbook

from heatherpier.bench._row_store import MemoryRowStore
from heatherpier.fleet import Peer
from heatherpier.leases import FLEET_TABLE, MEMBER_PREFIX, FleetView, encode_member
from heatherpier.quotas import _policies
from heatherpier.quotas._allocators import RIGHT_VALIDITY_S
from heatherpier.quotas._buckets import Buckets, Rate
from heatherpier.quotas._fleet_rows import FleetRows
from heatherpier.quotas._issuer import RightsIssuer
from heatherpier.quotas._ledger import Ledger
from heatherpier.quotas._links import ANSWER_TIMEOUT_S
from heatherpier.quotas._policies import FixedShares, QuotaPolicy
from heatherpier.quotas._row_proof import RowProof
from heatherpier.tables import Changes, HistoryLostError, TableCopy

STEP_S = 0.1
END_S = 75.0
# Times of the first fault: in a new deployment, and with proven rows of members.
FIRST_FAULTS_S = (4.0, 28.0)
OLD = Rate(300.0, 250.0)
# Cycle of holders that spend all at once, in seconds.
CYCLE_S = 4.0
NEW = Rate(100.0, 50.0)
ORGANISATION = "acme"


class ModelTimers:
    """Time of the model, in steps."""

    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time

    elapsed = now


@dataclass(frozen=True)
class Build:
    """The classes of one version of the product that a process runs.

    Args:
        policies: Module of its policies, or None if its allocators take neither a policy
            nor the start of the process.
    """

    fleet_view: type = FleetView
    table_copy: type = TableCopy
    fleet_rows: type = FleetRows
    row_proof: type = RowProof
    buckets: type = Buckets
    rate: type = Rate
    issuer: type = RightsIssuer
    policies: ModuleType | None = _policies

    def own_policy(self, value):
        """Returns a policy, or a part of one, made of the classes of this version.

        A version matches on its own classes and recognizes no others.
        """
        if not is_dataclass(value):
            return value
        parts = {
            item.name: self.own_policy(getattr(value, item.name))
            for item in fields(value)
        }
        return getattr(self.policies, type(value).__name__)(**parts)


PRESENT = Build()


@dataclass
class Process:
    """One run of a proxy's process."""

    peer: Peer
    view: FleetView
    rows: FleetRows
    issuer: RightsIssuer
    proof: RowProof
    build: "Build"
    rate: Rate
    ledger: Ledger = field(default_factory=Ledger)
    buckets: Buckets | None = None
    has_read: bool = False
    answered: set = field(default_factory=set)
    reads_peer: bool = False

    @property
    def name(self):
        return self.peer.name


@dataclass
class Packet:
    due: float
    receiver: Process
    sender: Process
    sent_at: float
    given: float | None = None


class Model:
    """One run; the faults are drawn from the seed.

    Args:
        seed: Seed of the run.
        only: Name of the only kind of fault besides those of messages, or None for all.
        late_counts: Seeded fault: answers count whenever they come.
        gives_again: Seeded fault: the rights of an answer that takes long are given
            again.
        policy: How allocators begin and make up for each other.
        builds: Versions of the product; each start of a process draws one.
    """

    def __init__(
        self,
        seed,
        *,
        only=None,
        late_counts=False,
        gives_again=False,
        policy=None,
        builds=(PRESENT,),
    ):
        self.rng = random.Random(seed)
        self.policy = policy or QuotaPolicy()
        self.builds = builds
        self.timers = ModelTimers()
        self.store = MemoryRowStore(timers=self.timers)
        self.late_counts, self.gives_again = late_counts, gives_again
        self.running = {}
        self.packets = []
        self.spent = []
        self.stalled_until = 0.0
        self.cut_from_store, self.cut_pairs, self.removed = {}, {}, set()
        self.configured, self.all_configured_at = OLD, None
        self.loss, self.delay_steps = self.rng.choice(
            [(0, 0), (0, 1), (0, 4), (0.1, 4)]
        )
        self.spends = self.rng.choice([0.3, 1.0, None, None])
        # When in the cycle they begin to ask: just within the validity of rights, or
        # before it.
        self.asks_at = self.rng.choice([3.3, 3.6])
        self.twice = self.rng.choice([0, 0, 0.1])
        self.names = [f"proxy-{self.rng.randrange(10**6)}" for _ in range(8)]
        for name in self.names:
            self.start(name)
        self.faults = self.plan_faults(only)

    def plan_faults(self, only):
        rng, first = self.rng, self.rng.choice(FIRST_FAULTS_S)
        kinds = [
            self.cut_and_replace,
            self.restart_one,
            self.restart_all,
            self.add_and_restart,
            self.replace_and_restart,
            self.part,
            self.lower_limit,
            self.forget_history,
            self.restart_all_repeatedly,
            self.stall,
        ]
        if only == "replace_unseen" or (only is None and rng.random() < 0.2):
            return [(28.0, self.add_some), (56.0, self.replace_unseen)]
        if only is not None:
            return [(at, getattr(self, only)) for at in (first + 4, 50.0)]
        times = sorted(rng.uniform(first, END_S - 15) for _ in range(6))
        return [(at, rng.choice(kinds)) for at in times]

    # Faults

    def allocators(self):
        return [item for item in self.running.values() if item.issuer.active]

    def cut_and_replace(self):
        """Cuts allocators off from the store, removes them and adds others."""
        for item in self.rng.sample(self.allocators(), min(2, len(self.allocators()))):
            self.cut_from_store[item.name] = self.timers.time + self.rng.uniform(15, 40)
            self.remove(item.name)
            if self.rng.random() < 0.5:
                self.faults.append(
                    (
                        self.cut_from_store[item.name],
                        lambda name=item.name: self.removed.discard(name),
                    )
                )
                self.faults.sort(key=lambda fault: fault[0])
        for _ in range(2):
            self.add()

    def remove(self, name):
        self.removed.add(name)
        if self.store.row(FLEET_TABLE, MEMBER_PREFIX + name) is not None:
            self.store.commit(FLEET_TABLE, MEMBER_PREFIX + name, None)

    def add(self):
        name = f"proxy-{self.rng.randrange(10**6)}"
        self.names.append(name)
        self.start(name)
        return name

    def restart_one(self):
        name = self.rng.choice(list(self.running))
        self.start(name, reads_peer=self.rng.random() < 0.5)

    def restart_all(self):
        for name in list(self.running):
            self.start(name)

    def add_and_restart(self):
        """Adds members while others lose the store, and restarts them soon after."""
        for item in self.allocators():
            self.cut_from_store[item.name] = self.timers.time + 19
        added = [self.add() for _ in range(3)]
        at = self.timers.time + self.rng.uniform(1, 4)
        for name in added:
            self.faults.append((at, lambda name=name: self.start(name)))
        self.faults.sort(key=lambda item: item[0])

    def restart_all_repeatedly(self):
        at = self.timers.time
        self.faults[:0] = [(at + count, self.restart_all) for count in range(10)]

    def stall(self):
        """Delays all answers of 2 s until its end."""
        self.stalled_until = self.timers.time + 2

    def add_some(self):
        """Adds members, some of which take the place of allocators."""
        for _ in range(4):
            self.add()

    def replace_unseen(self):
        """Removes allocators that run on; others restart and can't know of them."""
        for item in self.allocators():
            if item.name in self.names[8:]:
                self.cut_from_store[item.name] = self.timers.time + 25
                self.remove(item.name)
        self.store.drop_history()
        for name in self.running.keys() - self.cut_from_store.keys():
            self.start(name)

    def replace_and_restart(self):
        """Removes allocators that run on without the store, then restarts the rest."""
        self.cut_and_replace()
        cut = set(self.cut_from_store)
        for name in self.running.keys() - cut:
            self.start(name)

    def part(self):
        one, other = self.rng.sample(list(self.running), 2)
        self.cut_pairs[frozenset({one, other})] = self.timers.time + 10

    def lower_limit(self):
        """Half of the proxies hold the older configuration for 4 s more."""
        if self.configured is NEW:
            return
        self.configured, self.all_configured_at = NEW, self.timers.time + 4
        for name in self.rng.sample(list(self.running), len(self.running) // 2):
            self.running[name].rate = NEW

    def forget_history(self):
        self.store.drop_history()

    # Processes

    def start(self, name, *, reads_peer=False):
        """Starts a process, in place of the one that runs under that name."""
        timers, builds = self.timers, self.builds
        build = self.rng.choice(builds) if len(builds) > 1 else builds[0]
        peer = Peer(name=name, host=name, port=1, data_centre="north")
        view = build.fleet_view(
            build.table_copy(FLEET_TABLE, timers=timers), timers=timers
        )
        rows = build.fleet_rows(peer, view=view, timers=timers)
        proof = build.row_proof(
            name, rows=rows, store=None, needed=lambda: True, timers=timers
        )
        buckets = build.buckets(
            lambda _: build.rate(process.rate.per_s, process.rate.burst)
        )
        options = {}
        if build.policies is not None:
            options = {
                "policy": build.own_policy(self.policy),
                "started_at": timers.time,
            }
        issuer = build.issuer(
            name,
            rows=rows,
            buckets=buckets,
            timers=timers,
            **options,
        )
        old = self.configured if self.all_configured_at is None else OLD
        process = Process(peer, view, rows, issuer, proof, build, old, buckets=buckets)
        process.reads_peer = reads_peer
        self.running[name] = process
        if self.rng.random() < 0.9:
            self.follow_store(process)

    def follow_store(self, process):
        """Registers the process if it is not a member, and updates its copy."""
        if self.cut_from_store.get(process.name, 0) > self.timers.time:
            return
        key, copy = MEMBER_PREFIX + process.name, process.view.copy
        if process.name not in self.removed and not self.store.row(FLEET_TABLE, key):
            self.store.commit(FLEET_TABLE, key, encode_member(process.peer))
        if process.reads_peer and not process.has_read:
            self.read_from_peer(process)
        try:
            changes = self.store.since(FLEET_TABLE, copy.version)
        except HistoryLostError:
            copy.replace(self.store.snapshot(FLEET_TABLE))
        else:
            if copy.version == 0:
                copy.apply_from_beginning(changes)
            else:
                copy.apply(changes)
        process.has_read = True
        if process.proof._due():
            key, body, expected = process.rows.proof_row()
            row = self.store.row(FLEET_TABLE, key)
            if (row.version if row else 0) == expected:
                self.store.commit(FLEET_TABLE, key, body)

    def read_from_peer(self, process):
        other = self.running[self.rng.choice(list(self.running))].view.copy
        if other.version:
            as_of = self.timers.time - other.age_s()
            rows = other.rows()
            process.view.copy.replace(
                Changes(rows=rows, version=other.version, as_of=as_of)
            )

    # Messages

    def send(self, packet):
        pair = frozenset({packet.sender.name, packet.receiver.name})
        if self.cut_pairs.get(pair, 0) > self.timers.time:
            return
        copies = 2 if self.rng.random() < self.twice else 1
        for _ in range(copies):
            delay = self.rng.randint(0, self.delay_steps) * STEP_S
            if self.rng.random() >= self.loss:
                due = self.timers.time + delay
                if packet.given is not None:
                    due = max(due, self.stalled_until)
                self.packets.append(replace(packet, due=due))

    def receive(self, packet):
        process, now = packet.receiver, self.timers.time
        if self.running.get(process.name) is not process:
            return
        if packet.given is None:
            self.answer(packet)
            return
        answered = (id(packet.sender), packet.sent_at)
        if answered in process.answered:
            return
        process.answered.add(answered)
        late = now - packet.sent_at > ANSWER_TIMEOUT_S
        if late and not self.late_counts:
            return
        since = now if self.late_counts else packet.sent_at
        process.ledger.add(
            ORGANISATION, packet.given, expires_at=since + RIGHT_VALIDITY_S, now=now
        )

    def answer(self, packet):
        allocator, asker = packet.receiver, packet.sender
        answer = allocator.issuer.give(asker.name, {ORGANISATION: 1000.0})
        given = answer.given.get(ORGANISATION, 0.0)
        if given:
            self.send(Packet(0, asker, allocator, packet.sent_at, given))
        if given and self.gives_again and self.timers.time > packet.sent_at:
            allocator.buckets._buckets[ORGANISATION]._level += given

    # Steps

    def run(self):
        """Runs the model; returns the first window above its bound, or None."""
        with logbook.NullHandler().applicationbound():
            while self.timers.time < END_S:
                self.step()
        return self.first_excess()

    def step(self):
        now = self.timers.time = round(self.timers.time + STEP_S, 6)
        while self.faults and self.faults[0][0] <= now:
            self.faults.pop(0)[1]()
        if self.all_configured_at is not None and now >= self.all_configured_at:
            for process in self.running.values():
                process.rate = NEW
        for process in list(self.running.values()):
            if self.rng.random() < 0.3:
                self.follow_store(process)
        bunched, phase = self.spends is None, round(now % CYCLE_S, 6)
        for process in list(self.running.values()):
            process.issuer.update()
            if process.build.policies is not None:
                process.issuer.note_silent(())
            for other in self.allocators():
                asks = (
                    phase == 0 or phase >= self.asks_at
                    if bunched
                    else self.rng.random() < 0.5
                )
                if asks:
                    self.send(Packet(0, other, process, now))
        while due := [item for item in self.packets if item.due <= now]:
            self.packets = [item for item in self.packets if item.due > now]
            for packet in due:
                self.receive(packet)
        for process in self.running.values():
            if phase == 0 if bunched else self.rng.random() < self.spends:
                while process.ledger.take(ORGANISATION, now) is not None:
                    self.spent.append(now)

    def first_excess(self):
        """Returns start, length and count of a window with too many operations."""
        spent = self.spent
        counts = {}
        for at in spent:
            counts[at] = counts.get(at, 0) + 1
        times = sorted(counts)
        for first, start in enumerate(times):
            lowered = self.all_configured_at is not None and start >= (
                self.all_configured_at + RIGHT_VALIDITY_S + STEP_S
            )
            rate, total = NEW if lowered else OLD, 0
            for at in times[first:]:
                total += counts[at]
                bound = self.max_operations(rate, at - start)
                if total > bound + 1e-6:
                    return start, at - start, total
        return None

    def max_operations(self, rate, window_s):
        """Returns the bound of a window: a tight one if shares are never raised."""
        if self.policy.loss == FixedShares():
            return rate.max_operations(window_s)
        if window_s > rate.window.length_s:
            return float("inf")
        return rate.window.allowed(rate.per_s, rate.burst)
