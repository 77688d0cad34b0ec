"""Site files of the lab (JSON), and the controllers' settings made from them."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import tomli_w
from msgspec import Meta, Struct, field

from badgerseam.settings import (
    CloudParams,
    ExternalServices,
    MachineLimits,
    Objective,
    Params,
    Settings,
    SettingsError,
    Sibling,
    StateParams,
    Team,
    WorkerParams,
)
from badgerseam.wire.cloud import MachineType

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
Name = Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]{0,30}$")]


class JobClass(Struct, frozen=True, forbid_unknown_fields=True):
    """A class of jobs that the simulated users submit. Times are in seconds."""

    name: Name
    teams: Annotated[list[Name], Meta(min_length=1)]
    shape: Literal["sweep", "standing"] = "sweep"
    rank: Literal["production", "high", "standard", "best_effort"] = "standard"
    per_minute: Annotated[float, Meta(ge=0, description="jobs per minute, a Poisson process")] = 6.0
    at_start: Annotated[int, Meta(ge=0)] = 0
    tasks: Annotated[list[int], Meta(min_length=2, max_length=2)] = field(
        default_factory=lambda: [1, 6]
    )
    cpus: Positive = 2.0
    memory_gb: Positive = 4.0
    gpus: Annotated[float, Meta(ge=0, description="accelerators of each task")] = 0.0
    replica: Annotated[
        int, Meta(ge=1, description="tasks that make one replica; `tasks` counts replicas")
    ] = 1
    image: str = "img-1"
    image_gb: Annotated[float, Meta(ge=0)] = 0.4
    images: Annotated[
        int, Meta(ge=1, description="number of such images, e.g. the weights of several models")
    ] = 1
    image_gb_most: Annotated[
        float | None, Meta(description="size of the largest of `images`; the first has image_gb")
    ] = None
    run_s: Annotated[float, Meta(gt=0, description="mean of a lognormal run time")] = 8.0
    guess_error: Annotated[
        float, Meta(ge=0, le=2, description="sigma of the lognormal error of users' estimates")
    ] = 0.3
    checkpoint_s: Annotated[float, Meta(ge=0)] = 0.0
    save_s: Annotated[float, Meta(ge=0)] = 0.0
    due_times: (
        Annotated[float, Meta(gt=0, description="deadline, as a multiple of the estimate")] | None
    ) = None
    spot: bool = True
    scatter: bool = False
    one_zone: bool = False
    zone: str | None = None
    types: list[str] | None = None
    cancelled: Annotated[Fraction, Meta(description="fraction of the jobs that are cancelled")] = (
        0.0
    )
    broken: Annotated[
        Fraction, Meta(description="fraction of the jobs that fail on every machine")
    ] = 0.0
    batch: Annotated[
        Fraction, Meta(description="fraction submitted as batch jobs, with numbers and terms")
    ] = 0.0
    life_s: (
        Annotated[float, Meta(gt=0, description="services: seconds until they are cancelled")]
        | None
    ) = None


class SiteSpec(Struct, frozen=True, forbid_unknown_fields=True, rename={"shards": "shares"}):
    """The description of a site that a lab simulates."""

    zones: Annotated[list[Name], Meta(min_length=1)] = field(default_factory=lambda: ["a", "b"])
    controllers: Annotated[int, Meta(ge=1, le=9)] = 3
    shards: Annotated[int, Meta(ge=1)] = 3
    teams: Annotated[list[Team], Meta(min_length=1)] = field(
        default_factory=lambda: [Team("blue", 16, 48), Team("red", 16, 48)]
    )
    types: Annotated[list[MachineType], Meta(min_length=1)] = field(
        default_factory=lambda: [
            MachineType("c8", 8, 32, 0.4, ["a", "b"], 0, 0.12, 3.0, 8.0, 0.8),
        ]
    )
    capacity: Annotated[
        int, Meta(ge=0, description="machines of each type, zone and kind (spot or not)")
    ] = 8
    never_up: Fraction = 0.0
    workers: WorkerParams = WorkerParams(1.0, 8.0, 30.0)
    state: StateParams = StateParams(300.0, 100.0, 16.0, 48)
    cloud: CloudParams = CloudParams(8.0, 2.0)
    sockets: Annotated[int, Meta(ge=32)] = 1024
    objectives: list[Objective] = field(default_factory=list)
    classes: list[JobClass] = field(
        default_factory=lambda: [
            JobClass("report", ["blue", "red"], checkpoint_s=4.0, due_times=6.0, cancelled=0.05),
            JobClass("sign", ["red"], rank="high", per_minute=6.0, run_s=3.0, image="img-2"),
            JobClass(
                "portal",
                ["blue"],
                "standing",
                "production",
                0.5,
                1,
                [1, 2],
                image="img-3",
                scatter=True,
                life_s=60.0,
                spot=False,
            ),
        ]
    )


def load_site(path: str | None) -> SiteSpec:
    """Reads and checks a site file; returns a small default site if `path` is None."""
    if path is None:
        return SiteSpec()
    try:
        site: SiteSpec = msgspec.json.decode(Path(path).read_bytes(), type=SiteSpec)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    check_site(site, path)
    return site


def check_site(site: SiteSpec, path: str) -> None:
    """Raises SettingsError, with the field, if parts of a site are inconsistent."""
    names = {team.name for team in site.teams}
    types = {entry.name for entry in site.types}
    for number, entry in enumerate(site.types):
        unknown = sorted(set(entry.zones) - set(site.zones))
        if unknown:
            raise SettingsError(
                f"{path}: types[{number}].setts: {', '.join(unknown)}: not in zones"
            )
    for number, job_class in enumerate(site.classes):
        where = f"{path}: classes[{number}]"
        for field_name, given, known in (
            ("teams", set(job_class.teams), names),
            ("types", set(job_class.types or ()), types),
            ("zone", {job_class.zone} - {None}, set(site.zones)),
        ):
            if given - known:
                listed = ", ".join(sorted(map(str, given - known)))
                raise SettingsError(f"{where}.{field_name}: {listed}: not defined in the site")
        most = job_class.image_gb_most
        if most is not None and (job_class.images == 1 or most < job_class.image_gb):
            raise SettingsError(
                f"{where}.image_gb_most: requires images >= 2, and must be at least image_gb"
            )
        low, high = job_class.tasks
        if not 1 <= low <= high <= 100_000 // job_class.replica:
            raise SettingsError(
                f"{where}.tasks: two numbers from 1 to 100000 (times `replica`), the lower first"
            )
    if site.workers.cancel_s <= site.workers.lease_s + 2 * site.workers.report_s + 4:
        raise SettingsError(f"{path}: workers.cancel_s: must be well above lease_s")


def site_schema() -> dict[str, Any]:
    """Returns the JSON Schema of a site file."""
    return msgspec.json.schema(SiteSpec)


class Ports(Struct, frozen=True):
    """The loopback ports of a controller, and those through which it reaches services and peers."""

    api: int
    peer: int
    state: int
    cloud: int
    relays: dict[str, int]
    """By sibling: the port of the relay to its peer address."""


def controller_settings(site: SiteSpec, ports: dict[str, Ports], node: str) -> Settings:
    """Returns the settings that a platform would give to a controller."""
    own = ports[node]
    zone_of = {name: site.zones[i % len(site.zones)] for i, name in enumerate(sorted(ports))}
    return Settings(
        node,
        zone_of[node],
        f"127.0.0.1:{own.api}",
        f"127.0.0.1:{own.peer}",
        ExternalServices(f"127.0.0.1:{own.cloud}", f"127.0.0.1:{own.state}"),
        Params(
            site.shards,
            list(site.teams),
            site.workers,
            site.state,
            site.cloud,
            list(site.zones),
            list(site.objectives),
            1.0,
            MachineLimits(site.sockets),
        ),
        [
            Sibling(name, zone_of[name], f"127.0.0.1:{port}")
            for name, port in sorted(own.relays.items())
        ],
    )


def write_settings(settings: Settings, path: Path) -> None:
    """Writes a settings file (TOML) as the platform does."""
    plain = _without_none(msgspec.to_builtins(settings))
    path.write_text(tomli_w.dumps(plain))


def _without_none(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _without_none(item) for key, item in value.items() if item is not None}
    if isinstance(value, list):
        return [_without_none(item) for item in value]
    return value
