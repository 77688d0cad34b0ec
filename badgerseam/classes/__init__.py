"""Priority classes: the order of work within a rank, the same on every controller."""
