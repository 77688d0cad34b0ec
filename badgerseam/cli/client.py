"""The commands submit, show, abort, why, queue and status of a running service, and their HTTP
client."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import urlencode

from badgerseam.cli.exits import EXIT_FAILED, EXIT_OK, EXIT_UNREACHABLE, EXIT_USAGE, fail
from badgerseam.cli.render import queue_table, why_text
from badgerseam.errors import BadgerseamError
from badgerseam.wire import explain

if TYPE_CHECKING:
    from badgerseam.http.client import Response

COMMANDS = ("status", "submit", "show", "abort", "why", "queue")
NODES_VARIABLE = "BADGERSEAM_NODE"
DEFAULT_NODE = "127.0.0.1:8080"
RETRIED_STATUSES = (429, 502, 503, 504)
MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 30.0
REQUEST_TIMEOUT_S = 5.0
READ_PATIENCE_S = 3.0
"""Default of `--patience` for commands that only read, in seconds."""
WRITE_PATIENCE_S = 60.0
"""Default of `--patience` for commands that change state, in seconds: long enough for a request not
to be lost during a failover."""
WATCH_INTERVAL_S = 2.0
PAGE_SIZE = 200

Commands = argparse._SubParsersAction


class UnreachableError(BadgerseamError):
    """No node responded in time; the message lists the nodes."""


def add_commands(commands: Commands[argparse.ArgumentParser]) -> None:
    """Declares the commands of this module."""
    status = commands.add_parser("status", help="show whether a node accepts requests")
    submit = commands.add_parser("submit", help="submit a job")
    submit.add_argument("file", help="the job (JSON); - for standard input")
    show = commands.add_parser("show", help="show a job's state")
    abort = commands.add_parser("abort", help="cancel a job")
    why = commands.add_parser("why", help="show why a job waits")
    why.add_argument("--watch", action="store_true", help="continue until the job has ended")
    queue = commands.add_parser("queue", help="list open jobs")
    queue.add_argument("--reasons", action="store_true", help="show why each job waits")
    queue.add_argument("--team", help="only jobs of this team")
    queue.add_argument("--class", dest="job_class", help="only jobs of this class")
    queue.add_argument("--waiting", action="store_true", help="only jobs with waiting tasks")
    for command in (show, abort, why):
        command.add_argument("job", help="the job's id, such as job-000412")
    for command in (status, submit, show, abort, why, queue):
        patience_s = WRITE_PATIENCE_S if command in (submit, abort) else READ_PATIENCE_S
        add_connection_options(command, patience_s)


def add_connection_options(
    command: argparse.ArgumentParser, patience_s: float = READ_PATIENCE_S
) -> None:
    """Declares the options of a command's connection: the nodes and how long to retry."""
    command.add_argument(
        "--node",
        default=os.environ.get(NODES_VARIABLE, DEFAULT_NODE),
        help="address of a node, or several separated by commas, which are tried in turn "
        f"(default: {NODES_VARIABLE}, or {DEFAULT_NODE})",
    )
    command.add_argument(
        "--patience",
        type=float,
        default=patience_s,
        help="seconds for which a refused or unanswered request is retried (default %(default)s)",
    )
    command.add_argument("--json", action="store_true", help="print the response body unchanged")


def print_response(
    response: Response,
    options: argparse.Namespace,
    not_enabled: str,
    render: Callable[[bytes], str],
) -> int:
    """Prints a response and returns the exit code.

    With `--json` the body is printed unchanged, otherwise as `render` formats it. `not_enabled` is
    the error message for a 404, which means that the feature is not enabled on the node.
    """
    if response.status == 404:
        return fail(not_enabled, EXIT_FAILED)
    if response.status != 200:
        return fail(refusal_text(response), EXIT_FAILED)
    print(response.body.decode() if options.json else render(response.body))
    return EXIT_OK


class ServiceClient:
    """An HTTP client of several equivalent nodes that retries as the user protocol specifies.

    A request that was refused temporarily or got no response is retried at the next node after a
    second, or after `Retry-After`.
    """

    def __init__(self, nodes: str, patience_s: float) -> None:
        """Initializes a client of `nodes`, which are addresses separated by commas.

        `patience_s` is the time in seconds for which requests are retried.
        """
        # Imported here so that commands which only print help do not load tornado.
        from badgerseam.http.client import HttpClient

        self._nodes = [node.strip() for node in nodes.split(",") if node.strip()]
        self._patience_s = patience_s
        self._http = HttpClient()

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        deadline_s: float = REQUEST_TIMEOUT_S,
    ) -> Response:
        """Sends a request, and retries it until the response is final or the time is up.

        Returns the final response, or the last refusal if there was none. Raises UnreachableError
        if no node responded.
        """
        from badgerseam.http.client import NoResponseError

        if not self._nodes:
            raise UnreachableError("--node: no address is given")
        give_up_at = time.monotonic() + self._patience_s
        attempts = 0
        while True:
            node = self._nodes[attempts % len(self._nodes)]
            attempts += 1
            response: Response | None = None
            delay_s = MIN_RETRY_DELAY_S
            try:
                response = await self._http.request(node, method, path, body, deadline_s)
                if response.status not in RETRIED_STATUSES:
                    return response
                delay_s = _retry_delay_s(response)
            except ValueError as error:
                raise UnreachableError(
                    f"--node: {node!r} is not an address such as {DEFAULT_NODE}"
                ) from error
            except NoResponseError:
                if attempts < len(self._nodes):
                    # The next node has not been tried yet and may respond at once.
                    delay_s = 0.0
            if time.monotonic() + delay_s > give_up_at:
                if response is not None:
                    return response
                raise UnreachableError(f"{', '.join(self._nodes)} cannot be reached")
            await asyncio.sleep(delay_s)


def _retry_delay_s(response: Response) -> float:
    if response.retry_after is None or not response.retry_after.isdecimal():
        return MIN_RETRY_DELAY_S
    return min(max(MIN_RETRY_DELAY_S, float(response.retry_after)), MAX_RETRY_DELAY_S)


def read_input(file: str) -> bytes:
    """Returns the content of a file, or of standard input for `-`.

    Raises OSError or UnicodeDecodeError if it cannot be read.
    """
    text = sys.stdin.read() if file == "-" else Path(file).read_text()
    return text.encode()


async def run(options: argparse.Namespace) -> int:
    """Runs one of the commands and returns its exit code."""
    if options.patience < 0:
        return fail("--patience: a number of seconds, 0 to ask once", EXIT_USAGE)
    service = ServiceClient(options.node, options.patience)
    try:
        if options.command == "queue":
            return await _print_queue(service, options)
        if options.command == "why" and options.watch:
            return await _watch_why(service, options)
        return await _send_request(service, options)
    except UnreachableError as error:
        return fail(str(error), EXIT_UNREACHABLE)


async def _send_request(service: ServiceClient, options: argparse.Namespace) -> int:
    """Sends a command's request, prints the response, and returns the exit code."""
    try:
        method, path, body = _request_of(options)
    except (OSError, UnicodeDecodeError) as error:
        return fail(f"{options.file}: {error}", EXIT_USAGE)
    response = await service.request(method, path, body)
    failed = response.status not in (200, 201)
    if options.json:
        print(response.body.decode(errors="replace"))
        return EXIT_FAILED if failed else EXIT_OK
    if failed:
        return fail(refusal_text(response), EXIT_FAILED)
    if options.command == "status":
        print(f"{options.node} is ready")
    elif options.command == "why":
        print(why_text(explain.why_decoder.decode(response.body)))
    else:
        print(_phase_line(response.body))
    return EXIT_OK


class _Request(NamedTuple):
    method: str
    path: str
    body: bytes | None = None


def _request_of(options: argparse.Namespace) -> _Request:
    match options.command:
        case "submit":
            return _Request("POST", "/submissions", read_input(options.file))
        case "show":
            return _Request("GET", f"/submissions/{options.job}")
        case "why":
            return _Request("GET", f"/submissions/{options.job}/why")
        case "abort":
            return _Request("POST", f"/submissions/{options.job}/abort", b"{}")
        case _:
            return _Request("GET", "/ready")


def _phase_line(body: bytes) -> str:
    job = json.loads(body)
    counts = "".join(f", {job[key]} {key}" for key in ("done", "running") if key in job)
    return f"{job.get('id')}: {job.get('phase')}{counts}"


def refusal_text(response: Response) -> str:
    """Returns the status and the error text of a response that refused a request."""
    try:
        return f"{response.status}: {json.loads(response.body)['error']}"
    except (ValueError, KeyError, TypeError):
        return f"{response.status}: {response.body.decode(errors='replace')[:300]}"


async def _watch_why(service: ServiceClient, options: argparse.Namespace) -> int:
    """Prints the explanation each time that its reasons change, until the job has ended."""
    printed: object = None
    while True:
        response = await service.request("GET", f"/submissions/{options.job}/why")
        if response.status == 200:
            why = explain.why_decoder.decode(response.body)
            reasons = [(g.state, [(r.code, r.binding) for r in g.reasons]) for g in why.groups]
            if (why.phase, reasons) != printed:
                printed = (why.phase, reasons)
                text = response.body.decode() if options.json else why_text(why)
                print(text, flush=True)
            if why.phase in ("done", "withdrawn"):
                return EXIT_OK
        elif response.status not in RETRIED_STATUSES:
            return fail(refusal_text(response), EXIT_FAILED)
        else:
            print(f"badgerseam: {refusal_text(response)}; asking again", file=sys.stderr)
        await asyncio.sleep(WATCH_INTERVAL_S)


async def _print_queue(service: ServiceClient, options: argparse.Namespace) -> int:
    """Prints all open jobs that match, read page by page, and returns the exit code."""
    filters = _queue_filters(options)
    lines: list[explain.QueueLine] = []
    after = ""
    while True:
        query = {"limit": str(PAGE_SIZE), "after": after} | filters
        response = await service.request("GET", f"/queue?{urlencode(query)}")
        if response.status != 200:
            return fail(refusal_text(response), EXIT_FAILED)
        text = response.body.decode()
        if options.json:
            print(text, end="")
        page = [explain.line_decoder.decode(line) for line in text.splitlines() if line]
        lines += page
        if len(page) < PAGE_SIZE:
            break
        after = page[-1].id
    if not options.json:
        print(queue_table(lines, options.reasons))
    return EXIT_OK


def _queue_filters(options: argparse.Namespace) -> dict[str, str]:
    """Returns the query parameters that select jobs, which every page request includes."""
    filters: dict[str, str] = {}
    for name, value in (("team", options.team), ("class", options.job_class)):
        if value is not None:
            filters[name] = value
    if options.waiting:
        filters["waiting"] = "1"
    if options.reasons:
        filters["reasons"] = "1"
    return filters
