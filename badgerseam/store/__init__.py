"""The state service: its client, the replica that follows it, and the only writer."""
