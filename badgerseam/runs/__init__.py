"""Reckoning runs: the states of their members are kept in the state service, so that a new owner
can continue a run."""
