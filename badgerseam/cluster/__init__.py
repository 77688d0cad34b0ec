"""The controllers among each other: leases, claims, leadership, takeovers, partitions."""
