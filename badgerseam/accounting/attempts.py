"""The log of attempts: what each one was, where, how long, and why it ended.

Written behind the urgent writes, many records to a value, under keys that sort by time and that no
controller follows. A record is what one controller has seen of an end; it is true whoever acts for
the share by the time it is written, so that it depends on no claim. Two owners may have seen the
end of the same attempt, the first without making it durable: reading keeps one, the one that
measured it.
"""

from __future__ import annotations

import asyncio
import base64
import logging
import zlib
from collections import deque
from collections.abc import Callable

import msgspec

from badgerseam.background import BackgroundTasks
from badgerseam.model.model import Model
from badgerseam.settings import AccountingOptions
from badgerseam.store.client import ConditionFailedError, StateClient, StateUnavailableError
from badgerseam.store.committer import GroupCommitter, ProposalDroppedError, Urgency
from badgerseam.wire import state as wire
from badgerseam.wire.accounting import AttemptRecord

log = logging.getLogger("badgerseam.accounting")

PREFIX = "ba/"
MAX_WAITING_RECORDS = 20_000
"""Records of a share that wait for their write; what comes beyond is given up, and counted. (The
oldest may be on their way.)"""
FILL_FRACTION = 0.9
MAX_RECORDS_PER_VALUE = 400
RECORD_BYTES = 48
"""What a record takes, roughly, when it is packed; the size is checked before it is written."""
MAX_PAGES_READ = 20
TRIM_ROUNDS = 60
MAX_KEYS_TRIMMED = 10
LATE_S = 120.0
"""How long after its end an attempt's record may be written and still be found by its time."""

_pack = msgspec.msgpack.Encoder().encode
_unpack: msgspec.msgpack.Decoder[list[AttemptRecord]] = msgspec.msgpack.Decoder(list[AttemptRecord])


def pack(records: list[AttemptRecord]) -> str:
    """Records as they are stored: a JSON string."""
    return base64.b85encode(zlib.compress(_pack(records), 6)).decode()


def unpack(text: str) -> list[AttemptRecord]:
    """Stored records; ValueError if that is not what it is."""
    try:
        return _unpack.decode(zlib.decompress(base64.b85decode(text)))
    except (zlib.error, msgspec.DecodeError) as error:
        raise ValueError(str(error)) from error


def log_key(shard: int, at: float, node: str, serial: int) -> str:
    """A key that sorts by time, and that no other controller or write has."""
    return f"{PREFIX}{shard}/{round(at * 1000):015d}-{node}-{serial}"


class AttemptLog:
    """Writes what ends here, reads what anybody wrote."""

    def __init__(
        self,
        model: Model,
        state: StateClient,
        committer: GroupCommitter,
        options: AccountingOptions,
        node: Callable[[], str],
    ) -> None:
        self._model = model
        self._state = state
        self._committer = committer
        self._options = options
        self._node = node
        self._waiting: list[deque[AttemptRecord]] = [deque() for _ in model.shards]
        self._writing: set[int] = set()
        self._serial = 0
        self.given_up = 0
        self._tasks = BackgroundTasks()

    def __len__(self) -> int:
        return sum(map(len, self._waiting))

    def add(self, shard: int, record: AttemptRecord) -> None:
        """An attempt has ended."""
        queue = self._waiting[shard]
        if len(queue) >= MAX_WAITING_RECORDS:
            self.given_up += 1
        else:
            queue.append(record)

    # ---- writing ----

    async def keep(self) -> None:
        """Write what has gathered, for ever."""
        rounds = 0
        while True:
            await asyncio.sleep(self._options.log_s)
            rounds += 1
            self.flush()
            if rounds % TRIM_ROUNDS == 0:
                await self.trim()

    def flush(self) -> None:
        """Start the writes that are due, one a share at a time."""
        for shard, queue in enumerate(self._waiting):
            if queue and shard not in self._writing:
                self._writing.add(shard)
                self._tasks.spawn(self._write(shard))

    async def _write(self, shard: int) -> None:
        queue = self._waiting[shard]
        try:
            while queue:
                records, text = self._take(queue)
                self._serial += 1
                key = log_key(shard, self._model.clock.wall(), self._node(), self._serial)
                write = wire.Write(put=key, value=wire.raw(text))
                try:
                    await self._committer.commit(Urgency.UPKEEP, {key: 0}, [write])
                except ConditionFailedError:
                    # Nobody else has this key: an earlier sending was applied.
                    log.debug("%s is there already", key)
                for _ in records:
                    queue.popleft()
        except (StateUnavailableError, ProposalDroppedError):
            log.debug("share %d: %d attempts not logged yet", shard, len(queue))
        finally:
            self._writing.discard(shard)

    def _take(self, queue: deque[AttemptRecord]) -> tuple[list[AttemptRecord], str]:
        """The oldest records that fit into one value; they stay queued until it is written."""
        limit = int(self._state.params.value_kb * 1024 * FILL_FRACTION)
        count = min(len(queue), MAX_RECORDS_PER_VALUE, max(1, limit // RECORD_BYTES))
        while True:
            records = [queue[place] for place in range(count)]
            text = pack(records)
            if len(text) + 2 <= limit or count == 1:
                return records, text
            count = max(1, count * 3 // 4)

    async def trim(self) -> None:
        """Delete what is older than is to be kept, a little at a time, of owned shares."""
        oldest = self._model.clock.wall() - self._options.log_days * 86400
        for shard in self._model.shards:
            if not shard.owned:
                continue
            prefix = f"{PREFIX}{shard.index}/"
            try:
                page = await self._state.page(prefix, None)
                end = log_key(shard.index, oldest, "", 0)
                old = [entry for entry in page.items if entry.key < end][:MAX_KEYS_TRIMMED]
                if old:
                    await self._committer.commit(
                        Urgency.UPKEEP, {}, [wire.Write(delete=entry.key) for entry in old], 5.0
                    )
            except (ConditionFailedError, StateUnavailableError, ProposalDroppedError) as error:
                log.debug("share %d: not trimmed: %s", shard.index, error)

    # ---- reading ----

    async def read(
        self, shard: int, job: str, since: float, until: float
    ) -> tuple[list[AttemptRecord], bool]:
        """The attempts of a job whose records were written between two times of day, each once;
        and whether all of that time could be looked at. Unavailable if the service cannot be
        asked."""
        prefix = f"{PREFIX}{shard}/"
        after = log_key(shard, max(0.0, since), "", 0)
        end = log_key(shard, until + LATE_S, "~", 0)
        found: dict[tuple[int, int], AttemptRecord] = {}

        def take(record: AttemptRecord) -> None:
            if record.job != job:
                return
            key = (record.task, record.attempt)
            known = found.get(key)
            if known is None or (known.seconds is None and record.seconds is not None):
                found[key] = record

        for record in self._waiting[shard]:
            take(record)
        whole = False
        for _ in range(MAX_PAGES_READ):
            page = await self._state.page(prefix, after)
            for entry in page.items:
                if entry.key <= end:
                    for record in unpack(msgspec.json.decode(entry.value, type=str)):
                        take(record)
            if not page.more or not page.items or page.items[-1].key > end:
                whole = True
                break
            after = page.items[-1].key
        return [found[key] for key in sorted(found)], whole
