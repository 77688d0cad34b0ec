"""HTTP requests of the Slurm-style commands to the service."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

import msgspec

from badgerseam.cli.client import ServiceClient
from badgerseam.errors import BadgerseamError
from badgerseam.wire import accounting as accounting_wire
from badgerseam.wire import batch as wire
from badgerseam.wire import explain
from badgerseam.wire.users import Submission

if TYPE_CHECKING:
    from badgerseam.http.client import Response

PAGE_SIZE = 200
ACCOUNTING_PAGE_SIZE = 500
MAX_JOBS_EXPLAINED = 300
"""If more jobs wait, the queue is listed without reasons."""


class RefusedError(BadgerseamError):
    """The service refused a request or does not know a job; the message gives the reason."""


class BatchClient:
    """Sends requests of the Slurm-style commands; raises RefusedError if the service refuses."""

    def __init__(self, service: ServiceClient) -> None:
        self._service = service

    async def _request(
        self, method: str, path: str, body: bytes | None = None, accepted: tuple[int, ...] = (200,)
    ) -> Response:
        response = await self._service.request(method, path, body)
        if response.status not in accepted:
            raise RefusedError(f"{path}: {_error_text(response)}")
        return response

    async def resolve_id(self, text: str) -> str:
        """Returns the id of a job given as an id, a number, or a number and task such as 12_3."""
        if text.startswith("job-"):
            return text
        number = text.partition("_")[0]
        if not number.isdecimal():
            raise RefusedError(f"{text!r} is not a job number such as 1000123")
        response = await self._request("GET", f"/numbers/{number}")
        ids = wire.number_lookup_decoder.decode(response.body).ids
        if not ids:
            raise RefusedError(f"{number}: no such job")
        if len(ids) > 1:
            raise RefusedError(
                f"{number}: several jobs have this number: {', '.join(ids)}; give one of these ids"
            )
        return ids[0]

    async def claim_numbers(self, count: int) -> list[int]:
        """Allocates job numbers that no other client gets."""
        body = wire.encode(wire.NumbersRequest(count))
        response = await self._request("POST", "/numbers", body)
        return wire.numbers_response_decoder.decode(response.body).numbers

    async def submit(self, spec: Submission) -> bool:
        """Submits a job; returns False if another job has its id."""
        body = msgspec.json.encode(spec)
        response = await self._service.request("POST", "/submissions", body)
        if response.status == 409:
            return False
        if response.status not in (200, 201):
            raise RefusedError(_error_text(response))
        return True

    async def phase(self, job: str) -> str:
        """Returns the phase of a job."""
        response = await self._request("GET", f"/submissions/{job}")
        return str(json.loads(response.body).get("phase"))

    async def cancel(self, job: str) -> str:
        """Cancels a job and returns its phase afterwards."""
        response = await self._request("POST", f"/submissions/{job}/abort", b"{}")
        return str(json.loads(response.body).get("phase"))

    async def details(self, job: str) -> wire.Details:
        """Returns a job with all its details."""
        response = await self._request("GET", f"/submissions/{job}/details")
        return wire.details_decoder.decode(response.body)

    async def why(self, job: str) -> explain.Explanation | None:
        """Returns the explanation of why a job waits; None if no controller has one."""
        response = await self._service.request("GET", f"/submissions/{job}/why")
        return explain.why_decoder.decode(response.body) if response.status == 200 else None

    async def update_terms(self, job: str, terms: dict[str, Any]) -> None:
        """Changes some of a job's terms."""
        await self._request("POST", f"/submissions/{job}/terms", json.dumps(terms).encode())

    async def machines(self) -> list[wire.MachineRow]:
        """Returns the machines, with identical ones combined in one row."""
        response = await self._request("GET", "/machines")
        return wire.machines_decoder.decode(response.body)

    async def queue(self, reasons: bool) -> list[explain.QueueLine]:
        """Returns all open jobs; if `reasons`, with the reasons why jobs wait.

        A list without reasons needs no explanations and is cheap at any length. With more than
        MAX_JOBS_EXPLAINED waiting jobs, the list contains only reasons that result from the jobs'
        own terms.
        """
        lines = await self._list_open_jobs({})
        unexplained = [line for line in lines if line.waiting and not line.reasons]
        if not reasons or not 0 < len(unexplained) <= MAX_JOBS_EXPLAINED:
            return lines
        explained = {
            line.id: line for line in await self._list_open_jobs({"reasons": "1", "waiting": "1"})
        }
        return [explained.get(line.id, line) for line in lines]

    async def _list_open_jobs(self, filters: dict[str, str]) -> list[explain.QueueLine]:
        lines: list[explain.QueueLine] = []
        after = ""
        while True:
            query = {"limit": str(PAGE_SIZE), "after": after} | filters
            response = await self._request("GET", f"/queue?{urlencode(query)}")
            page = [
                explain.line_decoder.decode(line) for line in response.body.splitlines() if line
            ]
            lines += page
            if len(page) < PAGE_SIZE:
                return lines
            after = page[-1].id

    async def accounting(
        self, filters: dict[str, str]
    ) -> AsyncIterator[accounting_wire.AccountingLine]:
        """Yields jobs that have ended, the latest first, requested page by page."""
        after: str | None = None
        while True:
            query = filters | {"limit": str(ACCOUNTING_PAGE_SIZE)}
            if after is not None:
                query["after"] = after
            response = await self._request("GET", f"/accounting?{urlencode(query)}")
            more: str | None = None
            for text in response.body.splitlines():
                if text.startswith(b'{"after"'):
                    more = str(json.loads(text)["after"])
                else:
                    yield accounting_wire.line_decoder.decode(text)
            if more is None or "job" in filters:
                return
            after = more

    async def attempts(
        self, job: str
    ) -> tuple[list[accounting_wire.AttemptLine], accounting_wire.AttemptsEnd]:
        """Returns the records of a job's attempts, and how complete they are."""
        response = await self._request("GET", f"/accounting/attempts?job={job}")
        *lines, last = response.body.splitlines()
        attempts = [accounting_wire.attempt_decoder.decode(line) for line in lines]
        return attempts, accounting_wire.attempts_end_decoder.decode(last)

    async def totals(self) -> list[accounting_wire.DayTotal]:
        """Returns the totals of each team and day."""
        response = await self._request("GET", "/accounting/totals")
        return accounting_wire.totals_decoder.decode(response.body)


def _error_text(response: Response) -> str:
    try:
        return str(json.loads(response.body)["error"])
    except (ValueError, KeyError, TypeError):
        return f"{response.status} {response.body.decode(errors='replace')[:200]}"
