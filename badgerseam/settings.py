"""The settings file that the platform provides."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

from badgerseam.errors import BadgerseamError

Positive = Annotated[float, Meta(gt=0)]
Amount = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Address = Annotated[str, Meta(pattern=r"^[^:\s]+:[0-9]{1,5}$")]
Name = Annotated[str, Meta(min_length=1)]


class SettingsError(BadgerseamError):
    """The settings or options are invalid; the message names the field."""


class Sibling(Struct, frozen=True):
    """The address and zone of another controller of the site (a peer)."""

    node: Name
    zone: str
    peer_addr: Address


class ExternalServices(Struct, frozen=True):
    """The addresses of the services outside the site."""

    cloud: Address
    state: Address


class Team(Struct, frozen=True):
    """A team's quota: guaranteed resources and usage limits (`_max`; see `limits` for 0)."""

    name: Name
    cpus: Amount
    cpus_max: Amount
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0

    @property
    def limits(self) -> tuple[float, float]:
        """The limits on the CPUs and GPUs that the team's tasks use together.

        If only one limit is 0, the team may use none of that resource. If both are 0, the team has
        no limit; otherwise all jobs of a guest team without a guarantee would be rejected.
        """
        if self.cpus_max or self.gpus_max:
            return self.cpus_max, self.gpus_max
        return float("inf"), float("inf")


class Objective(Struct, frozen=True, rename={"required_fraction": "share"}):
    """A service-level objective of the site."""

    kind: str
    job_class: str | None = field(default=None, name="class")
    required_fraction: float | None = None
    """Fraction of the cases that must meet the objective; `share` in the settings file."""
    within_s: float | None = None
    times: float | None = None


class WorkerParams(Struct, frozen=True):
    """Timing of the worker protocol, in seconds."""

    report_s: Positive
    """Seconds between heartbeats of a worker."""
    lease_s: Positive
    """Seconds that a worker keeps its tasks running without a response to its heartbeats."""
    cancel_s: Positive
    """Seconds within which the tasks of a cancelled job must end."""


class NextStateParams(Struct, frozen=True):
    """Limits that the state service will have from some moment on, without notice. A limit that is
    omitted stays as it is."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class StateParams(Struct, frozen=True):
    """Limits of the state service."""

    rps: Positive
    """Requests per second of all controllers together."""
    write_rps: Positive
    """Writes per second of all controllers together."""
    value_kb: Positive
    """Maximum size of a value, in KB."""
    txn_ops: Count
    """Maximum number of operations in a transaction."""
    next: NextStateParams | None = None
    """The limits that replace these ones at some later moment; None if they stay."""

    @property
    def lowest(self) -> StateParams:
        """The limits that hold both now and later: the lower of each limit and its successor."""
        later = self.next
        if later is None:
            return self
        return StateParams(
            min(self.rps, later.rps or self.rps),
            min(self.write_rps, later.write_rps or self.write_rps),
            min(self.value_kb, later.value_kb or self.value_kb),
            min(self.txn_ops, later.txn_ops or self.txn_ops),
        )


class CloudParams(Struct, frozen=True):
    """Limits of the cloud's API."""

    rps: Positive
    """Requests per second."""
    list_lag_s: Amount
    """Seconds by which its list of machines may be out of date."""


class MachineLimits(Struct, frozen=True):
    """Limits of the machine that the controller runs on."""

    sockets: Count = 1024


class Params(Struct, frozen=True):
    """The parameters of the site."""

    initial_size: Count
    teams: list[Team]
    workers: WorkerParams
    state: StateParams
    cloud: CloudParams
    zones: list[str] = field(default_factory=list)
    objectives: list[Objective] = field(default_factory=list)
    time_bound_ms: Amount = 0.0
    machine_limits: MachineLimits = field(default_factory=MachineLimits)


class Settings(Struct, frozen=True):
    """The settings file that the platform provides for one controller."""

    node: Name
    zone: str
    api_addr: Address
    cluster_listen: Address
    outside: ExternalServices
    params: Params
    siblings: list[Sibling] = field(default_factory=list)


def load_settings(path: str) -> Settings:
    """Reads and validates the settings file."""
    try:
        settings = msgspec.toml.decode(Path(path).read_bytes(), type=Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8: {error.reason}") from error
    names = [team.name for team in settings.params.teams]
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: params.teams: team names must be unique")
    workers = settings.params.workers
    if workers.cancel_s <= workers.lease_s + 2 * workers.report_s:
        raise SettingsError(f"{path}: params.workers.cancel_s: must exceed lease_s + 2 * report_s")
    return settings
