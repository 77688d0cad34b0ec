"""The warm standby: it detects that a controller has ended, and prepares its replacement."""
