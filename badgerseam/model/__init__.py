"""In-memory model of the shared state: jobs, tasks and machines, addressed by dense indices."""
