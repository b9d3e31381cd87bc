"""Clocks and timers, over a real or a virtual event loop."""

from heatherpier.timers._service import LoopTimers, Timers
from heatherpier.timers._virtual import VirtualTimeLoop

__all__ = ["LoopTimers", "Timers", "VirtualTimeLoop"]
