"""Slurm-style commands for the service's jobs, which are scheduled by the same rules as all others.

docs/slurm.md describes what each option is translated to, and which options are refused and why.
"""
