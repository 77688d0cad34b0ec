"""Levels of the stored state: which there are, and which of them a program reads and writes."""
