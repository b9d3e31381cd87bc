"""Time as a service that other packages subscribe to."""

from heatherpier.timers._service import LoopTimers, Timers
from heatherpier.timers._virtual import VirtualTimeLoop

__all__ = ["LoopTimers", "Timers", "VirtualTimeLoop"]
