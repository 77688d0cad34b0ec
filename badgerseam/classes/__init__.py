"""Priority classes: which work goes ahead within a rank, the same on every controller."""
