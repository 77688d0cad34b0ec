"""Messages of each protocol. Fields are encoded under the names that the protocol defines."""
