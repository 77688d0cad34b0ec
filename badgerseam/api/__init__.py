"""The HTTP API for users, operators, workers and health checks."""
