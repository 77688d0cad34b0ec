"""Warm standby: detects that a controller has ended, and prepares a peer to take over from it."""
