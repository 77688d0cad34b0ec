"""PTS, the paper's preemptive task scheduler, as pure functions."""
