"""Replicas that span machines: their members are placed, repaired, moved and stopped together."""
