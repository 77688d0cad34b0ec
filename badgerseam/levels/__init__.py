"""Levels (versions) of the stored state's format, and the levels that a program supports."""
