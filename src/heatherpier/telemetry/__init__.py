"""Structured logs, metrics and the admin endpoint."""

from heatherpier.telemetry._admin import AdminServer
from heatherpier.telemetry._context import bind_log_fields
from heatherpier.telemetry._logs import JsonHandler, get_logger
from heatherpier.telemetry._metrics import Metrics
from heatherpier.telemetry._output import BoundedOutput, LogRateLimiter

__all__ = [
    "AdminServer",
    "BoundedOutput",
    "JsonHandler",
    "LogRateLimiter",
    "Metrics",
    "bind_log_fields",
    "get_logger",
]
