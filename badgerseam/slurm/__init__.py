"""Slurm-style commands on the service's own jobs: the same core, the same rules.

What each option becomes, and what is refused and why, stands in docs/slurm.md.
"""
