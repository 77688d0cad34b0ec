"""The API for priority classes: the classes in force, objections to them, and replacing them."""

from __future__ import annotations

import msgspec

from badgerseam.api.replies import escaped_error_reply, starting_reply
from badgerseam.classes.class_record import ClassRecordKeeper
from badgerseam.classes.rules import ClassRules
from badgerseam.classes.table import to_options
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.options.classes import check
from badgerseam.store.client import ConditionFailedError
from badgerseam.wire import classes as wire

CLASSES = "/classes"


class ClassesApi:
    """Answers requests for `/classes`."""

    def __init__(self, model: Model, record_keeper: ClassRecordKeeper, rules: ClassRules) -> None:
        self._model = model
        self._record_keeper = record_keeper
        self._rules = rules

    async def handle(self, method: str, body: bytes) -> Reply:
        """Handles a request for `/classes`."""
        if method not in ("GET", "POST"):
            return error_reply(405, "GET or POST only")
        if not self._model.loaded:
            return starting_reply()
        return self.view() if method == "GET" else await self._set(body)

    async def _set(self, body: bytes) -> Reply:
        try:
            options = wire.options_decoder.decode(body)
        except msgspec.DecodeError as error:
            return escaped_error_reply(400, str(error))
        errors = check(options, self._model.team_index)
        if errors:
            return escaped_error_reply(422, "; ".join(errors))
        try:
            objections = await self._record_keeper.set(options)
        except ConditionFailedError:
            return error_reply(409, "a controller or the classes changed meanwhile: try again")
        if objections:
            listed = "; ".join(f"{entry.node} {entry.reason}" for entry in objections)
            return escaped_error_reply(409, listed)
        return self.view()

    def view(self) -> Reply:
        """Returns the classes in force, according to this controller's replica."""
        model, keeper, rules = self._model, self._record_keeper, self._rules
        with model.lock:
            record, revision = model.classes or (None, 0)
            view = wire.ClassesView(
                None if record is None else to_options(record),
                None if record is None else record.by,
                None if record is None else record.at,
                revision,
                keeper.digest,
                keeper.is_update_due(),
                keeper.objections(),
                rules.waiting(),
                rules.inversions,
                rules.plans_with_reservations,
            )
        return Reply(200, wire.encode(view))
