"""Checks a configuration before it takes effect and compares it with another one."""

from heatherpier.config_check._changes import Change, find_changes
from heatherpier.config_check._draft import (
    AgeLimit,
    Draft,
    KeyEntry,
    RouteEntry,
    ServiceEntry,
)
from heatherpier.config_check._findings import Finding, find_faults
from heatherpier.config_check._report import report_json, report_lines

__all__ = [
    "AgeLimit",
    "Change",
    "Draft",
    "Finding",
    "KeyEntry",
    "RouteEntry",
    "ServiceEntry",
    "find_changes",
    "find_faults",
    "report_json",
    "report_lines",
]
