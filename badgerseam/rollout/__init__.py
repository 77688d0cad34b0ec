"""Rollouts: level changes, handover, record migration, and rolling updates."""
