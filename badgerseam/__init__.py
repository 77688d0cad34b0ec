"""badgerseam: a preemption-aware cluster scheduler based on the GFS paper."""

__version__ = "0.1.0"
