"""Virtual time, as the stand-ins offer it."""

from standins.virtual_time import ManualClock, VirtualTimeLoop, run_virtual

__all__ = ["ManualClock", "VirtualTimeLoop", "run_virtual"]
