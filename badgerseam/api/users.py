"""Request routing and readiness for the address that users, workers and health checks use."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from badgerseam.api.accounting import ACCOUNTING, AccountingApi
from badgerseam.api.batch import MACHINES, NUMBERS, BatchApi
from badgerseam.api.classes import CLASSES, ClassesApi
from badgerseam.api.confirmations import VersionConfirmations
from badgerseam.api.explain import QUEUE, ExplainApi
from badgerseam.api.replies import RETRY_AFTER_S, escaped_error_reply, no_such_path_reply
from badgerseam.api.rollout import ROLLOUT, RolloutApi
from badgerseam.api.runs import RUNS, RunsApi
from badgerseam.api.submissions import SUBMISSIONS, SubmissionsApi
from badgerseam.cluster.availability import UnavailableReason
from badgerseam.cluster.membership import Membership
from badgerseam.http.server import Reply, error_reply
from badgerseam.model.model import Model
from badgerseam.options.replicas import ReplicasOptions
from badgerseam.store.client import StateClient, StateUnavailableError
from badgerseam.store.committer import ProposalTooLargeError
from badgerseam.store.ledger import Ledger
from badgerseam.workers.worker_manager import WorkerManager

HEARTBEATS = "/checkin"
READINESS = "/ready"
UNSUPPORTED_RETRY_AFTER_S = 2
"""Seconds after which users of a controller that is set aside or draining are asked to retry;
another controller answers them then."""


@dataclass(frozen=True, slots=True)
class _Request:
    """A user's request, with the path separated from the query."""

    method: str
    target: str
    """Path and query as the client sent them."""
    path: str
    query: str
    body: bytes


@dataclass(frozen=True, slots=True)
class _Route:
    """A handler and the requests that it answers."""

    matches: Callable[[_Request], bool]
    handler: Callable[[_Request], Awaitable[Reply]]


class UserApi:
    """The handler of the address that users, workers and health checks use.

    An API that the site's options do not enable is None, and its paths do not exist.
    """

    def __init__(
        self,
        model: Model,
        state: StateClient,
        ledger: Ledger,
        membership: Membership,
        worker_manager: WorkerManager,
        redirect_reason: Callable[[], str | None],
        explain: ExplainApi | None = None,
        batch: BatchApi | None = None,
        accounting: AccountingApi | None = None,
        rollout: RolloutApi | None = None,
        classes: ClassesApi | None = None,
        runs: RunsApi | None = None,
        replicas: ReplicasOptions | None = None,
    ) -> None:
        self._model = model
        self._membership = membership
        self._worker_manager = worker_manager
        self._redirect_reason = redirect_reason
        self._rollout = rollout
        confirmations = VersionConfirmations(state)
        if runs is not None:
            runs.confirm_with(confirmations.unchanged)
        submissions = SubmissionsApi(model, ledger, confirmations, explain, batch, replicas)
        self._routes = [
            *_operator_routes(rollout, classes, runs),
            *_user_routes(explain, accounting, batch, submissions),
        ]

    async def handle(self, method: str, target: str, body: bytes) -> Reply:
        """Handles a request of a user or an operator."""
        unsupported_reason = self._model.unsupported_reason
        if unsupported_reason is not None:
            # This controller's replica has not been updated since it was set aside, and the
            # format of the records may have changed since.
            return error_reply(503, unsupported_reason, UNSUPPORTED_RETRY_AFTER_S)
        path, _, query = target.partition("?")
        request = _Request(method, target, path, query, body)
        try:
            for route in self._routes:
                if route.matches(request):
                    return await route.handler(request)
        except ProposalTooLargeError as error:
            return escaped_error_reply(400, str(error))
        except StateUnavailableError:
            return error_reply(503, "the state service cannot be asked", RETRY_AFTER_S)
        return no_such_path_reply()

    def dispatch(self, method: str, target: str, body: bytes) -> Reply | Awaitable[Reply]:
        """Handles any request. Workers' heartbeats and health checks are answered at once; others
        may wait for the state service."""
        if target == HEARTBEATS:
            if method != "POST":
                return error_reply(405, "POST only")
            return self._worker_manager.handle_heartbeat(body)
        if target.partition("?")[0] == READINESS:
            return self.readiness()
        if target == ROLLOUT and method == "GET" and self._rollout is not None:
            # Answered at once, so that it does not count among the open requests for which a
            # draining controller waits.
            return self._rollout.view()
        return self.handle(method, target, body)

    def readiness(self) -> Reply:
        """Returns 200 if load balancers should send users to this controller, otherwise 503."""
        # An outage that affects all controllers does not make this one unready: no other one
        # would be better, and the removal from the load balancer would outlast the outage.
        unsupported_reason = self._model.unsupported_reason
        if unsupported_reason is not None:
            return error_reply(503, unsupported_reason, UNSUPPORTED_RETRY_AFTER_S)
        if self._membership.is_unavailable(UnavailableReason.DRAINING):
            return error_reply(503, "leaving", UNSUPPORTED_RETRY_AFTER_S)
        if self._model.loaded and self._model.types and self._redirect_reason() is None:
            return Reply(200, b'{"ready":true}')
        return error_reply(503, "not ready", RETRY_AFTER_S)


def _operator_routes(
    rollout: RolloutApi | None, classes: ClassesApi | None, runs: RunsApi | None
) -> list[_Route]:
    """Returns the routes of operators' requests."""
    routes: list[_Route] = []
    if rollout is not None:
        routes.append(
            _Route(
                lambda request: request.target.startswith(ROLLOUT + "/"),
                lambda request: rollout.handle(request.method, request.target, request.body),
            )
        )
    if classes is not None:
        routes.append(
            _Route(
                lambda request: request.target == CLASSES,
                lambda request: classes.handle(request.method, request.body),
            )
        )
    if runs is not None:
        routes.append(
            _Route(
                lambda request: _is_at_or_below(request.path, RUNS),
                lambda request: runs.handle(request.method, request.target),
            )
        )
    return routes


def _user_routes(
    explain: ExplainApi | None,
    accounting: AccountingApi | None,
    batch: BatchApi | None,
    submissions: SubmissionsApi,
) -> list[_Route]:
    """Returns the routes of requests of users and batch clients."""
    routes: list[_Route] = []
    if explain is not None:
        routes.append(
            _Route(
                lambda request: request.path == QUEUE,
                lambda request: explain.handle_queue(request.method, request.query),
            )
        )
    if accounting is not None:
        routes.append(
            _Route(
                lambda request: request.path.startswith(ACCOUNTING),
                lambda request: accounting.handle(request.method, request.path, request.query),
            )
        )
    if batch is not None:
        routes.append(
            _Route(
                lambda request: request.path.startswith((NUMBERS, MACHINES)),
                lambda request: batch.handle(request.method, request.path, request.body),
            )
        )
    routes.append(
        _Route(
            lambda request: _is_at_or_below(request.path, SUBMISSIONS),
            lambda request: submissions.handle(request.method, request.path, request.body),
        )
    )
    return routes


def _is_at_or_below(path: str, root: str) -> bool:
    return path == root or path.startswith(root + "/")
