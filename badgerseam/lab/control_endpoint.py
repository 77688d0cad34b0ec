"""The HTTP endpoint at which a running lab takes commands from `badgerseam lab ...`."""

from __future__ import annotations

import msgspec

from badgerseam.http.server import HttpServer, Reply, error_reply
from badgerseam.lab.errors import LabError
from badgerseam.lab.fault import FAULT_KINDS, fault_decoder
from badgerseam.lab.fault_injector import FaultInjector
from badgerseam.lab.lab import Lab
from badgerseam.lab.lab_status import lab_status


class LoadRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A request to set the load, as a multiple of the site's arrival rates; 0 stops arrivals."""

    factor: float


_load_decoder: msgspec.json.Decoder[LoadRequest] = msgspec.json.Decoder(LoadRequest)


class ControlEndpoint:
    """Serves the lab's status and rule violations, and sets its faults and load."""

    def __init__(self, lab: Lab, fault_injector: FaultInjector) -> None:
        self._lab = lab
        self._fault_injector = fault_injector
        self._server = HttpServer(self._handle)

    def listen(self, port: int) -> None:
        """Starts to serve at a port on loopback."""
        self._server.listen(f"127.0.0.1:{port}")

    def stop(self) -> None:
        """Stops serving."""
        self._server.stop()

    def _handle(self, method: str, uri: str, body: bytes) -> Reply:
        try:
            if method == "GET" and uri == "/status":
                return _json(lab_status(self._lab))
            if method == "GET" and uri == "/check":
                return _json([str(violation) for violation in self._lab.violations()])
            if method == "POST" and uri == "/fault":
                return self._fault(body)
            if method == "POST" and uri == "/mend":
                return _json(self._fault_injector.revert_all())
            if method == "POST" and uri == "/load":
                self._lab.start_load(max(0.0, _load_decoder.decode(body).factor))
                return _json("users submit jobs")
        except (LabError, msgspec.DecodeError) as error:
            return Reply(400, msgspec.json.encode({"error": str(error)}))
        return error_reply(404, "no such order")

    def _fault(self, body: bytes) -> Reply:
        try:
            fault = fault_decoder.decode(body)
        except msgspec.DecodeError as error:
            raise LabError(f"{error}; there are: {', '.join(FAULT_KINDS)}") from error
        return _json(self._fault_injector.apply(fault))


def _json(value: object) -> Reply:
    return Reply(200, msgspec.json.encode(value))
