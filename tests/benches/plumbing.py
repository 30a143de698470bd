"""Measures what the scheduler's process spends outside of its decisions.

``PYTHONPATH=tests python -m benches.plumbing`` prints the processor time of
each piece of work, without network except for the calls to one runner, over
loopback. The pieces are those of a peak: a job's row, a reading of the
registry, a commit of a batch, a start with its answer, a poll, a log line.
With ``--answer`` it is the runner of these calls, in a process of its own.
"""

import base64
import collections.abc
import contextlib
import io
import pathlib
import resource
import socket
import subprocess
import sys
import threading
import time
import unittest.mock

import attrs
import eliot
from emulator import stubs
import orjson
import peridotsill
from returns import result

from peridotsill_adapter import _documents
from peridotsill_adapter import _machines
from peridotsill_adapter import _runners
from peridotsill_adapter import _table
from peridotsill_adapter import _unreadable
from peridotsill_jobs import _grants
from peridotsill_jobs import _job_store
from peridotsill_jobs import _links
from peridotsill_jobs import _logs
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _runner_client
import peridotsill_scheduler as scheduler

_RUNNERS = 276
_JOBS = 45
_TASKS = 6
_CALLS = 400
_LINES = 2000
_REPETITIONS = 15
_QUEUE = scheduler.Queue(name="q", host="h", prefix="/q/", pool="p")


@attrs.frozen(kw_only=True)
class Cost:
    """The user time of one piece of work.

    It is the least of a few runs, as what else runs on the machine only adds
    to it. System time is left out: it is that of the loopback interface.
    """

    work: str
    microseconds: float


def measure() -> list[Cost]:
    """Measure all pieces of work."""
    return [
        _cost("a submitted job's row, parsed", _parse_rows(), _JOBS),
        _cost("the registry, 276 entries", _read_registry(), 1),
        _cost("the list of 276 VMs", _list_vms(), 1),
        _cost("the commit of 45 jobs of 6 tasks", _commit_batch(), 1),
        _cost("a log line, with its encoding", _write_lines(), _LINES),
        _cost("a report of 10 runs and an end", _decode_reports(), _CALLS),
        *_measure_calls(),
    ]


def _cost(
    work: str, run: collections.abc.Callable[[], None], count: int
) -> Cost:
    run()
    seconds = []
    for _ in range(_REPETITIONS):
        began = _user_seconds()
        run()
        seconds.append(_user_seconds() - began)
    return Cost(work=work, microseconds=min(seconds) / count * 1e6)


def _user_seconds() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_utime


def _job(number: int) -> scheduler.Job:
    steps = (
        scheduler.Step(
            index=0,
            task_count=_TASKS - 1,
            demand=scheduler.Resources(cores=2, memory_mib=512),
            estimated_seconds=0.4,
        ),
        scheduler.Step(
            index=1, task_count=1, after=(0,), estimated_seconds=0.3
        ),
    )
    job = scheduler.Job(
        spec=scheduler.JobSpec(
            id=f"{number:016x}", queue="q", payload="{}", steps=steps
        ),
        queue=_QUEUE,
        arrived_at=time.monotonic(),
    )
    scheduler.open_occurrences(job, 0.0)
    for task in job.tasks:
        task.run, task.lifetime = 1, 1700000000000
        task.runner = f"m-{number:05x}-1"
    return job


def _parse_rows() -> collections.abc.Callable[[], None]:
    rows = [
        peridotsill.Row(
            key=f"jobs/q.0/{number:016x}",
            value=_records.submission_value(
                _records.Submission(
                    spec=_job(number).spec, queue=_QUEUE, arrived_ms=1.0
                )
            ),
            version=1,
        )
        for number in range(_JOBS)
    ]

    def run() -> None:
        for row in rows:
            _records.parse_submission(row)

    return run


def _entry(number: int, sequence: int) -> dict[str, object]:
    return {
        "service": "trails",
        "address": f"127.0.{number // 200}.{number % 200 + 1}:8080",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "capacity": {"cpu": 8000, "mem_mb": 16384, "gpu": 0},
        "labels": ["general", f"r-{number % 12}"],
        "seq": sequence,
        "born": 1700000000000 + number,
        "machine": f"m-{number:05x}",
    }


class _Client:
    """Answers each call with a function's result, encoded and decoded."""

    def __init__(self, answer: collections.abc.Callable[[], object]) -> None:
        self._answer = answer

    def call(self, method: str, path: str, body: object = None, **_) -> object:
        """Encode the body as a client does, and return the answer."""
        if body is not None:
            peridotsill.encode(body)
        return self._answer()


def _read_registry() -> collections.abc.Callable[[], None]:
    """Read entries of which ``seq`` has changed since the last reading."""
    sequence = 0

    def answer() -> object:
        nonlocal sequence
        sequence += 1
        return {
            "rows": [
                {
                    "table": "servers",
                    "part": "",
                    "key": f"i-{number}",
                    "value": base64.b64encode(
                        orjson.dumps(_entry(number, sequence))
                    ).decode(),
                    "ver": sequence,
                }
                for number in range(_RUNNERS)
            ],
            "ver": sequence,
        }

    # Made before, so that only their reading is measured.
    answers = [answer() for _ in range(_REPETITIONS + 1)]
    unreadable_rows = _unreadable.UnreadableRows()
    table = _table.RowTable(
        client=_Client(lambda: answers.pop()),
        timeout_seconds=1.0,
        unreadable_rows=unreadable_rows,
    )
    documents = _documents.PlatformDocuments(unreadable_rows=unreadable_rows)

    def run() -> None:
        for row in table.scan(("servers//",)).unwrap().rows:
            documents.runner(row)

    return run


def _list_vms() -> collections.abc.Callable[[], None]:
    answer = {
        "machines": [
            {
                "machine": f"m-{number:05x}",
                "service": "trails",
                "pool": "trails",
                "state": "up",
                "zone": "z1",
                "labels": ["general", f"r-{number % 12}"],
                "capacity": {"cpu": 8000, "mem_mb": 16384, "gpu": 0},
                "id": f"i-{number}",
            }
            for number in range(_RUNNERS)
        ]
    }
    machines = _machines.MachineClient(client=_Client(lambda: answer))
    return lambda: machines.list_vms() and None


def _commit_batch() -> collections.abc.Callable[[], None]:
    table = _table.RowTable(
        client=_Client(lambda: {"ver": 1}),
        timeout_seconds=1.0,
        unreadable_rows=_unreadable.UnreadableRows(),
    )
    store = _job_store.JobStore(
        table=table,
        catalog=unittest.mock.Mock(),
        lease=unittest.mock.Mock(epoch=1, lost=False),
        counters=peridotsill.Counters(),
    )
    jobs = [_job(number) for number in range(_JOBS)]

    def run() -> None:
        for job in jobs:
            store.mark_dirty(job)
        store.commit()

    return run


def _write_lines() -> collections.abc.Callable[[], None]:
    writer = _logs.LogWriter(stream=io.BytesIO())

    def run() -> None:
        for number in range(_LINES):
            _logs.log(
                "task:start",
                job="00000000000000aa",
                task="0.0.0",
                run=number,
                runner="m-00001-1",
                vm="m-00001",
                pool="trails",
                free_cores=6.25,
                crashes=0,
                age_seconds=0.125,
                epoch=2,
            )
        writer._flush()

    eliot.add_destinations(writer.accept)
    return run


def _decode_reports() -> collections.abc.Callable[[], None]:
    """Decode the same report, as a runner repeats it while its tasks run."""
    tasks = [f"00000000000000aa.0.0.{number}" for number in range(11)]
    answer = result.Success(
        {
            "clock_ms": 5000.0,
            "born": 1700000000000,
            "running": [[task, 1, "", 100, 2.0] for task in tasks[1:]],
            "ended": [[7, tasks[0], 1, "done", ""]],
        }
    )
    calls = _runners.runner_calls(stubs.runner_entry())
    read = calls.poll(
        fence=1,
        last_seen=0,
        lease_until_ms=None,
        wait_seconds=0.0,
        timeout_seconds=1.0,
    ).read

    def run() -> None:
        for _ in range(_CALLS):
            read(answer)

    return run


_ANSWER_BODY = b'{"clock_ms": 5000, "running": [], "ended": []}'
_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%b" % (len(_ANSWER_BODY), _ANSWER_BODY)
)


def _answer_calls() -> None:
    """Print a port, and answer each request on it until standard input ends.

    A request has to arrive in one piece.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)

    def serve(connection: socket.socket) -> None:
        while connection.recv(65536):
            connection.sendall(_ANSWER)

    def accept() -> None:
        while True:
            connection, _ = listener.accept()
            threading.Thread(
                target=serve, args=(connection,), daemon=True
            ).start()

    threading.Thread(target=accept, daemon=True).start()
    sys.stdin.read()


@contextlib.contextmanager
def _answering_runner() -> collections.abc.Iterator[str]:
    """Run a runner's process that answers; return its address."""
    process = subprocess.Popen(
        [sys.executable, "-m", "benches.plumbing", "--answer"],
        cwd=pathlib.Path(__file__).resolve().parents[1],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield f"127.0.0.1:{int(process.stdout.readline())}"
    finally:
        process.communicate("")


def _measure_calls() -> list[Cost]:
    """Measure starts and polls through a link, over loopback."""
    with _answering_runner() as address:
        loop = peridotsill.CallLoop(on_error=print)
        loop.start()
        try:
            return [
                _cost(f"{name}, and its answer", run, _CALLS)
                for name, run in (
                    ("a start", _send_starts(loop, address)),
                    ("a poll", _send_polls(loop, address)),
                )
            ]
        finally:
            loop.stop()


def _make_link(
    loop: peridotsill.CallLoop,
    address: str,
    post: collections.abc.Callable[[object], None],
) -> _links.RunnerLink:
    lease = unittest.mock.Mock(
        epoch=1, held=True, lost=False, seconds_since_expiry=0.0
    )
    entry = stubs.runner_entry(address=address)
    grants = _grants.Grants(lease=lease, max_lease_seconds=6.0)
    grants.record_report(
        _ports.RunnerReport(lifetime=1, clock_ms=1.0, running=(), ended=())
    )
    return _links.RunnerLink(
        parts=_runner_client.LinkParts(
            entry=entry,
            loop=loop,
            calls=_runners.runner_calls(entry),
            lease=lease,
            grants=grants,
            tokens=stubs.runner_tokens(entry.id),
            post=post,
        )
    )


def _send_starts(
    loop: peridotsill.CallLoop, address: str
) -> collections.abc.Callable[[], None]:
    remaining = 0
    answered = threading.Event()

    def count(event: object) -> None:
        nonlocal remaining
        remaining -= 1
        if not remaining:
            answered.set()

    link = _make_link(loop, address, count)

    def run() -> None:
        nonlocal remaining
        remaining = _CALLS
        answered.clear()
        link._parts.grants.record_report(
            _ports.RunnerReport(lifetime=1, clock_ms=1.0, running=(), ended=())
        )
        for number in range(_CALLS):
            link.order_start(
                _ports.StartOrder(
                    name=_ports.TaskName(job=f"{number:016x}", task="0.0.0"),
                    run=1,
                    payload="{}",
                    lease_until_ms=0.0,
                    fence=1,
                )
            )
        answered.wait()

    return run


def _send_polls(
    loop: peridotsill.CallLoop, address: str
) -> collections.abc.Callable[[], None]:
    """Poll a runner that answers at once that nothing is new."""
    remaining = 0
    answered = threading.Event()

    def count(event: object) -> None:
        nonlocal remaining
        remaining -= 1
        if not remaining:
            link.set_paused(True)
            answered.set()

    link = _make_link(loop, address, count)

    def run() -> None:
        nonlocal remaining
        remaining = _CALLS
        answered.clear()
        link.set_paused(False)
        answered.wait()

    return run


def main() -> None:
    """Print the costs, or answer calls."""
    if "--answer" in sys.argv[1:]:
        _answer_calls()
        return
    for cost in measure():
        print(f"{cost.microseconds:10.1f} us  {cost.work}")


if __name__ == "__main__":
    main()
