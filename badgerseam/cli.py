"""The command line."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from badgerseam import __version__, logs
from badgerseam.settings import (
    SettingsError,
    load_settings,
    load_tunables,
    tunables_schema,
)

EXIT_OK, EXIT_FAILED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3
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
    status = commands.add_parser("status", help="whether a node takes requests")
    submit = commands.add_parser("submit", help="submit a job")
    submit.add_argument("file", help="the job (JSON), - for standard input")
    show = commands.add_parser("show", help="show a job's state")
    abort = commands.add_parser("abort", help="cancel a job")
    for command in (show, abort):
        command.add_argument("job", help="the job's id, such as job-000412")
    for command in (status, submit, show, abort):
        command.add_argument(
            "--node", default="127.0.0.1:8080", help="address of a node (default %(default)s)"
        )
        command.add_argument("--json", action="store_true", help="print the response as it came")
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; the exit code."""
    options = _parser().parse_args(arguments)
    try:
        if options.command == "serve":
            return _serve(options)
        if options.command == "check-config":
            load_settings(options.config)
            load_tunables(options.options)
            print("the settings are usable")
            return EXIT_OK
        if options.command == "schema":
            print(json.dumps(tunables_schema(), indent=2))
            return EXIT_OK
        return asyncio.run(_ask(options))
    except SettingsError as error:
        return _fail(str(error), EXIT_USAGE)
    except KeyboardInterrupt:
        return EXIT_OK


def _fail(text: str, code: int) -> int:
    print(f"badgerseam: {text}", file=sys.stderr)
    return code


def _serve(options: argparse.Namespace) -> int:
    try:
        logs.configure(os.environ.get("LOG_LEVEL", "info"))
    except ValueError as error:
        return _fail(str(error), EXIT_USAGE)
    settings = load_settings(options.config)
    tunables = load_tunables(options.options)
    # The client commands above need none of this.
    from badgerseam.clock import Clock, make_random
    from badgerseam.node import Node

    async def serve() -> None:
        await Node(settings, tunables, Clock(), make_random()).run()

    try:
        asyncio.run(serve())
    except OSError as error:
        return _fail(f"cannot listen: {error}", EXIT_FAILED)
    return EXIT_OK


async def _ask(options: argparse.Namespace) -> int:
    from badgerseam.http.client import Client, NoResponse

    method, path, body = "GET", "/ready", None
    if options.command == "submit":
        try:
            text = sys.stdin.read() if options.file == "-" else Path(options.file).read_text()
        except OSError as error:
            return _fail(f"{options.file}: {error.strerror}", EXIT_USAGE)
        method, path, body = "POST", "/submissions", text.encode()
    elif options.command == "show":
        path = f"/submissions/{options.job}"
    elif options.command == "abort":
        method, path, body = "POST", f"/submissions/{options.job}/abort", b"{}"
    try:
        response = await Client().request(options.node, method, path, body, 6.0)
    except (NoResponse, ValueError):
        return _fail(f"{options.node} cannot be reached", EXIT_UNREACHABLE)
    text = response.body.decode(errors="replace")
    failed = response.status not in (200, 201)
    if options.json:
        print(text)
    else:
        try:
            answer = json.loads(text)
        except ValueError:
            answer = {}
        if failed:
            return _fail(f"{response.status}: {answer.get('error', text)}", EXIT_FAILED)
        if options.command == "status":
            print(f"{options.node} is ready")
        else:
            counts = "".join(
                f", {answer[key]} {key}" for key in ("done", "running") if key in answer
            )
            print(f"{answer.get('id')}: {answer.get('phase')}{counts}")
    return EXIT_FAILED if failed else EXIT_OK
