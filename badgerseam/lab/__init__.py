"""A whole site on one host: simulated users, machines and services around real controllers.

The simulations are written from the users' protocol. They simulate machines, so figures measured
here say nothing about real ones. Their logic is in cores without I/O (`state`, `cloud`, `worker`)
that are driven by an injected clock; the tests use the same cores.
"""
