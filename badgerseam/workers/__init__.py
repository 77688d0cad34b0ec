"""Reports, commands and fencing."""
