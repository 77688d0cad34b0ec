"""Messages of each protocol.

Fields are encoded under the names of the protocol, which may differ from those in the code.
"""
