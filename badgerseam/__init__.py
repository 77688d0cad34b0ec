"""badgerseam: a preemption-aware cluster scheduler after the GFS paper."""

__version__ = "0.1.0"
