"""Reckoning runs: members' standing in shared state, so that whoever takes over goes on."""
