"""What jobs used, and what became of their attempts: durable with the jobs' own final records."""
