"""Jobs, tasks and machines on dense indices."""
