"""Replicas that span machines: the members of a replica are placed, repaired, moved and stopped
together."""
