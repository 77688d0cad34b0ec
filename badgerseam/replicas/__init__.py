"""Replicas that span machines: formed, repaired, moved and stopped as one."""
