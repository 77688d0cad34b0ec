"""Sections of the operators' settings that have records and rules of their own."""
