"""Sections of the operators' options that have their own types and checks."""
