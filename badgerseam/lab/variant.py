"""`./dev variant`: a bench deployment file with other restarts, sizes, limits or kinds.

Acceptance is played on deployments that the handed files do not show. A variant is derived from
such a file when it is needed and written outside the repository, never kept in it.
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
LONGEST_S = 600.0
LARGEST = 4.0
UNITS = ("cpus", "gpus")

Site = dict[str, Any]


class VariantError(BadgerseamError):
    """There can be no such variant: the message names the field and what to do."""


def _number(holder: Site, name: str, where: str) -> float:
    value = holder.get(name)
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise VariantError(f"{where}.{name}: a number is missing; is this a deployment's file?")
    return float(value)


def _list(site: Site, name: str) -> list[Site]:
    value = site.get(name, [])
    if not isinstance(value, list) or not all(isinstance(entry, dict) for entry in value):
        raise VariantError(f"{name}: has to be a list of tables; is this a deployment's file?")
    return value


def _times(holder: Site, name: str, factor: float, where: str) -> None:
    if name in holder:
        value = _number(holder, name, where)
        whole = isinstance(holder[name], int)
        holder[name] = round(value * factor) if whole else value * factor


def with_restarts(site: Site, seconds: float) -> None:
    """Processes that end are started again after so long."""
    if not 0 <= seconds <= LONGEST_S:
        raise VariantError(f"--restart: {seconds:g} is not within 0 and {LONGEST_S:g} seconds")
    nodes = site.get("nodes")
    if not isinstance(nodes, dict):
        raise VariantError("nodes: missing; is this a deployment's file?")
    _number(nodes, "restart_delay_s", "nodes")
    nodes["restart_delay_s"] = seconds


def larger(site: Site, factor: float) -> None:
    """So many times the machines, and the work and the teams that go with them."""
    if not 0 < factor <= LARGEST:
        raise VariantError(f"--times: {factor:g} is not above 0 and at most {LARGEST:g}")
    capacity = _list(site, "capacity")
    if not capacity:
        raise VariantError("capacity: missing; is this a deployment's file?")
    for entry in capacity:
        _times(entry, "count", factor, "capacity")
        _times(entry, "spot", factor, "capacity")
    for entry in _list(site, "machines"):
        _times(entry, "count", factor, "machines")
    for entry in _list(site, "teams"):
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            _times(entry, name, factor, "teams")
    for jobs in (_list(site, "jobs"), *(_list(day, "jobs") for day in _list(site, "day"))):
        for entry in jobs:
            _times(entry, "initial", factor, "jobs")
            arrivals = entry.get("arrivals")
            if isinstance(arrivals, dict):
                _times(arrivals, "rate", factor, "jobs.arrivals")


def _classes(site: Site) -> list[Site]:
    """The classes of jobs, and what days change of them."""
    days = _list(site, "day")
    return [entry for holder in (site, *days) for entry in _list(holder, "jobs")]


def _most_tasks(job: Site) -> float:
    """How many tasks a job of a class may have."""
    tasks = job.get("tasks")
    if isinstance(tasks, dict) and "max" in tasks:
        return _number(tasks, "max", "jobs.tasks")
    sizes = tasks.get("sizes") if isinstance(tasks, dict) else None
    if not isinstance(sizes, list) or not sizes:
        raise VariantError("jobs.tasks: neither max nor sizes; give either")
    return max(_number({"sizes": size}, "sizes", "jobs.tasks") for size in sizes)


def _least_limit(site: Site, unit: str) -> float:
    """The lowest limit under which every class can still run.

    An array runs task by task. Any other job has to fit whole: the protocol refuses one that is
    beyond its team's limit.
    """
    least = 0.0
    inherited: dict[Any, Site] = {}
    for entry in _classes(site):
        # A day's entry changes some fields of the class of that name.
        job = {**inherited.get(entry.get("name"), {}), **entry}
        inherited.setdefault(entry.get("name"), job)
        need = _number(job, unit, "jobs") if unit == "cpus" or unit in job else 0.0
        vary = _number(job, "vary", "jobs") if "vary" in job else 0.0
        if need < 0 or vary < 0:
            raise VariantError(f"jobs.{unit}, jobs.vary: below 0; give amounts of 0 or more")
        at_once = 1.0 if job.get("kind") == "array" else _most_tasks(job)
        least = max(least, math.ceil(need * (1.0 + vary)) * at_once)
    return least


def _teams(site: Site) -> list[Site]:
    teams = _list(site, "teams")
    if not teams:
        raise VariantError("teams: missing; is this a deployment's file?")
    return teams


def with_guarantees(site: Site, factor: float) -> None:
    """So many times what each team is guaranteed."""
    if not 0 <= factor <= LARGEST:
        raise VariantError(f"--guarantees: {factor:g} is not within 0 and {LARGEST:g}")
    for team in _teams(site):
        for unit in UNITS:
            _times(team, unit, factor, "teams")


def with_limits(site: Site, factor: float) -> None:
    """So many times the limit of each team that has one.

    A limit stays at or above the team's guarantee and what any class needs at once.
    """
    if not 0 < factor <= LARGEST:
        raise VariantError(f"--limits: {factor:g} is not above 0 and at most {LARGEST:g}")
    limited = 0
    for unit in UNITS:
        name = f"{unit}_max"
        least = _least_limit(site, unit)
        for team in _teams(site):
            limit = _number(team, name, "teams") if name in team else 0.0
            if limit <= 0:
                # None of this unit, or no limit at all.
                continue
            guarantee = _number(team, unit, "teams") if unit in team else 0.0
            changed = max(limit * factor, guarantee, least)
            team[name] = math.ceil(changed) if isinstance(team[name], int) else changed
            limited += 1
    if not limited:
        raise VariantError("teams.cpus_max, teams.gpus_max: no team has a limit; set either")


def without_cheap(site: Site) -> None:
    """No cheap machine is to be had."""
    for entry in _list(site, "capacity"):
        entry["spot"] = 0


def in_zones(site: Site, zones: list[str]) -> None:
    """Only these zones have machines; what the others had is theirs. Controllers stay."""
    capacity = _list(site, "capacity")
    known = {entry.get("zone") for entry in capacity}
    for zone in zones:
        if zone not in known:
            raise VariantError(f"--zones: {zone} is none of {', '.join(sorted(map(str, known)))}")
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
    """Write the variant and the file of messages that it names; where it lies."""
    folder = out.resolve()
    if folder == ROOT or ROOT in folder.parents:
        raise VariantError(f"{out}: lies within the repository; name a folder outside of it")
    wire = source.parent / str(site.get("wire", "wire.json"))
    try:
        messages = wire.read_bytes()
    except OSError as error:
        raise VariantError(f"wire: {wire}: {error.strerror}; it has to lie beside it") from error
    site["name"] = f"{site.get('name', source.stem)}-{name}"
    folder.mkdir(parents=True, exist_ok=True)
    (folder / wire.name).write_bytes(messages)
    path = folder / f"{site['name']}.toml"
    path.write_bytes(tomli_w.dumps(site).encode())
    return path


def parser() -> argparse.ArgumentParser:
    """The command's arguments."""
    asked = argparse.ArgumentParser(prog="./dev variant", description=__doc__)
    asked.add_argument("site", type=Path, help="a deployment's file of the users' bench (TOML)")
    asked.add_argument("out", type=Path, help="a folder outside the repository")
    asked.add_argument("--restart", type=float, metavar="S", help="seconds until started again")
    asked.add_argument("--times", type=float, metavar="F", help="machines, work and teams")
    asked.add_argument("--guarantees", type=float, metavar="F", help="each team's guarantee")
    asked.add_argument(
        "--limits",
        type=float,
        metavar="F",
        help="each team's limit, never below its guarantee and what a job needs at once",
    )
    asked.add_argument("--zones", help="the zones that have machines, with commas")
    asked.add_argument("--no-cheap", action="store_true", help="only ordinary machines")
    return asked


def main(arguments: list[str]) -> int:
    """Derive a variant, and print where it was written."""
    options = parser().parse_args(arguments)
    try:
        site = tomllib.loads(options.site.read_text())
        changes = []
        if options.restart is not None:
            with_restarts(site, options.restart)
            changes.append(f"restart{options.restart:g}")
        if options.times is not None:
            larger(site, options.times)
            changes.append(f"times{options.times:g}")
        if options.guarantees is not None:
            with_guarantees(site, options.guarantees)
            changes.append(f"guarantees{options.guarantees:g}")
        if options.limits is not None:
            with_limits(site, options.limits)
            changes.append(f"limits{options.limits:g}")
        if options.zones is not None:
            zones = options.zones.split(",")
            in_zones(site, zones)
            changes.append("in-" + "-".join(zones))
        if options.no_cheap:
            without_cheap(site)
            changes.append("ordinary")
        if not changes:
            raise VariantError(
                "no change asked for: "
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
