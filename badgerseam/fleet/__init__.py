"""Renting, releasing and moving machines."""
