"""Coordination between controllers: leases, claims, leadership, takeovers and partitions."""
