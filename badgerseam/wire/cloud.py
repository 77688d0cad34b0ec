"""The cloud's machine types, rentals and lists."""

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
    name: str
    cpus: float
    memory_gb: float
    price: float
    zones: list[str]
    gpus: float = 0.0
    spot_price: float = 0.0
    boot_s: float = 30.0
    cache_gb: float = 0.0
    fetch_gb_per_s: float = 1.0


class Types(Struct, frozen=True, rename={"types": "breeds"}):
    types: list[MachineType]


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
    request: str
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(Struct, frozen=True, rename={"machines": "hosts"}):
    machines: list[str]


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
    id: str
    addr: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float = 0.0


class MachinePage(Struct, frozen=True, rename={"machines": "hosts"}):
    machines: list[ListedMachine] = field(default_factory=list)
    more: bool = False


types_decoder: msgspec.json.Decoder[Types] = msgspec.json.Decoder(Types)
names_decoder: msgspec.json.Decoder[MachineNames] = msgspec.json.Decoder(MachineNames)
page_decoder: msgspec.json.Decoder[MachinePage] = msgspec.json.Decoder(MachinePage)
encode = msgspec.json.Encoder().encode
