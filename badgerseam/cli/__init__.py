"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import gc
import json
import os
from collections.abc import Sequence

from badgerseam import __version__, logs
from badgerseam.cli import classes, client, lab, rollout, runs
from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_USAGE, fail
from badgerseam.settings import (
    SettingsError,
    check_tunables,
    load_settings,
    load_tunables,
    tunables_schema,
)

OPTIONS_VARIABLE = "BADGERSEAM_OPTIONS"


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="badgerseam",
        description="A preemption-aware cluster scheduler after the GFS paper.",
        epilog="Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, "
        "3 the node cannot be reached.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)

    for name, text in (
        ("serve", "run a controller"),
        ("check-config", "check the settings and end"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--config", required=True, help="the platform's settings (TOML)")
        command.add_argument(
            "--options",
            default=os.environ.get(OPTIONS_VARIABLE),
            help=f"the operators' settings (JSON); {OPTIONS_VARIABLE} if not given",
        )
    commands.add_parser("schema", help="print the JSON Schema of the operators' settings")
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
    """Run a command; the exit code."""
    options = _parser().parse_args(arguments)
    try:
        if options.command == "serve":
            return _serve(options)
        if options.command == "check-config":
            tunables = load_tunables(options.options)
            check_tunables(tunables, load_settings(options.config), options.options)
            print("the settings are usable")
            return EXIT_OK
        if options.command == "schema":
            print(json.dumps(tunables_schema(), indent=2))
            return EXIT_OK
        if options.command == "slurm":
            from badgerseam.slurm.commands import COMMANDS

            return COMMANDS[options.order](options.rest)
        if options.command == "lab":
            return lab.run(options)
        if options.command == "rollout":
            return asyncio.run(rollout.run(options))
        if options.command == "classes":
            return asyncio.run(classes.run(options))
        if options.command == "runs":
            return asyncio.run(runs.run(options))
        return asyncio.run(client.run(options))
    except SettingsError as error:
        return fail(str(error), EXIT_USAGE)
    except KeyboardInterrupt:
        return EXIT_OK


def _serve(options: argparse.Namespace) -> int:
    try:
        logs.configure(os.environ.get("LOG_LEVEL", "info"))
    except ValueError as error:
        return fail(str(error), EXIT_USAGE)
    settings = load_settings(options.config)
    tunables = load_tunables(options.options)
    check_tunables(tunables, settings, options.options)
    # The client commands above need none of this.
    import uvloop

    from badgerseam.clock import Clock, make_random
    from badgerseam.controller import Controller

    # What a controller keeps lives long, so that circles in it are looked for more rarely than
    # after each 700 new objects: with the bound on plans a tenth less time on a long backlog.
    gc.set_threshold(20_000, 25, 25)

    async def serve() -> None:
        await Controller(settings, tunables, Clock(), make_random()).run()

    try:
        uvloop.run(serve())
    except OSError as error:
        return fail(f"cannot listen: {error}", EXIT_FAILED)
    return EXIT_OK
