"""The stored state: the client of the state service, the state watcher and the writers."""
