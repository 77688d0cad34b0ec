"""Rollouts: the site's level, handover, migration of records, and rolling updates."""
