"""The HTTP server and the pooled client, both tornado's."""
