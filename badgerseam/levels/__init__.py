"""Levels of the stored state, and which of them a program supports."""
