"""Renting, returning and moving machines."""
