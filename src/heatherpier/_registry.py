"""Keeps the active services and groups, and replaces them by a new document."""

import asyncio
from collections.abc import Callable

from heatherpier.groups import Group, GroupSpec, connection_share
from heatherpier.limits import Admission
from heatherpier.settings import Document, GroupModel, ServiceModel
from heatherpier.telemetry import get_logger
from heatherpier.timers import Timers
from heatherpier.upstreams import Connector, Instance

log = get_logger("proxy")
MS_PER_S = 1000
# Time beyond the longest deadline after which the tasks of a replaced group stop.
RETIRE_GRACE_S = 5.0


class ServiceRegistry:
    """Keeps one `Group` for each database group of the active document.

    Args:
        connector: Opens connections to instances.
        timers: Timer service.
        admission: Admission, which is given the slots of each instance.
        proxies: Count of proxies that share the connections of an instance.
        start: Starts the background tasks of a new group.

    Attributes:
        password_hashes: Password hash of each user of the active document.
        version: Version of the active document; 0 if it was read from a file.
    """

    def __init__(
        self,
        *,
        connector: Connector,
        timers: Timers,
        admission: Admission,
        proxies: int,
        start: Callable[[Group], None],
    ) -> None:
        self.password_hashes: dict[str, str] = {}
        self.version = 0
        self._connector = connector
        self._timers = timers
        self._admission = admission
        self._proxies = proxies
        self._start = start
        self._services: dict[str, ServiceModel] = {}
        self._services_by_user: dict[str, ServiceModel] = {}
        # Groups by service and database. Sessions keep references to the inner
        # mappings, so these are changed in place.
        self._groups: dict[str, dict[str, Group]] = {}
        self._retirements: set[asyncio.Task[None]] = set()

    def service_of(self, user: str) -> ServiceModel:
        """Returns the service that ``user`` belongs to."""
        return self._services_by_user[user]

    def groups_of(self, service: str) -> dict[str, Group]:
        """Returns a mapping of a service's groups by database, which stays current."""
        return self._groups.setdefault(service, {})

    def all_groups(self) -> list[Group]:
        """Returns all active groups."""
        return [g for groups in self._groups.values() for g in groups.values()]

    def max_deadline_s(self) -> float:
        """Returns the longest time that a statement of any service may take."""
        deadlines = [service.deadline_ms for service in self._services.values()]
        return max(deadlines, default=0) / MS_PER_S

    async def apply(self, document: Document, version: int) -> None:
        """Replaces the active document by a validated one.

        Groups whose specification is unchanged are kept. Statements that run on a
        replaced or removed group finish there within the grace period.

        Args:
            document: The new document.
            version: Version of the new document.
        """
        grace_s = self.max_deadline_s() + RETIRE_GRACE_S
        wanted = {service.name: service for service in document.services}
        for name in self._groups.keys() - wanted.keys():
            self._replace_groups(name, {}, grace_s=grace_s)
        for service in document.services:
            specs = {
                model.database: self._group_spec(service, model)
                for model in service.groups
            }
            self._replace_groups(service.name, specs, grace_s=grace_s)
            self._configure_limits(service)
        self._services = wanted
        self._replace_users(document)
        self.version = version

    def _replace_groups(
        self, service: str, specs: dict[str, GroupSpec], *, grace_s: float
    ) -> None:
        groups = self.groups_of(service)
        for database, group in list(groups.items()):
            if specs.get(database) != group.spec:
                del groups[database]
                self._retire(group, grace_s=grace_s)
        for database, spec in specs.items():
            if database not in groups:
                group = Group(spec, connector=self._connector, timers=self._timers)
                groups[database] = group
                self._start(group)

    def _configure_limits(self, service: ServiceModel) -> None:
        for model in service.groups:
            for item in model.instances:
                self._admission.configure(
                    item.name, slots=service.slots, proxies=self._proxies
                )

    def _replace_users(self, document: Document) -> None:
        self._services_by_user = {
            user.name: service
            for service in document.services
            for user in service.users
        }
        self.password_hashes.clear()
        self.password_hashes.update(
            {
                user.name: user.password_hash
                for service in document.services
                for user in service.users
            }
        )

    def _group_spec(self, service: ServiceModel, model: GroupModel) -> GroupSpec:
        return GroupSpec(
            name=model.name,
            service=service.name,
            database=model.database,
            instances=tuple(
                Instance(
                    name=item.name,
                    host=item.host,
                    port=item.port,
                    data_centre=item.data_centre,
                    leaving=item.leaving,
                )
                for item in model.instances
            ),
            connections=connection_share(
                accepted=service.connections,
                instances=len(model.instances),
                proxies=self._proxies,
            ),
        )

    def _retire(self, group: Group, *, grace_s: float) -> None:
        log.info("group retired", group=group.spec.name, grace_s=grace_s)
        for pool in group.pools.values():
            pool.close()
        task = asyncio.create_task(self._close_later(group, grace_s))
        self._retirements.add(task)
        task.add_done_callback(self._retirements.discard)

    async def _close_later(self, group: Group, grace_s: float) -> None:
        try:
            await self._timers.sleep(grace_s)
        finally:
            group.close()

    def close(self) -> None:
        """Closes all groups, including those that were replaced."""
        for task in self._retirements:
            task.cancel()
        for group in self.all_groups():
            group.close()
