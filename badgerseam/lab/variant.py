"""`./dev variant`: derive a variant of a bench deployment file.

A variant differs in restart delay, size, guarantees, limits, zones or spot capacity. Acceptance
tests use deployments other than the provided files. A variant is derived from such a file when it
is needed, and written outside the repository.
"""

from __future__ import annotations

import argparse
import math
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

from badgerseam.cli.exits import EXIT_OK, EXIT_USAGE, fail
from badgerseam.errors import BadgerseamError

ROOT = Path(__file__).resolve().parents[2]
MAX_RESTART_DELAY_S = 600.0
MAX_FACTOR = 4.0
UNITS = ("cpus", "gpus")

Site = dict[str, Any]


class VariantError(BadgerseamError):
    """The variant cannot be derived; the message names the field and the remedy."""


def _number(table: Site, name: str, where: str) -> float:
    value = table.get(name)
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise VariantError(f"{where}.{name}: must be a number; is this a deployment file?")
    return float(value)


def _list(site: Site, name: str) -> list[Site]:
    value = site.get(name, [])
    if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
        raise VariantError(f"{name}: must be a list of tables; is this a deployment file?")
    return value


def _scale(table: Site, name: str, factor: float, where: str) -> None:
    if name in table:
        value = _number(table, name, where)
        is_int = isinstance(table[name], int)
        table[name] = round(value * factor) if is_int else value * factor


def set_restart_delay(site: Site, seconds: float) -> None:
    """Sets the delay in seconds before a process that has ended is restarted."""
    if not 0 <= seconds <= MAX_RESTART_DELAY_S:
        raise VariantError(
            f"--restart: {seconds:g} is not between 0 and {MAX_RESTART_DELAY_S:g} seconds"
        )
    nodes = site.get("nodes")
    if not isinstance(nodes, dict):
        raise VariantError("nodes: missing; is this a deployment file?")
    _number(nodes, "restart_delay_s", "nodes")
    nodes["restart_delay_s"] = seconds


def scale_site(site: Site, factor: float) -> None:
    """Multiplies the machines, the teams' guarantees and limits, and the work by a factor."""
    if not 0 < factor <= MAX_FACTOR:
        raise VariantError(f"--times: {factor:g} is not greater than 0 and at most {MAX_FACTOR:g}")
    capacity = _list(site, "capacity")
    if not capacity:
        raise VariantError("capacity: missing; is this a deployment file?")
    for entry in capacity:
        _scale(entry, "count", factor, "capacity")
        _scale(entry, "spot", factor, "capacity")
    for entry in _list(site, "machines"):
        _scale(entry, "count", factor, "machines")
    for entry in _list(site, "teams"):
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            _scale(entry, name, factor, "teams")
    for jobs in (_list(site, "jobs"), *(_list(day, "jobs") for day in _list(site, "day"))):
        for entry in jobs:
            _scale(entry, "initial", factor, "jobs")
            arrivals = entry.get("arrivals")
            if isinstance(arrivals, dict):
                _scale(arrivals, "rate", factor, "jobs.arrivals")


def _classes(site: Site) -> list[Site]:
    """Returns the job classes, followed by the changes to them on certain days."""
    days = _list(site, "day")
    return [entry for table in (site, *days) for entry in _list(table, "jobs")]


def _max_tasks(job: Site) -> float:
    """Returns the largest number of tasks that a job of a class may have."""
    tasks = job.get("tasks")
    if isinstance(tasks, dict) and "max" in tasks:
        return _number(tasks, "max", "jobs.tasks")
    sizes = tasks.get("sizes") if isinstance(tasks, dict) else None
    if not isinstance(sizes, list) or not sizes:
        raise VariantError("jobs.tasks: has neither max nor sizes; specify one of them")
    return max(_number({"sizes": size}, "sizes", "jobs.tasks") for size in sizes)


def _min_limit(site: Site, unit: str) -> float:
    """Returns the lowest limit under which jobs of every class can still run.

    The tasks of an array can run one at a time. Any other job has to fit as a whole: the protocol
    rejects a job that exceeds its team's limit.
    """
    min_limit = 0.0
    inherited: dict[Any, Site] = {}
    for entry in _classes(site):
        # An entry of a day overrides some fields of the class with the same name.
        job = {**inherited.get(entry.get("name"), {}), **entry}
        inherited.setdefault(entry.get("name"), job)
        need = _number(job, unit, "jobs") if unit == "cpus" or unit in job else 0.0
        vary = _number(job, "vary", "jobs") if "vary" in job else 0.0
        if need < 0 or vary < 0:
            raise VariantError(f"jobs.{unit}, jobs.vary: negative; must be 0 or more")
        at_once = 1.0 if job.get("kind") == "array" else _max_tasks(job)
        min_limit = max(min_limit, math.ceil(need * (1.0 + vary)) * at_once)
    return min_limit


def _teams(site: Site) -> list[Site]:
    teams = _list(site, "teams")
    if not teams:
        raise VariantError("teams: missing; is this a deployment file?")
    return teams


def scale_guarantees(site: Site, factor: float) -> None:
    """Multiplies the guarantee of each team by a factor."""
    if not 0 <= factor <= MAX_FACTOR:
        raise VariantError(f"--guarantees: {factor:g} is not between 0 and {MAX_FACTOR:g}")
    for team in _teams(site):
        for unit in UNITS:
            _scale(team, unit, factor, "teams")


def scale_limits(site: Site, factor: float) -> None:
    """Multiplies the limit of each team that has one by a factor.

    A limit stays at or above the team's guarantee and the resources that a job of any class needs
    at once.
    """
    if not 0 < factor <= MAX_FACTOR:
        raise VariantError(f"--limits: {factor:g} is not greater than 0 and at most {MAX_FACTOR:g}")
    limited = 0
    for unit in UNITS:
        name = f"{unit}_max"
        min_limit = _min_limit(site, unit)
        for team in _teams(site):
            limit = _number(team, name, "teams") if name in team else 0.0
            if limit <= 0:
                # The limit 0 means none of this unit or, if both limits are 0, no limit at all.
                continue
            guarantee = _number(team, unit, "teams") if unit in team else 0.0
            changed = max(limit * factor, guarantee, min_limit)
            team[name] = math.ceil(changed) if isinstance(team[name], int) else changed
            limited += 1
    if not limited:
        raise VariantError("teams.cpus_max, teams.gpus_max: no team has a limit; set one of them")


def remove_spot_capacity(site: Site) -> None:
    """Removes all spot capacity."""
    for entry in _list(site, "capacity"):
        entry["spot"] = 0


def restrict_to_zones(site: Site, zones: list[str]) -> None:
    """Moves the machines of all other zones to the given ones. Controllers stay in their zones."""
    capacity = _list(site, "capacity")
    known = {entry.get("zone") for entry in capacity}
    for zone in zones:
        if zone not in known:
            raise VariantError(
                f"--zones: {zone} is not one of {', '.join(sorted(map(str, known)))}"
            )
    for name in ("capacity", "machines"):
        for position, entry in enumerate(_list(site, name)):
            if entry.get("zone") not in zones:
                entry["zone"] = zones[position % len(zones)]
    merged: dict[tuple[Any, ...], Site] = {}
    for entry in capacity:
        kept = merged.setdefault((entry.get("type"), entry["zone"]), entry)
        if kept is not entry:
            kept["count"] += entry.get("count", 0)
            kept["spot"] = kept.get("spot", 0) + entry.get("spot", 0)
    site["capacity"] = list(merged.values())


def write(source: Path, out: Path, site: Site, name: str) -> Path:
    """Writes the variant and the wire file that it refers to, and returns the variant's path."""
    folder = out.resolve()
    if folder == ROOT or ROOT in folder.parents:
        raise VariantError(f"{out}: is within the repository; specify a folder outside of it")
    wire = source.parent / str(site.get("wire", "wire.json"))
    try:
        wire_content = wire.read_bytes()
    except OSError as error:
        raise VariantError(
            f"wire: {wire}: {error.strerror}; it has to be in the folder of the deployment file"
        ) from error
    site["name"] = f"{site.get('name', source.stem)}-{name}"
    folder.mkdir(parents=True, exist_ok=True)
    (folder / wire.name).write_bytes(wire_content)
    path = folder / f"{site['name']}.toml"
    path.write_bytes(tomli_w.dumps(site).encode())
    return path


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command's arguments."""
    command_parser = argparse.ArgumentParser(prog="./dev variant", description=__doc__)
    command_parser.add_argument(
        "site", type=Path, help="a deployment file of the users' bench (TOML)"
    )
    command_parser.add_argument("out", type=Path, help="a folder outside the repository")
    command_parser.add_argument(
        "--restart", type=float, metavar="S", help="seconds until a restart"
    )
    command_parser.add_argument(
        "--times", type=float, metavar="F", help="factor of machines, work and teams"
    )
    command_parser.add_argument(
        "--guarantees", type=float, metavar="F", help="factor of each team's guarantee"
    )
    command_parser.add_argument(
        "--limits",
        type=float,
        metavar="F",
        help="factor of each team's limit, which stays at or above its guarantee and what a job "
        "needs at once",
    )
    command_parser.add_argument("--zones", help="comma-separated zones that have machines")
    command_parser.add_argument("--no-cheap", action="store_true", help="no spot machines")
    return command_parser


def main(arguments: list[str]) -> int:
    """Derives a variant, and prints where it was written."""
    options = parser().parse_args(arguments)
    try:
        site = tomllib.loads(options.site.read_text())
        changes = []
        if options.restart is not None:
            set_restart_delay(site, options.restart)
            changes.append(f"restart{options.restart:g}")
        if options.times is not None:
            scale_site(site, options.times)
            changes.append(f"times{options.times:g}")
        if options.guarantees is not None:
            scale_guarantees(site, options.guarantees)
            changes.append(f"guarantees{options.guarantees:g}")
        if options.limits is not None:
            scale_limits(site, options.limits)
            changes.append(f"limits{options.limits:g}")
        if options.zones is not None:
            zones = options.zones.split(",")
            restrict_to_zones(site, zones)
            changes.append("in-" + "-".join(zones))
        if options.no_cheap:
            remove_spot_capacity(site)
            changes.append("ordinary")
        if not changes:
            raise VariantError(
                "no change requested; specify "
                "--restart, --times, --guarantees, --limits, --zones or --no-cheap"
            )
        print(write(options.site, options.out, site, "-".join(changes)))
    except OSError as error:
        return fail(f"{error.filename or options.site}: {error.strerror}", EXIT_USAGE)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return fail(f"{options.site}: not TOML: {error}", EXIT_USAGE)
    except VariantError as error:
        return fail(f"{options.site}: {error}", EXIT_USAGE)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
