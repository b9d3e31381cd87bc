"""Faults of a configuration."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from heatherpier.config_check._draft import AgeLimit, Draft, RouteEntry
from heatherpier.routing import Organisation

MS_PER_S = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """One fault.

    Attributes:
        code: Stable name of the kind of fault, for programs.
        place: Entry that has the fault.
        text: A sentence for people; it contains no key.
    """

    code: str
    place: str
    text: str


def find_faults(draft: Draft, *, current: Draft | None = None) -> list[Finding]:
    """Returns the faults of a configuration, in the order of its parts.

    Args:
        draft: The configuration.
        current: The configuration in force, or None if it is not known.
    """
    return [
        *_check_version(draft, current),
        *_check_names(draft),
        *_check_routes(draft),
        *_check_services(draft),
        *_check_organisations(draft),
        *_check_keys(draft),
    ]


def _check_version(draft: Draft, current: Draft | None) -> Iterator[Finding]:
    if current is None or draft.version is None or current.version is None:
        return
    if draft.version <= current.version:
        yield Finding(
            code="version-not-newer",
            place="version",
            text=f"Version {draft.version} never applies, since version "
            f"{current.version} is in force.",
        )


def _check_names(draft: Draft) -> Iterator[Finding]:
    organisations = draft.organisations or ()
    for kind, names in (
        ("database", [item.database for item in draft.routes]),
        ("service", [item.name for item in draft.services]),
        ("organisation", [item.name for item in organisations]),
    ):
        for name, count in Counter(names).items():
            if count > 1:
                yield Finding(
                    code=f"duplicate-{kind}",
                    place=f"{kind} {name}",
                    text=f"{count} entries have the {kind} {name!r}.",
                )


def _check_routes(draft: Draft) -> Iterator[Finding]:
    services = {item.name for item in draft.services}
    last = {item.database: number for number, item in enumerate(draft.routes, 1)}
    for number, route in enumerate(draft.routes, 1):
        place = f"route {route.database} (entry {number})"
        if last[route.database] > number:
            yield Finding(
                code="replaced-route",
                place=place,
                text=f"It never applies: entry {last[route.database]} has the same "
                "database and replaces it.",
            )
        if route.service not in services:
            yield Finding(
                code="unknown-service",
                place=place,
                text=f"The service {route.service!r} is not in the configuration.",
            )
        yield from _check_times(route, place)
        yield from _check_age(route, place)


def _check_times(route: RouteEntry, place: str) -> Iterator[Finding]:
    timeout_ms = _ms(route.statement_timeout_s)
    if route.statement_timeout_s <= 0:
        yield Finding(
            code="timeout-not-positive",
            place=place,
            text=f"No statement can end within its timeout of {timeout_ms} ms.",
        )
    elif (
        route.objective_s is not None and route.statement_timeout_s < route.objective_s
    ):
        yield Finding(
            code="timeout-below-objective",
            place=place,
            text=f"The statement timeout of {timeout_ms} ms ends statements before the "
            f"latency objective of {_ms(route.objective_s)} ms.",
        )


def _check_age(route: RouteEntry, place: str) -> Iterator[Finding]:
    match route.age_limit:
        case AgeLimit.UNUSED if route.max_age_s:
            yield Finding(
                code="unused-age-limit",
                place=place,
                text=f"Reads with {route.consistency} don't use the maximum age of "
                f"{_ms(route.max_age_s)} ms.",
            )
        case AgeLimit.REQUIRED if not route.max_age_s or route.max_age_s < 0:
            yield Finding(
                code="missing-age-limit",
                place=place,
                text=f"Reads with {route.consistency} need a maximum age above 0 ms.",
            )


def _check_services(draft: Draft) -> Iterator[Finding]:
    used = {item.service for item in draft.routes}
    for service in draft.services:
        place = f"service {service.name}"
        if service.name not in used:
            yield Finding(
                code="unused-service", place=place, text="No route leads to it."
            )
        if service.promised > service.accepted:
            yield Finding(
                code="too-few-connections",
                place=place,
                text=f"{service.promised} connections are promised, but an instance "
                f"accepts {service.accepted}.",
            )


def _check_organisations(draft: Draft) -> Iterator[Finding]:
    with_keys = {item.organisation for item in draft.keys}
    for organisation in draft.organisations or ():
        place = f"organisation {organisation.name}"
        if organisation.name not in with_keys:
            yield Finding(
                code="organisation-without-keys",
                place=place,
                text="It has no key, so no caller belongs to it.",
            )
        yield from _check_rate(organisation, place)


def _check_rate(organisation: Organisation, place: str) -> Iterator[Finding]:
    if organisation.rate_per_s is None:
        return
    if organisation.rate_per_s <= 0:
        yield Finding(
            code="rate-not-positive",
            place=place,
            text=f"A rate of {organisation.rate_per_s:g} operations a second permits "
            "none.",
        )
    if organisation.burst < 1:
        yield Finding(
            code="burst-below-one",
            place=place,
            text=f"A burst of {organisation.burst:g} is less than one operation.",
        )


def _check_keys(draft: Draft) -> Iterator[Finding]:
    holders: dict[str, list[str]] = {}
    for entry in draft.keys:
        holders.setdefault(entry.key, []).append(entry.organisation)
    shared: Counter[tuple[str, ...]] = Counter(
        tuple(dict.fromkeys(names)) for names in holders.values() if len(set(names)) > 1
    )
    for names, count in shared.items():
        yield Finding(
            code="shared-key",
            place=f"organisation {names[-1]}",
            text=f"{_keys(count)} also listed by {_list(names[:-1])}; callers with "
            f"{'it' if count == 1 else 'them'} belong to {names[-1]!r}.",
        )


def _keys(count: int) -> str:
    return "1 key is" if count == 1 else f"{count} keys are"


def _list(names: Iterable[str]) -> str:
    return ", ".join(repr(name) for name in names)


def _ms(seconds: float) -> str:
    return f"{seconds * MS_PER_S:g}"
