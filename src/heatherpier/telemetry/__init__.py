"""Structured logs, metrics and the admin endpoint."""

from heatherpier.telemetry._admin import AdminServer
from heatherpier.telemetry._logs import JsonHandler, get_logger

__all__ = ["AdminServer", "JsonHandler", "get_logger"]
