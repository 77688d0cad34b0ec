"""The warm standby: who replaces a controller that has ended, and what is checked first."""
