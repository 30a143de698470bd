"""At-most-once execution of requests that carry an idempotency key.

A claim is a table row that is written before the request is dispatched.
Only the node that wrote the row's token may dispatch the request, and only
once.
"""

import base64
import collections
import threading
import time
import typing
import uuid

import attrs
import peridotsill
from returns import result

import peridotsill_platform
from peridotsill_platform import exceptions as platform_exceptions

_MAX_ROW_BODY_BYTES = 32 * 1024
_BEGIN_TIMEOUT_SECONDS = 3.0
_SETTLE_TIMEOUT_SECONDS = 1.0
_SETTLE_PERIOD_SECONDS = 0.5


class ClaimState(peridotsill.TextEnum):
    """Whether a claimed request has run, as far as is known."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.frozen(kw_only=True)
class StoredAnswer:
    """An answer stored for repeats; long bodies go to the object store."""

    status: int
    headers: tuple[peridotsill.Header, ...]
    body: str = ""
    body_object: str = ""


@attrs.frozen(kw_only=True)
class ClaimRow:
    """A claim as stored in the table."""

    token: str
    node: str
    request: str
    digest: str
    state: ClaimState
    expires_at: float
    answer: StoredAnswer | None = None


@attrs.frozen(kw_only=True)
class Claim:
    """The right to dispatch a keyed request once."""

    key: str
    row: ClaimRow
    version: int


@attrs.frozen(kw_only=True)
class Denial:
    """Why a keyed request may not be dispatched."""

    problem: peridotsill.Problem


BeginResult = result.Result[Claim, Denial | peridotsill.Answer]


def _denial(
    status: int,
    detail: str,
    ran: peridotsill.Ran,
    retry_after_seconds: float | None = None,
) -> Denial:
    return Denial(
        problem=peridotsill.Problem(
            status=status,
            title="Keyed request not dispatched",
            detail=detail,
            ran=ran,
            retry_after_seconds=retry_after_seconds,
        )
    )


class Claims:
    """Creates, completes and revokes claims."""

    def __init__(
        self,
        *,
        node: str,
        table: peridotsill_platform.Table,
        committer: peridotsill_platform.GroupCommitter,
        objects: peridotsill_platform.ObjectStore,
        is_live: typing.Callable[[str], bool],
    ) -> None:
        self._node = node
        self._table = table
        self._committer = committer
        self._objects = objects
        self._is_live = is_live
        self._to_revoke: collections.deque[Claim] = collections.deque()
        self._to_finish: collections.deque[Claim] = collections.deque()
        self._stopped = threading.Event()

    @property
    def unsettled_count(self) -> int:
        """Number of claims whose final write or removal is to be retried."""
        return len(self._to_revoke) + len(self._to_finish)

    def start(self) -> None:
        """Start the thread that retries failed writes of final states."""
        threading.Thread(target=self._settle_loop, daemon=True).start()

    def stop(self) -> None:
        """Stop the retry thread, and retry each failed write once more."""
        self._stopped.set()
        self._settle()

    def begin(
        self, request: peridotsill.Request, claim_seconds: float
    ) -> BeginResult:
        """Claim a request, or report why it may not be dispatched.

        It may not if an earlier request with the same key holds the claim,
        whose stored answer is returned if there is one, or if the table
        can't take the claim.
        """
        row = ClaimRow(
            token=uuid.uuid4().hex,
            node=self._node,
            request=request.id,
            digest=_digest(request),
            state=ClaimState.RUNNING,
            expires_at=time.time() + claim_seconds,
        )
        key = _row_key(request)
        return self._commit_claim(Claim(key=key, row=row, version=0), request)

    def _commit_claim(
        self, claim: Claim, request: peridotsill.Request
    ) -> BeginResult:
        may_be_committed = False
        end_at = time.monotonic() + min(
            _BEGIN_TIMEOUT_SECONDS, request.remaining_seconds
        )
        while True:
            remaining = end_at - time.monotonic()
            match self._write(claim, claim.row, remaining):
                case result.Success(revision):
                    return result.Success(
                        attrs.evolve(claim, version=revision)
                    )
                case result.Failure(platform_exceptions.OutcomeUnknown()):
                    may_be_committed = True
                case result.Failure(platform_exceptions.TableUnavailable()):
                    if not may_be_committed:
                        return result.Failure(_table_unavailable())
            if end_at - time.monotonic() <= 0:
                self._to_revoke.append(claim)
                return result.Failure(_table_unavailable())
            found = self._read(claim.key)
            if found is None:
                # Neither the commit nor the read succeeded: it is unknown
                # which claim holds the key, so the commit is tried again.
                time.sleep(0.02)
                continue
            if not found:
                claim = attrs.evolve(claim, version=0)
                continue
            existing = _parse(found[0])
            if existing.token == claim.row.token:
                version = found[0].version
                return result.Success(attrs.evolve(claim, version=version))
            if _is_claimable(existing):
                claim = attrs.evolve(claim, version=found[0].version)
                continue
            return result.Failure(
                self._outcome_of_existing(existing, claim.row)
            )

    def _read(self, key: str) -> tuple[peridotsill.Row, ...] | None:
        unavailable: tuple[peridotsill.Row, ...] | None = None
        return self._table.read((key,)).value_or(unavailable)

    def _write(
        self, claim: Claim, row: ClaimRow | None, timeout_seconds: float
    ) -> peridotsill_platform.CommitResult:
        value = None if row is None else peridotsill.to_plain(row)
        transaction = peridotsill_platform.Transaction(
            checks=(
                peridotsill_platform.Check(
                    key=claim.key, version=claim.version
                ),
            ),
            writes=(peridotsill_platform.Write(key=claim.key, value=value),),
        )
        return self._committer.commit(transaction, timeout_seconds)

    def _outcome_of_existing(
        self, existing: ClaimRow, row: ClaimRow
    ) -> Denial | peridotsill.Answer:
        if existing.digest != row.digest:
            return _denial(
                422,
                "this Idempotency-Key was used for another request",
                peridotsill.Ran.NO,
            )
        if existing.state is ClaimState.DONE and existing.answer is not None:
            return self._load_answer(existing.answer)
        if existing.state is ClaimState.RUNNING and self._is_live(
            existing.node
        ):
            return _denial(
                409,
                f"still running as {existing.request}",
                peridotsill.Ran.UNKNOWN,
                retry_after_seconds=1.0,
            )
        return _denial(
            409,
            f"it may have run as {existing.request}; its outcome was lost and"
            " it will not be run again",
            peridotsill.Ran.UNKNOWN,
        )

    def _load_answer(
        self, stored: StoredAnswer
    ) -> Denial | peridotsill.Answer:
        body = base64.b64decode(stored.body)
        if stored.body_object:
            try:
                found = self._objects.get(stored.body_object)
            except platform_exceptions.StoreUnavailable:
                found = None
            if found is None:
                return _denial(
                    503,
                    "it has run; its answer can't be read just now",
                    peridotsill.Ran.UNKNOWN,
                    retry_after_seconds=2.0,
                )
            body = found
        return peridotsill.Answer(
            status=stored.status, headers=stored.headers, body=body
        )

    def finish(self, claim: Claim, answer: peridotsill.Answer) -> None:
        """Store the answer of a request that has run.

        If the object store can't take a long answer, the claim is marked
        as unknown instead.
        """
        stored = self._store_answer(claim, answer)
        state = ClaimState.UNKNOWN if stored is None else ClaimState.DONE
        self._write_final(
            claim, attrs.evolve(claim.row, state=state, answer=stored)
        )

    def _store_answer(
        self, claim: Claim, answer: peridotsill.Answer
    ) -> StoredAnswer | None:
        stored = StoredAnswer(status=answer.status, headers=answer.headers)
        if len(answer.body) <= _MAX_ROW_BODY_BYTES:
            body = base64.b64encode(answer.body).decode()
            return attrs.evolve(stored, body=body)
        name = f"answers/{claim.row.token}"
        try:
            self._objects.put(name, answer.body)
        except platform_exceptions.StoreUnavailable:
            return None
        return attrs.evolve(stored, body_object=name)

    def mark_unknown(self, claim: Claim) -> None:
        """Record that a request may have run but has no stored answer."""
        row = attrs.evolve(claim.row, state=ClaimState.UNKNOWN)
        self._write_final(claim, row)

    def _write_final(self, claim: Claim, row: ClaimRow) -> None:
        match self._write(claim, row, _SETTLE_TIMEOUT_SECONDS):
            case result.Success(_):
                return
            case _:
                self._to_finish.append(attrs.evolve(claim, row=row))

    def revoke(self, claim: Claim) -> None:
        """Remove the claim of a request that has certainly not run."""
        match self._write(claim, None, _SETTLE_TIMEOUT_SECONDS):
            case result.Success(_):
                return
            case _:
                self._to_revoke.append(claim)

    def _settle_loop(self) -> None:
        while not self._stopped.wait(_SETTLE_PERIOD_SECONDS):
            self._settle()

    def _settle(self) -> None:
        for queue, settle in (
            (self._to_finish, self._settle_finish),
            (self._to_revoke, self._settle_revoke),
        ):
            for _ in range(len(queue)):
                claim = queue.popleft()
                if not settle(claim):
                    queue.append(claim)

    def _settle_finish(self, claim: Claim) -> bool:
        found = self._read(claim.key)
        if found is None:
            return False
        if not found or _parse(found[0]).token != claim.row.token:
            return True
        retried = attrs.evolve(claim, version=found[0].version)
        return _committed(
            self._write(retried, claim.row, _SETTLE_TIMEOUT_SECONDS)
        )

    def _settle_revoke(self, claim: Claim) -> bool:
        found = self._read(claim.key)
        if found is None:
            return False
        if found and _parse(found[0]).token != claim.row.token:
            return True
        version = found[0].version if found else 0
        # The row is replaced rather than deleted. A delayed commit of the
        # claim requires the version from before the claim (0 if there was
        # no row), and so fails from now on.
        row = attrs.evolve(claim.row, state=ClaimState.RELEASED)
        retried = attrs.evolve(claim, version=version)
        return _committed(self._write(retried, row, _SETTLE_TIMEOUT_SECONDS))


def _table_unavailable() -> Denial:
    return _denial(
        503,
        "the platform's table can't take the claim",
        peridotsill.Ran.NO,
        retry_after_seconds=2.0,
    )


def _committed(outcome: peridotsill_platform.CommitResult) -> bool:
    match outcome:
        case result.Success(_):
            return True
        case _:
            return False


def _is_claimable(row: ClaimRow) -> bool:
    return row.state is ClaimState.RELEASED or row.expires_at < time.time()


def _parse(row: peridotsill.Row) -> ClaimRow:
    return peridotsill.from_plain(row.value, ClaimRow)


def _row_key(request: peridotsill.Request) -> str:
    digest = peridotsill.short_digest(request.idempotency_key or "")
    return f"claims/{request.service}/{digest}"


def _digest(request: peridotsill.Request) -> str:
    text = f"{request.method} {request.target} {request.body.hex()}"
    return peridotsill.short_digest(text)
