"""Reckoning runs: the states of their members lie in shared state, for the next owner."""
