"""The model of the shared state: applies changes of the state service and of shard ownership."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from badgerseam.levels.table import FIRST
from badgerseam.model import keys
from badgerseam.model.job import Job, Phase
from badgerseam.model.machine_groups import apply_group, apply_shard_ownership
from badgerseam.model.placements import Placements
from badgerseam.model.state import (
    ObservedClaim,
    ObservedController,
    ObservedLevel,
    ObservedProxy,
    Shard,
)
from badgerseam.model.stored_jobs import apply_job
from badgerseam.model.task_pages import apply_job_rows, apply_page
from badgerseam.wire import state as wire
from badgerseam.wire.cloud import MachineType


@dataclass(slots=True)
class Model(Placements):
    """Applies the changes of the replicated state, in the order of the state service."""

    def apply(self, key: str, value: msgspec.Raw | None, version: int) -> None:
        """Applies one change; None is a removal."""
        if not key.startswith(keys.PREFIX):
            return
        kind, _, name = key[len(keys.PREFIX) :].partition("/")
        if kind == keys.JOB_KIND:
            if value is not None:
                apply_job(self, name, value, version)
        elif kind == keys.TYPES_KIND:
            if value is not None and version > self.types_version:
                self.set_types(msgspec.json.decode(value, type=list[MachineType]))
                self.types_version = version
        elif version > self.versions.get(key, 0):
            # During loading, a page may be read at a later revision than the one from which
            # changes are followed. Older changes that arrive afterwards must not undo it.
            self.versions[key] = version
            handler = _HANDLERS_BY_KEY.get(key) or _HANDLERS_BY_KIND.get(kind)
            if handler is not None:
                handler(self, name, value, version)

    # ---- handlers of one kind of record each ----

    def _apply_page(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        shard, _, number = name.partition("/")
        apply_page(self, int(shard), int(number), value, version)

    def _apply_level(self, _name: str, value: msgspec.Raw | None, version: int) -> None:
        if value is None:
            # After a removal there is no record for writes to be conditional on, so the version
            # is 0 as before the first record.
            self.level = ObservedLevel(FIRST, 0)
            return
        record: wire.SiteLevel = msgspec.json.decode(value, type=wire.SiteLevel)
        self.level = ObservedLevel(record.level, version, record.migrated)

    def _apply_format(self, _name: str, value: msgspec.Raw | None, _version: int) -> None:
        if value is not None:
            self.stored_format = msgspec.json.decode(value, type=wire.StoredFormat)

    def _apply_target(self, _name: str, value: msgspec.Raw | None, version: int) -> None:
        if value is None:
            self.target = None
        else:
            self.target = msgspec.json.decode(value, type=wire.TargetLevel), version

    def _apply_claim(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        index = int(name)
        if index >= len(self.shards):
            return
        shard = self.shards[index]
        if shard.claim is not None:
            shard.previous_owner = shard.claim.record.node
        shard.claim = _decode_claim(value, version)
        if shard.claim is None:
            shard.unowned_since = self.clock.now()
        else:
            shard.ever_claimed = True

    def _apply_leader(self, _name: str, value: msgspec.Raw | None, version: int) -> None:
        self.leader_claim = _decode_claim(value, version)

    def _apply_controller(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        if value is None:
            self.controllers.pop(name, None)
            return
        record: wire.ControllerRecord = msgspec.json.decode(value, type=wire.ControllerRecord)
        self.controllers[name] = ObservedController(record, version)

    def _apply_proxy(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        if value is None:
            self.proxies.pop(name, None)
            return
        record: wire.ProxyRecord = msgspec.json.decode(value, type=wire.ProxyRecord)
        self.proxies[name] = ObservedProxy(record, version)
        self.proxy_bounds.update({(name, owner): version for owner in record.owners})

    def _apply_rental(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        if value is None:
            self.rentals.pop(name, None)
            self.versions.pop(keys.rental_key(name), None)
            return
        self.rentals[name] = msgspec.json.decode(value, type=wire.StoredRental), version

    def _apply_classes(self, _name: str, value: msgspec.Raw | None, version: int) -> None:
        if value is None:
            self.classes = None
        else:
            self.classes = msgspec.json.decode(value, type=wire.StoredClasses), version
        self.shards_to_plan.update(range(len(self.shards)))

    def _apply_run(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        if value is None:
            return
        plan, _, number = name.rpartition("/")
        run: wire.StoredRun = msgspec.json.decode(value, type=wire.StoredRun)
        self.runs.setdefault(plan, {})[int(number)] = (run, version)
        if self.job_observer is not None:
            self.job_observer.on_run_changed(plan)
        self.shards_to_plan.update(range(len(self.shards)))

    def _apply_counts(self, name: str, value: msgspec.Raw | None, version: int) -> None:
        if value is None:
            return
        shard = self.shards[int(name)]
        counts: wire.StoredCounts = msgspec.json.decode(value, type=wire.StoredCounts)
        shard.counts_version = version
        if not shard.owned:
            shard.finished, shard.evicted = counts.finished, counts.evicted

    # ---- loading all of the state ----

    def begin_load(self) -> None:
        """Called before all keys are read and applied."""
        self.loading = True

    def end_load(self, revision: int, seen: set[str]) -> None:
        """Called when all keys have been read; `seen`: these keys.

        Removes the records that were not among them, and ended jobs that have no attempts left.
        """
        for key in self.removable_keys():
            if key not in seen:
                self.apply(key, None, revision)
        self.advance(revision)
        self.loading = False
        self.loaded = True
        self.load_count += 1
        for job in list(self.jobs):
            if job is not None:
                self.settle(job)

    def removable_keys(self) -> list[str]:
        """Returns the keys of all known records of those kinds that may be removed."""
        found = [keys.group_key(group) for group in self.groups]
        found += [keys.node_key(name) for name in self.controllers]
        found += [keys.proxy_key(name) for name in self.proxies]
        found += [keys.claim_key(shard.index) for shard in self.shards if shard.claim]
        found += [keys.rental_key(name) for name in self.rentals]
        for shard, pages in enumerate(self.pages):
            found += [keys.page_key(shard, page) for page in pages]
        if self.leader_claim is not None:
            found.append(keys.LEADER_KEY)
        if self.level.version:
            found.append(keys.LEVEL_KEY)
        if self.target is not None:
            found.append(keys.TARGET_KEY)
        if self.classes is not None:
            found.append(keys.CLASSES_KEY)
        return found

    # ---- ownership of shards ----

    def own(self, shard: Shard, term: int, others_renew_s: float) -> None:
        """Starts to act as the owner of a shard whose claim this controller now holds.

        `others_renew_s`: seconds for which earlier owners may continue to answer heartbeats.
        """
        shard.term = term
        shard.releasing = False
        # This has to be set before the reload: lingering cancelled jobs are settled by the owner,
        # which stops their tasks.
        shard.owned = True
        shard.owned_since = self.clock.now()
        self._reload(shard)
        for machine in self.shard_machines[shard.index].values():
            apply_shard_ownership(self, machine, others_renew_s)

    def disown(self, shard: Shard) -> None:
        """Stops acting as the owner of a shard, and discards its state that is not durable."""
        shard.owned = False
        shard.releasing = False
        for machine in self.shard_machines[shard.index].values():
            machine.reset_owner_state()
        self._reload(shard)

    def _reload(self, shard: Shard) -> None:
        """Resets a shard's jobs to their recorded state, without anything that is not durable."""
        shard.forget_pending_writes()
        jobs = list(self.open_jobs[shard.index].values())
        if self.accounts is not None:
            self.accounts.loading = True
        self._reload_rows(shard, jobs)
        if self.accounts is not None:
            self.accounts.loading = False
            for job in jobs:
                self.accounts.on_job_opened(job)
        if self.job_observer is not None and shard.owned:
            for job in jobs:
                self.job_observer.on_job_reread(job)
        for job in jobs:
            if job.finished == job.tasks and job.phase == Phase.OPEN and not job.is_service:
                job.ending = True
                self.jobs_ending.add(job.index)
            self.settle(job)
        self.shards_to_plan.add(shard.index)

    def _reload_rows(self, shard: Shard, jobs: list[Job]) -> None:
        """Resets the jobs of a shard and applies its pages again."""
        for job in jobs:
            job.reset()
        for number, page in self.pages[shard.index].items():
            for entry in page.jobs.values():
                job_of_entry = self.job(entry.job)
                if job_of_entry is not None:
                    apply_job_rows(self, job_of_entry, entry, number)


def _decode_claim(value: msgspec.Raw | None, version: int) -> ObservedClaim | None:
    if value is None:
        return None
    return ObservedClaim(msgspec.json.decode(value, type=wire.ClaimRecord), version)


_Handler = Callable[[Model, str, msgspec.Raw | None, int], None]
"""Applies a change to a record, given the rest of its key after the kind, its value and version."""

_HANDLERS_BY_KEY: dict[str, _Handler] = {
    keys.FORMAT_KEY: Model._apply_format,
    keys.LEVEL_KEY: Model._apply_level,
    keys.TARGET_KEY: Model._apply_target,
}
"""Handlers of single records that share their kind with others, by key."""

_HANDLERS_BY_KIND: dict[str, _Handler] = {
    keys.GROUP_KIND: apply_group,
    keys.PAGE_KIND: Model._apply_page,
    keys.CLAIM_KIND: Model._apply_claim,
    keys.LEADER_KIND: Model._apply_leader,
    keys.CONTROLLER_KIND: Model._apply_controller,
    keys.PROXY_KIND: Model._apply_proxy,
    keys.RENTAL_KIND: Model._apply_rental,
    keys.CLASSES_KIND: Model._apply_classes,
    keys.RUN_KIND: Model._apply_run,
    keys.COUNTS_KIND: Model._apply_counts,
}
