"""Accounting: the resources that jobs used and why their attempts ended, stored in the jobs' final
records."""
