"""Structured logs for every slice."""

from heatherpier.telemetry._logs import JsonHandler, get_logger

__all__ = ["JsonHandler", "get_logger"]
