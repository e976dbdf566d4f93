"""Virtual time of the stand-ins, for tests."""

from standins.virtual_time import ManualClock, VirtualTimeLoop, run_virtual

__all__ = ["ManualClock", "VirtualTimeLoop", "run_virtual"]
