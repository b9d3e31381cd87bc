"""A deployment with organisations, seen from a proxy that is no home of the primary."""

from collections import Counter

from heatherpier.bench import SimulatedDeployment, ask
from heatherpier.routing import CallerLimits, Organisation

KEY = "key-of-the-club"
IDLE_LIMIT_S = 2.0


class Clubs(SimulatedDeployment):
    """A deployment whose callers belong to one organisation."""

    async def __aenter__(self):
        await super().__aenter__()
        self.configure(
            self.routes(),
            organisations=(Organisation(name="club"),),
            keys={KEY: "club"},
            limits=CallerLimits(transaction_idle_s=IDLE_LIMIT_S),
        )
        await self.timers.sleep(2.0)
        self.opened_before = {name: self.opened(name) for name in self.engines}
        return self

    def opened(self, name):
        pools = self.engines[name].context.pools.all()
        return Counter({pool.instance.name: pool.opened for pool in pools})

    @property
    def primary(self):
        return self.groups["claims"].primary()

    @property
    def sender(self):
        """A proxy in another data centre than the first primary."""
        return self.engines["proxy-1"]

    def homes(self):
        """Returns the names of the primary's homes, in the sender's order."""
        directory = self.sender.forwarding.directory
        order = directory._order(self.primary.record, "club")
        return [item.peer.name for item in order]

    def session(self, kind="exact"):
        return self.open(f"claims-{kind}", proxy="proxy-1", key=KEY)

    async def write(self):
        """Returns the outcome of a write through the sender."""
        return (await ask(self.session(), "WRITE a")).outcome

    def server(self, name):
        return self.engines[name].forwarding._server

    def direct_connections(self, name="proxy-1"):
        """Returns how many connections a proxy has opened itself, by instance."""
        return self.opened(name) - self.opened_before[name]

    def ran(self, text):
        return [item for item in self.primary.executed if item.text == text]
