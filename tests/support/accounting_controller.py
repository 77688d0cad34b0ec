"""A controller with accounting, with scripted peers."""

from __future__ import annotations

import msgspec

from badgerseam.accounting.accounts import JobAccounts
from badgerseam.model.keys import job_key
from badgerseam.model.machine import Machine
from badgerseam.wire import state as wire
from badgerseam.wire.accounting import AccountingLine
from tests.support.scripted_peers import ControllerFixture, Worker


class AccountingController(ControllerFixture):
    """A controller that keeps accounts of jobs and attempts."""

    def __init__(self, peer: ControllerFixture | None = None) -> None:
        super().__init__(peer=peer)
        self.accounts = JobAccounts(self.model, 1000)
        self.model.accounts = self.accounts

    def line(self, job_id: str = "job-000001") -> AccountingLine:
        """Returns the accounting line of a job that has ended."""
        history = self.accounts.history.get(job_id)
        assert history is not None
        return history

    def stored(self, job_id: str = "job-000001") -> wire.StoredJob:
        """Returns the stored record of a job."""
        value = self.state.data[job_key(job_id)][0]
        stored: wire.StoredJob = msgspec.json.decode(value, type=wire.StoredJob)
        return stored

    def up(self) -> tuple[Machine, Worker]:
        """Adds a machine whose worker has sent a heartbeat; returns both."""
        worker = Worker()
        machine = self.machine()
        self.report(worker)
        return machine, worker

    def start(self, worker: Worker) -> None:
        """Places the waiting tasks durably, launches them and receives heartbeats that show them
        running."""
        self.plan()
        self.run(self.settle(30))
        for _ in range(3):
            self.report(worker)

    def close(self) -> None:
        """Writes the summaries of ended jobs that are due."""

        async def work() -> None:
            self.ledger.write_summaries()
            await self.settle(20)

        self.run(work())


def accounting_controller() -> AccountingController:
    """Returns a controller with accounting that owns its shard."""
    controller = AccountingController()
    controller.own()
    return controller
