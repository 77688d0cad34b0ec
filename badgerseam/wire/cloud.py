"""The cloud's protocol: machine types, rental requests, lists of machines.

If the protocol uses a different name for a field, the field's docstring gives that name.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct, field


class MachineType(
    Struct,
    frozen=True,
    rename={
        "name": "sku",
        "gpus": "accelerators",
        "memory_gb": "memGb",
        "cache_gb": "localGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "spot_price": "spotPrice",
        "boot_s": "bootS",
        "zones": "setts",
    },
):
    """A type of machine that can be rented."""

    name: str
    """`sku`"""
    cpus: float
    memory_gb: float
    """`memGb`"""
    price: float
    """Price of an ordinary machine."""
    zones: list[str]
    """`setts`: the zones that offer it."""
    gpus: float = 0.0
    """`accelerators`"""
    spot_price: float = 0.0
    """`spotPrice`: price of a spot instance."""
    boot_s: float = 30.0
    """`bootS`: usual time in seconds from the rental until the worker is up."""
    cache_gb: float = 0.0
    """`localGb`: local disk space for images."""
    fetch_gb_per_s: float = 1.0
    """`fetchGbPerS`: rate at which images are fetched."""


class Types(Struct, frozen=True, rename={"types": "breeds"}):
    """All machine types of the cloud."""

    types: list[MachineType]
    """`breeds`"""


class RentalRequest(
    Struct,
    frozen=True,
    rename={
        "request": "hire",
        "type": "breed",
        "zone": "sett",
        "spot": "loaned",
        "count": "howMany",
    },
):
    """A request for machines."""

    request: str
    """`hire`: the unique name of the request, which makes it idempotent."""
    type: str
    """`breed`"""
    zone: str
    """`sett`"""
    spot: bool
    """`loaned`"""
    count: int
    """`howMany`: how many machines."""


class MachineNames(Struct, frozen=True, rename={"machines": "hosts"}):
    """Names of machines."""

    machines: list[str]
    """`hosts`"""


class ListedMachine(
    Struct,
    frozen=True,
    rename={
        "addr": "address",
        "type": "breed",
        "zone": "sett",
        "spot": "loaned",
        "state": "phase",
        "age_s": "ageS",
    },
):
    """A rented machine in the cloud's list."""

    id: str
    """The name of the machine."""
    addr: str
    """`address`: the address at which its worker accepts direct commands."""
    type: str
    """`breed`"""
    zone: str
    """`sett`"""
    spot: bool
    """`loaned`"""
    state: str
    """`phase`"""
    age_s: float = 0.0
    """`ageS`: seconds since it was rented."""


class MachinePage(Struct, frozen=True, rename={"machines": "hosts"}):
    """A part of the cloud's list of machines."""

    machines: list[ListedMachine] = field(default_factory=list)
    """`hosts`"""
    more: bool = False
    """Whether more machines follow."""


types_decoder: msgspec.json.Decoder[Types] = msgspec.json.Decoder(Types)
names_decoder: msgspec.json.Decoder[MachineNames] = msgspec.json.Decoder(MachineNames)
page_decoder: msgspec.json.Decoder[MachinePage] = msgspec.json.Decoder(MachinePage)
encode = msgspec.json.Encoder().encode
