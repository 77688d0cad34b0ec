"""Accounting: what jobs used and how their attempts ended, durable with the jobs' final records."""
