"""A whole site on one machine: stand-ins for what badgerseam serves, around real controllers.

The stand-ins are written from the users' protocol and simulate machines; no figure taken here says
anything about real ones. Rules live in cores without I/O (`state`, `cloud`, `worker`), driven by an
injected clock; the tests use the same cores.
"""
