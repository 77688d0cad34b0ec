"""Heartbeats, commands and the fencing of commands in flight."""
