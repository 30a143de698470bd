"""At-most-once for requests that carry an idempotency key.

A claim is a row that is written before the request is dispatched. Only
the node whose token stands in the row may dispatch, and only once.
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

_ROW_BODY_BYTES = 32 * 1024
_COMMIT_SECONDS = 3.0
_FINISH_SECONDS = 1.0
_REVOKE_PERIOD_SECONDS = 0.5


class ClaimState(peridotsill.TextEnum):
    """What is known of a claimed request."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@attrs.frozen(kw_only=True)
class KeptAnswer:
    """An answer kept for repeats; a long body is kept as an object."""

    status: int
    headers: tuple[peridotsill.Header, ...]
    body: str = ""
    body_object: str = ""


@attrs.frozen(kw_only=True)
class ClaimRow:
    """A claim as it stands in the table."""

    token: str
    node: str
    request: str
    digest: str
    state: ClaimState
    expires_at: float
    answer: KeptAnswer | None = None


@attrs.frozen(kw_only=True)
class Claim:
    """The right to dispatch a keyed request once."""

    key: str
    row: ClaimRow
    version: int


@attrs.frozen(kw_only=True)
class Denied:
    """Why a keyed request may not be dispatched."""

    problem: peridotsill.Problem


BeginResult = result.Result[Claim, Denied | peridotsill.Answer]


def _problem(
    status: int,
    detail: str,
    ran: peridotsill.Ran,
    retry_after_seconds: float | None = None,
) -> Denied:
    return Denied(
        problem=peridotsill.Problem(
            status=status,
            title="Keyed request not dispatched",
            detail=detail,
            ran=ran,
            retry_after_seconds=retry_after_seconds,
        )
    )


class Claims:
    """Takes, keeps and gives back claims."""

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
    def backlog(self) -> int:
        """Number of claims whose end is not yet in the table."""
        return len(self._to_revoke) + len(self._to_finish)

    def start(self) -> None:
        """Start the thread that settles claims after outages."""
        threading.Thread(target=self._settle_loop, daemon=True).start()

    def stop(self) -> None:
        """Try once more to settle what is open, and end."""
        self._stopped.set()
        self._settle()

    def begin(
        self, request: peridotsill.Request, claim_seconds: float
    ) -> BeginResult:
        """Claim a request, or tell what became of an earlier one."""
        row = ClaimRow(
            token=uuid.uuid4().hex,
            node=self._node,
            request=request.id,
            digest=_digest(request),
            state=ClaimState.RUNNING,
            expires_at=time.time() + claim_seconds,
        )
        key = _row_key(request)
        return self._begin(Claim(key=key, row=row, version=0), request)

    def _begin(
        self, claim: Claim, request: peridotsill.Request
    ) -> BeginResult:
        doubtful = False
        until = time.monotonic() + min(
            _COMMIT_SECONDS, request.remaining_seconds
        )
        while True:
            left = until - time.monotonic()
            match self._write(claim, claim.row, left):
                case result.Success(revision):
                    return result.Success(
                        attrs.evolve(claim, version=revision)
                    )
                case result.Failure(platform_exceptions.OutcomeUnknown()):
                    doubtful = True
                case result.Failure(platform_exceptions.TableUnavailable()):
                    if not doubtful:
                        return result.Failure(_table_down())
            if until - time.monotonic() <= 0:
                self._to_revoke.append(claim)
                return result.Failure(_table_down())
            found = self._read(claim.key)
            if found is None:
                # Neither a failed commit nor a failed read says more.
                time.sleep(0.02)
                continue
            if not found:
                claim = attrs.evolve(claim, version=0)
                continue
            held = _parse(found[0])
            if held.token == claim.row.token:
                version = found[0].version
                return result.Success(attrs.evolve(claim, version=version))
            if _is_free(held):
                claim = attrs.evolve(claim, version=found[0].version)
                continue
            return result.Failure(self._earlier(held, claim.row))

    def _read(self, key: str) -> tuple[peridotsill.Row, ...] | None:
        nothing: tuple[peridotsill.Row, ...] | None = None
        return self._table.read((key,)).value_or(nothing)

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

    def _earlier(
        self, held: ClaimRow, row: ClaimRow
    ) -> Denied | peridotsill.Answer:
        if held.digest != row.digest:
            return _problem(
                422,
                "this Idempotency-Key was used for another request",
                peridotsill.Ran.NO,
            )
        if held.state is ClaimState.DONE and held.answer is not None:
            return self._kept(held.answer)
        if held.state is ClaimState.RUNNING and self._is_live(held.node):
            return _problem(
                409,
                f"still running as {held.request}",
                peridotsill.Ran.UNKNOWN,
                retry_after_seconds=1.0,
            )
        return _problem(
            409,
            f"it may have run as {held.request}; its outcome was lost and"
            " it will not be run again",
            peridotsill.Ran.UNKNOWN,
        )

    def _kept(self, kept: KeptAnswer) -> Denied | peridotsill.Answer:
        body = base64.b64decode(kept.body)
        if kept.body_object:
            try:
                found = self._objects.get(kept.body_object)
            except platform_exceptions.StoreUnavailable:
                found = None
            if found is None:
                return _problem(
                    503,
                    "it has run; its answer can't be read just now",
                    peridotsill.Ran.UNKNOWN,
                    retry_after_seconds=2.0,
                )
            body = found
        return peridotsill.Answer(
            status=kept.status, headers=kept.headers, body=body
        )

    def finish(self, claim: Claim, answer: peridotsill.Answer) -> None:
        """Keep the answer of a request that has run."""
        kept = self._keep(claim, answer)
        state = ClaimState.UNKNOWN if kept is None else ClaimState.DONE
        self._end(claim, attrs.evolve(claim.row, state=state, answer=kept))

    def _keep(
        self, claim: Claim, answer: peridotsill.Answer
    ) -> KeptAnswer | None:
        kept = KeptAnswer(status=answer.status, headers=answer.headers)
        if len(answer.body) <= _ROW_BODY_BYTES:
            body = base64.b64encode(answer.body).decode()
            return attrs.evolve(kept, body=body)
        name = f"answers/{claim.row.token}"
        try:
            self._objects.put(name, answer.body)
        except platform_exceptions.StoreUnavailable:
            return None
        return attrs.evolve(kept, body_object=name)

    def lose(self, claim: Claim) -> None:
        """Record that a request may have run and its answer is lost."""
        row = attrs.evolve(claim.row, state=ClaimState.UNKNOWN)
        self._end(claim, row)

    def _end(self, claim: Claim, row: ClaimRow) -> None:
        match self._write(claim, row, _FINISH_SECONDS):
            case result.Success(_):
                return
            case _:
                self._to_finish.append(attrs.evolve(claim, row=row))

    def revoke(self, claim: Claim) -> None:
        """Give back a claim of a request that has certainly not run."""
        match self._write(claim, None, _FINISH_SECONDS):
            case result.Success(_):
                return
            case _:
                self._to_revoke.append(claim)

    def _settle_loop(self) -> None:
        while not self._stopped.wait(_REVOKE_PERIOD_SECONDS):
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
        again = attrs.evolve(claim, version=found[0].version)
        return _committed(self._write(again, claim.row, _FINISH_SECONDS))

    def _settle_revoke(self, claim: Claim) -> bool:
        found = self._read(claim.key)
        if found is None:
            return False
        if found and _parse(found[0]).token != claim.row.token:
            return True
        version = found[0].version if found else 0
        # The row is replaced, not deleted: a late commit of the claim
        # demands that none is there, and so can't take effect any more.
        row = attrs.evolve(claim.row, state=ClaimState.RELEASED)
        again = attrs.evolve(claim, version=version)
        return _committed(self._write(again, row, _FINISH_SECONDS))


def _table_down() -> Denied:
    return _problem(
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


def _is_free(row: ClaimRow) -> bool:
    return row.state is ClaimState.RELEASED or row.expires_at < time.time()


def _parse(row: peridotsill.Row) -> ClaimRow:
    return peridotsill.from_plain(row.value, ClaimRow)


def _row_key(request: peridotsill.Request) -> str:
    digest = peridotsill.short_digest(request.key or "")
    return f"claims/{request.service}/{digest}"


def _digest(request: peridotsill.Request) -> str:
    text = f"{request.method} {request.target} {request.body.hex()}"
    return peridotsill.short_digest(text)
