"""Worker heartbeats and leases, commands, and the fencing of commands in flight."""
