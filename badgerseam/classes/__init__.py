"""Priority classes: the order of jobs within a rank, which is the same on every controller."""
