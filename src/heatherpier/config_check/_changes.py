"""The difference between two configurations, as a person reads it."""

from collections.abc import Mapping
from dataclasses import dataclass

from heatherpier.config_check._draft import Draft, RouteEntry, ServiceEntry
from heatherpier.routing import Organisation

MS_PER_S = 1000

Described = dict[str, Mapping[str, str]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One difference.

    Attributes:
        place: Entry that differs.
        text: What is different; keys are only counted.
    """

    place: str
    text: str


def find_changes(old: Draft, new: Draft) -> list[Change]:
    """Returns how a configuration differs from the one in force."""
    before, after = _describe(old), _describe(new)
    changes = []
    for place in [*before, *(place for place in after if place not in before)]:
        if place not in after:
            changes.append(Change(place=place, text="removed"))
        elif place not in before:
            changes.append(Change(place=place, text=_added_text(after[place])))
        else:
            changes.extend(_changed_fields(place, before[place], after[place]))
    return changes + _key_changes(old, new)


def _added_text(fields: Mapping[str, str]) -> str:
    described = ", ".join(f"{name} {value}" for name, value in fields.items())
    return f"added with {described}" if described else "added"


def _changed_fields(
    place: str, before: Mapping[str, str], after: Mapping[str, str]
) -> list[Change]:
    return [
        Change(
            place=place,
            text=f"{name} {after.get(name, 'none')}, was {before.get(name, 'none')}",
        )
        for name in [*before, *(name for name in after if name not in before)]
        if before.get(name) != after.get(name)
    ]


def _describe(draft: Draft) -> Described:
    """Returns the fields of all entries that apply, by place."""
    described: Described = {}
    if draft.version is not None:
        described["configuration"] = {"version": str(draft.version)}
    described["callers"] = {
        "keys": "not used" if draft.organisations is None else "required"
    }
    for route in draft.routes:
        described[f"route {route.database}"] = _route_fields(route)
    for service in draft.services:
        described[f"service {service.name}"] = _service_fields(service)
    for organisation in draft.organisations or ():
        described[f"organisation {organisation.name}"] = _organisation_fields(
            organisation
        )
    described.update(draft.settings)
    return described


def _route_fields(route: RouteEntry) -> dict[str, str]:
    return {
        "service": route.service,
        "consistency": route.consistency,
        "maximum age": _ms(route.max_age_s),
        "statement timeout": _ms(route.statement_timeout_s),
        "latency objective": _ms(route.objective_s),
        "priority": str(route.priority),
        "callers without key": "accepted" if route.open_to_all else "rejected",
    }


def _service_fields(service: ServiceEntry) -> dict[str, str]:
    return {"connections": str(service.accepted), **service.settings}


def _organisation_fields(organisation: Organisation) -> dict[str, str]:
    rate = organisation.rate_per_s
    return {
        "priority": str(organisation.priority),
        "rate": "unlimited" if rate is None else f"{rate:g} a second",
        "burst": f"{organisation.burst:g}",
    }


def _key_changes(old: Draft, new: Draft) -> list[Change]:
    before = {item.key: item.organisation for item in old.keys}
    after = {item.key: item.organisation for item in new.keys}
    names = dict.fromkeys([*before.values(), *after.values()])
    changes = []
    for name in names:
        held_before = {key for key, holder in before.items() if holder == name}
        held_after = {key for key, holder in after.items() if holder == name}
        gained, lost = held_after - held_before, held_before - held_after
        counts = {
            "added": len(gained - before.keys()),
            "moved here": len(gained & before.keys()),
            "moved away": len(lost & after.keys()),
            "removed": len(lost - after.keys()),
        }
        text = ", ".join(f"{count} {what}" for what, count in counts.items() if count)
        if text:
            place = f"organisation {name}"
            changes.append(
                Change(place=place, text=f"keys: {text}; it has {len(held_after)}")
            )
    return changes


def _ms(seconds: float | None) -> str:
    return "none" if seconds is None else f"{seconds * MS_PER_S:g} ms"
