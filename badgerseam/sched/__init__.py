"""Planning: the preemptive task scheduler (PTS) of the GFS paper as pure functions, and the planner
that runs it and applies its plans."""
