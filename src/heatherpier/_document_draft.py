"""Draft of a configuration document."""

from heatherpier.config_check import AgeLimit, Draft, RouteEntry, ServiceEntry
from heatherpier.pooling import CONTROL_CONNECTIONS
from heatherpier.settings import Document, GroupModel, ServiceModel

MS_PER_S = 1000


def draft_of_document(document: Document) -> Draft:
    """Returns the draft of a valid document; each of its groups is a service."""
    groups = [
        (service, group) for service in document.services for group in service.groups
    ]
    return Draft(
        routes=tuple(_route(service, group) for service, group in groups),
        services=tuple(_service(service, group) for service, group in groups),
        settings={
            **{
                f"user {user.name}": {"service": service.name}
                for service in document.services
                for user in service.users
            },
            **{
                f"instance {item.name}": {
                    "group": group.name,
                    "address": f"{item.host}:{item.port}",
                    "data centre": item.data_centre,
                    "leaving": "yes" if item.leaving else "no",
                }
                for _, group in groups
                for item in group.instances
            },
        },
    )


def _route(service: ServiceModel, group: GroupModel) -> RouteEntry:
    max_age_ms = service.max_age_ms
    return RouteEntry(
        database=group.database,
        service=group.name,
        consistency="own writes" if max_age_ms is None else "bounded staleness",
        age_limit=AgeLimit.OPTIONAL,
        max_age_s=None if max_age_ms is None else max_age_ms / MS_PER_S,
        statement_timeout_s=service.deadline_ms / MS_PER_S,
    )


def _service(service: ServiceModel, group: GroupModel) -> ServiceEntry:
    return ServiceEntry(
        name=group.name,
        accepted=service.connections,
        # Each slot takes a connection; some are kept free for control statements.
        promised=service.slots + CONTROL_CONNECTIONS,
        settings={
            "slots": str(service.slots),
            "transaction idle limit": f"{service.transaction_idle_ms} ms",
        },
    )
