"""Commands that ask a running service: submit, show, abort, why, queue, status."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE, fail
from badgerseam.cli.render import queue_table, why_text
from badgerseam.errors import BadgerseamError
from badgerseam.wire import explain

if TYPE_CHECKING:
    from badgerseam.http.client import Response

NODES_VARIABLE = "BADGERSEAM_NODE"
DEFAULT_NODE = "127.0.0.1:8080"
RETRIED = (429, 502, 503, 504)
MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 30.0
WATCH_S = 2.0
PAGE = 200

Commands = argparse._SubParsersAction


class UnreachableError(BadgerseamError):
    """No node answered in time; the message names them."""


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declare the commands of this module."""
    status = commands.add_parser("status", help="whether a node takes requests")
    submit = commands.add_parser("submit", help="submit a job")
    submit.add_argument("file", help="the job (JSON), - for standard input")
    show = commands.add_parser("show", help="show a job's state")
    abort = commands.add_parser("abort", help="cancel a job")
    why = commands.add_parser("why", help="say what holds a job back")
    why.add_argument("--watch", action="store_true", help="go on until the job has ended")
    queue = commands.add_parser("queue", help="list the open jobs")
    queue.add_argument("--reasons", action="store_true", help="say what holds each job back")
    queue.add_argument("--team", help="only jobs of this team")
    queue.add_argument("--class", dest="job_class", help="only jobs of this class")
    queue.add_argument("--waiting", action="store_true", help="only jobs with waiting tasks")
    for command in (show, abort, why):
        command.add_argument("job", help="the job's id, such as job-000412")
    for command in (status, submit, show, abort, why, queue):
        ask_options(command, 60.0 if command in (submit, abort) else 3.0)


def ask_options(command: argparse.ArgumentParser, patience_s: float = 3.0) -> None:
    """Declare whom a command asks, and for how long."""
    command.add_argument(
        "--node",
        default=os.environ.get(NODES_VARIABLE, DEFAULT_NODE),
        help="address of a node, or several with commas, asked in turn "
        f"({NODES_VARIABLE} if not given; default {DEFAULT_NODE})",
    )
    command.add_argument(
        "--patience",
        type=float,
        default=patience_s,
        help="seconds for which a refused or unanswered request is repeated (default %(default)s)",
    )
    command.add_argument("--json", action="store_true", help="print the response as it came")


def tell(
    response: Response, options: argparse.Namespace, absent: str, text: Callable[[bytes], str]
) -> int:
    """Print an answer, as it came if `options.json` says so; the exit code. `absent`: what a 404
    means."""
    if response.status == 404:
        return fail(absent, EXIT_FAILED)
    if response.status != 200:
        return fail(refusal(response), EXIT_FAILED)
    print(response.body.decode() if options.json else text(response.body))
    return EXIT_OK


class ServiceClient:
    """Asks any of several nodes, as users of the protocol do: a request that was refused for now,
    or not answered, is repeated after a second or `Retry-After`, at the next node."""

    def __init__(self, nodes: str, patience_s: float) -> None:
        # The client commands that only print help need no tornado.
        from badgerseam.http.client import HttpClient

        self._nodes = [node.strip() for node in nodes.split(",") if node.strip()]
        self._patience_s = patience_s
        self._http = HttpClient()

    async def ask(
        self, method: str, path: str, body: bytes | None = None, deadline_s: float = 5.0
    ) -> Response:
        """The first answer that is final, or the last refusal; Unreachable if there was none."""
        from badgerseam.http.client import NoResponseError

        if not self._nodes:
            raise UnreachableError("--node: no address is given")
        until = time.monotonic() + self._patience_s
        turn = 0
        while True:
            node = self._nodes[turn % len(self._nodes)]
            turn += 1
            refusal: Response | None = None
            pause = MIN_PAUSE_S
            try:
                refusal = await self._http.request(node, method, path, body, deadline_s)
                if refusal.status not in RETRIED:
                    return refusal
                if refusal.retry_after is not None and refusal.retry_after.isdecimal():
                    pause = min(max(pause, float(refusal.retry_after)), MAX_PAUSE_S)
            except ValueError as error:
                raise UnreachableError(
                    f"--node: {node!r} is not an address such as {DEFAULT_NODE}"
                ) from error
            except NoResponseError:
                if turn < len(self._nodes):
                    # Another node may be there at once.
                    pause = 0.0
            if time.monotonic() + pause > until:
                if refusal is not None:
                    return refusal
                raise UnreachableError(f"{', '.join(self._nodes)} cannot be reached")
            await asyncio.sleep(pause)


async def run(options: argparse.Namespace) -> int:
    """Carry out one of the commands; the exit code."""
    if options.patience < 0:
        return fail("--patience: a number of seconds, 0 to ask once", EXIT_USAGE)
    front = ServiceClient(options.node, options.patience)
    try:
        if options.command == "queue":
            return await _queue(front, options)
        if options.command == "why" and options.watch:
            return await _watch(front, options)
        return await _ask(front, options)
    except UnreachableError as error:
        return fail(str(error), EXIT_UNREACHABLE)


async def _ask(front: ServiceClient, options: argparse.Namespace) -> int:
    method, path, body = "GET", "/ready", None
    if options.command == "submit":
        try:
            text = sys.stdin.read() if options.file == "-" else Path(options.file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            return fail(f"{options.file}: {error}", EXIT_USAGE)
        method, path, body = "POST", "/submissions", text.encode()
    elif options.command == "show":
        path = f"/submissions/{options.job}"
    elif options.command == "why":
        path = f"/submissions/{options.job}/why"
    elif options.command == "abort":
        method, path, body = "POST", f"/submissions/{options.job}/abort", b"{}"
    response = await front.ask(method, path, body)
    failed = response.status not in (200, 201)
    if options.json:
        print(response.body.decode(errors="replace"))
        return EXIT_FAILED if failed else EXIT_OK
    if failed:
        return fail(refusal(response), EXIT_FAILED)
    if options.command == "status":
        print(f"{options.node} is ready")
    elif options.command == "why":
        print(why_text(explain.why_decoder.decode(response.body)))
    else:
        answer = json.loads(response.body)
        counts = "".join(f", {answer[key]} {key}" for key in ("done", "running") if key in answer)
        print(f"{answer.get('id')}: {answer.get('phase')}{counts}")
    return EXIT_OK


def refusal(response: Response) -> str:
    """A refusal's status and what it says, for people."""
    try:
        return f"{response.status}: {json.loads(response.body)['error']}"
    except (ValueError, KeyError, TypeError):
        return f"{response.status}: {response.body.decode(errors='replace')[:300]}"


async def _watch(front: ServiceClient, options: argparse.Namespace) -> int:
    """Print the answer each time that what holds the job back has changed, until it has ended."""
    before: object = None
    while True:
        response = await front.ask("GET", f"/submissions/{options.job}/why")
        if response.status == 200:
            answer = explain.why_decoder.decode(response.body)
            seen = [(g.state, [(r.code, r.binding) for r in g.reasons]) for g in answer.groups]
            if (answer.phase, seen) != before:
                before = (answer.phase, seen)
                text = response.body.decode() if options.json else why_text(answer)
                print(text, flush=True)
            if answer.phase in ("done", "withdrawn"):
                return EXIT_OK
        elif response.status not in RETRIED:
            return fail(refusal(response), EXIT_FAILED)
        else:
            print(f"badgerseam: {refusal(response)}; asking again", file=sys.stderr)
        await asyncio.sleep(WATCH_S)


async def _queue(front: ServiceClient, options: argparse.Namespace) -> int:
    lines: list[explain.QueueLine] = []
    after = ""
    while True:
        query = {"limit": str(PAGE), "after": after}
        for name, value in (("team", options.team), ("class", options.job_class)):
            if value is not None:
                query[name] = value
        if options.waiting:
            query["waiting"] = "1"
        if options.reasons:
            query["reasons"] = "1"
        response = await front.ask("GET", f"/queue?{urlencode(query)}")
        if response.status != 200:
            return fail(refusal(response), EXIT_FAILED)
        text = response.body.decode()
        if options.json:
            print(text, end="")
        page = [explain.line_decoder.decode(line) for line in text.splitlines() if line]
        lines += page
        if len(page) < PAGE:
            break
        after = page[-1].id
    if not options.json:
        print(queue_table(lines, options.reasons))
    return EXIT_OK
