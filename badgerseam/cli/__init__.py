"""The command line: declares the commands and dispatches each to the module that runs it."""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from badgerseam import __version__, logs
from badgerseam.cli import classes, client, lab, rollout, runs
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE, fail
from badgerseam.settings import SettingsError, load_settings
from badgerseam.tunables import check_tunables, load_tunables, tunables_schema

OPTIONS_VARIABLE = "BADGERSEAM_OPTIONS"
"""Environment variable with the path of the operators' options file, used if `--options` is not
given."""
GC_THRESHOLDS = (20_000, 25, 25)
"""Thresholds of Python's garbage collector in a controller. Its objects are long-lived, so the
collector runs less often than after the default of 700 new objects. Together with the limit on
plans, this saves a tenth of the time on a long backlog."""


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="badgerseam",
        description="A preemption-aware cluster scheduler based on the GFS paper.",
        epilog="Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, "
        "3 the node cannot be reached.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)

    for name, text in (
        ("serve", "run a controller"),
        ("check-config", "check the settings and exit"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--config", required=True, help="the platform's settings file (TOML)")
        command.add_argument(
            "--options",
            default=os.environ.get(OPTIONS_VARIABLE),
            help=f"the operators' options file (JSON; default: {OPTIONS_VARIABLE})",
        )
    commands.add_parser("schema", help="print the JSON Schema of the operators' options")
    client.add_commands(commands)
    rollout.add_commands(commands)
    classes.add_commands(commands)
    runs.add_commands(commands)
    lab.add_commands(commands)
    slurm = commands.add_parser("slurm", help="Slurm-style commands", add_help=False)
    slurm.add_argument("order", choices=["batch", "queue", "cancel", "info", "control", "acct"])
    slurm.add_argument("rest", nargs=argparse.REMAINDER)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    options = make_parser().parse_args(arguments)
    try:
        return COMMANDS[options.command](options)
    except SettingsError as error:
        return fail(str(error), EXIT_USAGE)
    except KeyboardInterrupt:
        return EXIT_OK


def _run_controller(options: argparse.Namespace) -> int:
    try:
        logs.configure(os.environ.get("LOG_LEVEL", "info"))
    except ValueError as error:
        return fail(str(error), EXIT_USAGE)
    settings = load_settings(options.config)
    tunables = load_tunables(options.options)
    check_tunables(tunables, settings, options.options)
    # Imported here because the other commands do not need these modules.
    import uvloop

    from badgerseam.clock import Clock, make_random
    from badgerseam.controller import Controller

    gc.set_threshold(*GC_THRESHOLDS)

    async def run() -> None:
        await Controller(settings, tunables, Clock(), make_random()).run()

    try:
        uvloop.run(run())
    except OSError as error:
        return fail(f"cannot listen: {error}", EXIT_FAILED)
    return EXIT_OK


def _check_config(options: argparse.Namespace) -> int:
    tunables = load_tunables(options.options)
    check_tunables(tunables, load_settings(options.config), options.options)
    print("the settings are usable")
    return EXIT_OK


def _print_schema(_: argparse.Namespace) -> int:
    print(json.dumps(tunables_schema(), indent=2))
    return EXIT_OK


def _run_slurm_command(options: argparse.Namespace) -> int:
    from badgerseam.slurm.commands import COMMANDS as SLURM_COMMANDS

    return SLURM_COMMANDS[options.order](options.rest)


def _run_coroutine(
    run: Callable[[argparse.Namespace], Coroutine[Any, Any, int]],
) -> Callable[[argparse.Namespace], int]:
    return lambda options: asyncio.run(run(options))


COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "serve": _run_controller,
    "check-config": _check_config,
    "schema": _print_schema,
    "slurm": _run_slurm_command,
    "lab": lab.run,
    "rollout": _run_coroutine(rollout.run),
    "classes": _run_coroutine(classes.run),
    "runs": _run_coroutine(runs.run),
    **dict.fromkeys(client.COMMANDS, _run_coroutine(client.run)),
}
"""The function that runs each command declared by `make_parser`."""
