"""Shares, claims, leadership and the other controllers."""
