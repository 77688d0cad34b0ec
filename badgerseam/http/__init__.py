"""An HTTP server and a client with a connection pool, both built on tornado."""
