"""Each finding on the configuration that has its fault."""

from dataclasses import replace

import pytest

from heatherpier.config_check import (
    AgeLimit,
    Draft,
    KeyEntry,
    RouteEntry,
    ServiceEntry,
    find_faults,
)
from heatherpier.routing import Organisation

ROUTE = RouteEntry(
    database="claims-aged",
    service="claims",
    consistency="bounded staleness",
    age_limit=AgeLimit.REQUIRED,
    max_age_s=1.5,
    statement_timeout_s=3.0,
    objective_s=1.0,
)
SERVICE = ServiceEntry(name="claims", accepted=75, promised=3)
NORTH = Organisation(name="north-club", rate_per_s=80.0, burst=20.0)
SOUTH = Organisation(name="south-club")
KEYS = (
    KeyEntry(key="key-n", organisation="north-club"),
    KeyEntry(key="key-s", organisation="south-club"),
)
CLEAN = Draft(
    version=7,
    routes=(ROUTE,),
    services=(SERVICE,),
    organisations=(NORTH, SOUTH),
    keys=KEYS,
)


def with_route(**changes):
    return replace(CLEAN, routes=(replace(ROUTE, **changes),))


FAULTS = {
    "duplicate-database": replace(CLEAN, routes=(ROUTE, ROUTE)),
    "replaced-route": replace(CLEAN, routes=(ROUTE, ROUTE)),
    "duplicate-service": replace(CLEAN, services=(SERVICE, SERVICE)),
    "duplicate-organisation": replace(CLEAN, organisations=(NORTH, SOUTH, SOUTH)),
    "unknown-service": with_route(service="claimz"),
    "unused-service": replace(
        CLEAN, services=(SERVICE, ServiceEntry(name="old", accepted=75, promised=3))
    ),
    "too-few-connections": replace(CLEAN, services=(replace(SERVICE, accepted=2),)),
    "timeout-not-positive": with_route(statement_timeout_s=0.0),
    "timeout-below-objective": with_route(statement_timeout_s=0.9),
    "unused-age-limit": with_route(age_limit=AgeLimit.UNUSED),
    "missing-age-limit": with_route(max_age_s=None),
    "organisation-without-keys": replace(CLEAN, keys=KEYS[:1]),
    "burst-below-one": replace(CLEAN, organisations=(replace(NORTH, burst=0.5), SOUTH)),
    "rate-not-positive": replace(
        CLEAN, organisations=(replace(NORTH, rate_per_s=0.0), SOUTH)
    ),
    "shared-key": replace(
        CLEAN, keys=(*KEYS, KeyEntry(key="key-n", organisation="south-club"))
    ),
}

# Findings that come with another one by necessity.
COMPANIONS = {
    "duplicate-database": "replaced-route",
    "replaced-route": "duplicate-database",
    "unknown-service": "unused-service",
}


def test_clean_configuration_has_no_findings():
    assert find_faults(CLEAN) == []


@pytest.mark.parametrize("code", FAULTS)
def test_fault_is_found(code):
    """Guards against a fault that passes the check unseen."""
    found = {item.code: item for item in find_faults(FAULTS[code])}
    assert set(found) == {code, COMPANIONS.get(code, code)}
    assert found[code].text.endswith(".")


def test_version_that_is_not_newer_is_found():
    """Guards against a version that proxies ignore."""
    assert not find_faults(CLEAN, current=replace(CLEAN, version=6))
    [finding] = find_faults(CLEAN, current=CLEAN)
    assert finding.code == "version-not-newer"


def test_replaced_route_names_the_entry_that_applies():
    routes = (ROUTE, replace(ROUTE, database="other"), ROUTE)
    findings = find_faults(replace(CLEAN, routes=routes))
    replaced = [item for item in findings if item.code == "replaced-route"]
    assert [item.place for item in replaced] == ["route claims-aged (entry 1)"]
    assert "entry 3" in replaced[0].text


@pytest.mark.parametrize("age_limit", [AgeLimit.OPTIONAL, AgeLimit.UNUSED])
def test_age_limit_that_is_not_needed_may_be_missing(age_limit):
    assert not find_faults(with_route(age_limit=age_limit, max_age_s=None))


def test_organisation_without_a_rate_needs_no_burst():
    assert SOUTH.burst < 1
    assert not find_faults(CLEAN)


def test_findings_show_no_key():
    """Guards against keys in the output of a tool."""
    assert "key-n" not in repr(find_faults(FAULTS["shared-key"]))
    assert "key-n" not in repr(CLEAN)
