"""Steps on the keys of teams: in one process with a clock, and with nodes."""

import io
import json
import pathlib
import re
import signal
import sys
import threading
import time
import unittest.mock

import attrs
from behave import given
from behave import then
from behave import when
import eliot
from emulator import nodes
from emulator import stubs
import peridotsill
from returns import result

from peridotsill_adapter import _documents
from peridotsill_adapter import _ports as _adapter_ports
from peridotsill_adapter import _unreadable
from peridotsill_jobs import _app
from peridotsill_jobs import _catalog
from peridotsill_jobs import _clock
from peridotsill_jobs import _following
from peridotsill_jobs import _key_checks
from peridotsill_jobs import _ports
from peridotsill_jobs import _records
from peridotsill_jobs import _settings
from peridotsill_jobs import _submissions
from peridotsill_jobs import _team_keys
import peridotsill_platform
import peridotsill_platform.exceptions
import peridotsill_scheduler as scheduler

_TEMPLATE = pathlib.Path("deploy/settings.json.template")
_ALPHA = {
    "name": "alpha",
    "api_keys": ["key-alpha"],
    "weight": 1,
    "max_count": {"cpu": 4000, "gpu": 0},
}
_BETA = {"name": "beta", "api_keys": ["key-älter", "key-b"], "weight": 0.5}
_GAMMA = {"name": "gamma", "api_keys": ["key-gamma"], "weight": 2}
_DELTA = {"name": "delta", "api_keys": ["key-delta"], "weight": 2}
_TINY = {"max_count": {"cpu": 1}}
_POOL = "trails"
_WATCH_SECONDS = 1.0


class _Table(stubs.MemoryTable):
    """A table whose calls may take time, on the clock of the node."""

    def __init__(self, node):
        super().__init__()
        self.node = node
        self.scan_seconds = self.commit_seconds = self.watch_seconds = 0.0
        self.watch_result = None

    def scan(self, prefixes):
        found = super().scan(prefixes)
        self.node.now += self.scan_seconds
        return found

    def commit(self, transaction):
        self.node.now += self.commit_seconds
        return super().commit(transaction)

    def watch(self, name, after, wait_seconds):
        self.node.now += self.watch_seconds
        return self.watch_result


class _Node:
    """The parts of a node that serve calls, on a table and clock of ours."""

    def __init__(self, context):
        self.now = 1000.0
        self.version = 0
        self.table = _Table(self)
        self.counters = peridotsill.Counters()
        committer = peridotsill_platform.GroupCommitter(
            table=self.table, partition_of=_records.partition_of
        )
        committer.start()
        context.stack.callback(committer.stop)
        documents = _documents.PlatformDocuments(
            unreadable_rows=_unreadable.UnreadableRows()
        )
        bound = getattr(context, "bound", 0.0)
        self.catalog = _catalog.Catalog(
            table=self.table,
            keys=_adapter_ports._KEYS,
            documents=documents,
            revocation_seconds=bound,
        )
        self.app = _app.JobApp(
            catalog=self.catalog,
            documents=documents,
            submissions=_submissions.Submissions(
                table=self.table,
                committer=committer,
                short_timeout_table=self.table,
            ),
            counters=self.counters,
            deadline_header="Peridotsill-Deadline-Ms",
            key_check=_key_checks.KeyCheck(
                catalog=self.catalog,
                counters=self.counters,
                key_header=getattr(context, "key_header", "Peridotsill-Key"),
                revocation_seconds=lambda: bound,
            ),
        )

    def configuration(self, tenants):
        """Return a row with the next version and teams, None for no field."""
        self.version += 1
        value = {
            "version": self.version,
            "routes": [
                {"name": "keyed", "host": "h", "prefix": "/keyed/"},
                {
                    "name": "open",
                    "host": "h",
                    "prefix": "/open/",
                    "anonymous": True,
                },
            ],
        }
        if tenants is not None:
            value["tenants"] = tenants
        return peridotsill.Row(
            key="op//config", value=value, version=self.version
        )

    def read(self, *rows, failure=None, seconds=0.0, is_snapshot=False):
        """Make the catalog read changes once, or a snapshot, of the table."""
        changes = peridotsill_platform.TableChanges(
            rows=rows, deleted=(), revision=1
        )
        self.table.watch_seconds = self.table.scan_seconds = seconds
        self.table.watch_result = failure or result.Success(changes)
        stopped = unittest.mock.Mock()
        stopped.is_set.side_effect = [False, True]
        subscription = self.catalog.subscription
        if not is_snapshot:
            subscription = attrs.evolve(subscription, revision=1)
        _following.follow(subscription, stopped)
        self.table.scan_seconds = 0.0

    def call(self, method, path, key, body):
        """Call the app; keep its status, headers and what it read."""
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "HTTP_HOST": "h",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
        if key != "no key":
            environ["HTTP_PERIDOTSILL_KEY"] = key.encode().decode("latin-1")

        def start_response(status, headers):
            self.status = int(status.split()[0])
            self.headers = dict(headers)

        self.answer = b"".join(self.app(environ, start_response))
        self.bytes_read = environ["wsgi.input"].tell()


@given("a platform without a header for keys")
def _no_header(context):
    context.key_header = ""


@given("a node that refuses removed keys after {seconds:g} s")
def _bound(context, seconds):
    context.bound = seconds


@given("a node that has read {what}")
def _node(context, what):
    context.logged = []
    eliot.add_destinations(context.logged.append)
    context.stack.callback(eliot.remove_destination, context.logged.append)
    context.node = node = _Node(context)
    clock = unittest.mock.patch.object(
        _clock, "boottime_seconds", lambda: node.now
    )
    context.stack.enter_context(clock)
    tenants = {"teams": [_ALPHA, _BETA], "no teams": [], "no field": None}
    if what in tenants:
        node.read(node.configuration(tenants[what]))


@when('it reads a configuration with team "gamma" alone')
def _read_gamma(context):
    context.node.read(context.node.configuration([_GAMMA]))


@when("it reads a configuration whose quotas are next to nothing")
def _read_tiny(context):
    tenants = [{**_ALPHA, **_TINY}, {**_BETA, **_TINY}]
    context.node.read(context.node.configuration(tenants))


@when("it reads a configuration in which {change}")
def _read_bad(context, change):
    name, _, value = change.removeprefix("delta.").partition(" = ")
    bad = {**_DELTA, name: json.loads(value)}
    context.node.read(context.node.configuration([_GAMMA, bad]))


@when("the table is read by {read} of {seconds:g} s")
def _read(context, read, seconds):
    node = context.node
    away = peridotsill_platform.exceptions.TableUnavailable("away")
    if read == "an empty watch":
        node.read(seconds=seconds)
    elif read == "a snapshot":
        node.read(seconds=seconds, is_snapshot=True)
    elif read == "a watch with a change":
        changed = node.configuration([_ALPHA])
        node.read(changed, seconds=seconds)
    elif read == "a failed watch":
        node.read(failure=result.Failure(away), seconds=seconds)
    else:
        with unittest.mock.patch.object(
            node.catalog, "_apply_row", side_effect=OSError
        ):
            node.read(node.configuration([_ALPHA]), seconds=seconds)


@when("{seconds:g} s go by without a read")
def _pass(context, seconds):
    context.node.now += seconds


@when("the node is frozen for {seconds:g} s as it {act}")
def _freeze(context, seconds, act):
    if act == "commits":
        context.node.table.commit_seconds = seconds
    else:
        context.node.table.scan_seconds = seconds


def _call(context, method, job, queue, key, body=None):
    document = json.dumps(body or {"steps": [{"cpu": 10}]}).encode()
    context.node.call(method, f"/{queue}/{job}", key, document)


@then('{method} of job "{job}" in "{queue}" with {key} is answered {status:d}')
def _check_call(context, method, job, queue, key, status):
    _call(context, method, job, queue, key)
    assert context.node.status == status, context.node.answer
    assert ("Retry-After" in context.node.headers) == (status in (503, 504))


@then('GET of job "" in "{queue}" with {key} is answered {status:d}')
def _check_count(context, queue, key, status):
    _check_call(context, "GET", "", queue, key, status)


@then("POST of a job of {job} with {key} is answered {status:d}")
def _check_size(context, job, key, status):
    count = re.search(r"(\d+) (tasks?|of)", job)
    cpu, gpu = (re.search(rf"(\d+) {name}", job) for name in ("cpu", "gpu"))
    step = {
        "count": int(count[1]),
        "cpu": int(cpu[1]),
        "gpu": int(gpu[1]) if gpu else 0,
        "gang": "gang" in job,
    }
    _call(context, "POST", "aa", "keyed", key, {"steps": [step]})
    assert context.node.status == status, context.node.answer


@then("the body was not read, and the answer has a challenge")
def _check_challenge(context):
    assert context.node.bytes_read == 0
    assert "Peridotsill-Key" in context.node.headers["WWW-Authenticate"]


def _row(context, job):
    rows = [
        value
        for key, (value, _) in context.node.table.rows.items()
        if key.startswith("jobs/") and key.endswith(f"/{job}")
    ]
    return rows[0] if rows else None


@then('the row of job "{job}" is of {owner}')
def _check_owner(context, job, owner):
    row = _row(context, job)
    found = row.get("team", "no team") if row else "nobody"
    assert found == owner, row


@then('the row of job "{job}" is {state}')
def _check_state(context, job, state):
    assert _row(context, job)["cancelled"] == (state == "cancelled")
    pending = [
        value
        for key, (value, _) in context.node.table.rows.items()
        if key.startswith("pending/") and key.endswith(f"/{job}")
    ]
    assert bool(pending) == (state == "waiting"), pending


def _write_progress(context, team):
    spec = scheduler.JobSpec(id="a1", queue="keyed", payload="", steps=())
    job = scheduler.Job(
        spec=spec,
        queue=context.node.catalog.queue("keyed"),
        arrived_at=0.0,
        team=team,
    )
    value = _records.progress_value(job, 1)
    key = _records.row_key(_records.PROGRESS, "keyed", "a1")
    context.node.table.rows[key] = (value, 1)
    return value


@when(
    "an earlier version of the scheduler has written the row of its progress"
)
def _write_earlier(context):
    assert "team" not in _write_progress(context, "")


@when("the scheduler has written the row of its progress")
def _write_later(context):
    assert _write_progress(context, "alpha")["team"] == "alpha"


@then('no row of job "{job}" names a team')
def _check_no_team(context, job):
    row = _row(context, job)
    assert {*row} == {"spec", "queue", "arrived_ms", "cancelled"}, row
    assert "anonymous" not in row["queue"], row
    assert {*_write_progress(context, "")} == {
        "state",
        "epoch",
        "opened",
        "tasks",
    }


@then("the age of the configuration is {seconds:g} s")
def _check_age(context, seconds):
    age = context.node.now - context.node.catalog.read_began_at
    assert abs(age - seconds) < 1e-6, age


@then("the counted reason is {reason}")
def _check_reason(context, reason):
    line = f'peridotsill_calls_refused_total{{reason="{reason}"}}'
    assert line in context.node.counters.render({}).decode()
    assert [
        each
        for each in context.logged
        if each["message_type"] == "call:refused" and each["reason"] == reason
    ]


@then('a log line says "{problem}"')
def _check_problem(context, problem):
    assert problem in json.dumps(context.logged), context.logged
    assert context.node.catalog.config.version == 1


@then("no key is in a log line, a metric, or the text of an object")
def _check_no_key(context):
    _call(context, "POST", "a1", "keyed", "key-secret")
    catalog = context.node.catalog
    text = f"{catalog.config!r} {catalog.team_keys!r} {context.logged!r}"
    text += context.node.counters.render({}).decode()
    text += context.node.answer.decode() + repr(context.node.headers)
    for digest in catalog.config.teams[0].key_digests:
        assert repr(digest) not in text and digest.hex() not in text
    assert "key-" not in text.replace("Peridotsill-Key", ""), text


@when("a key is looked up among {few:d} teams, and among {many:d}")
def _look_up(context, few, many):
    context.costs = [_look_up_cost(count) for count in (few, many)]


class _CountingDict(dict):
    reads = 0

    def get(self, *args):
        self.reads += 1
        return super().get(*args)


def _look_up_cost(count):
    """Return the lines and the reads of the dictionary of a look-up."""
    keys = [f"key-{number}".encode() for number in range(count)]
    entries = [
        _ports.TeamEntry(
            team=scheduler.Team(name=f"t-{number}", weight=1),
            key_digests=frozenset({_team_keys.key_digest(key)}),
        )
        for number, key in enumerate(keys)
    ]
    _team_keys.check_teams(entries)
    table = _team_keys.KeyTable(entries=entries)
    found = _CountingDict(table._teams_by_digest)
    table._teams_by_digest = found
    lines = []

    def trace(frame, event, arg):
        lines.append(frame.f_code.co_name)
        return trace

    former = sys.gettrace()
    sys.settrace(trace)
    try:
        last = table.team_of(keys[-1])
    finally:
        sys.settrace(former)
    assert last.name == f"t-{count - 1}"
    assert table.team_of(b"key-unknown") is None
    return len(lines), found.reads


@then("both execute as many lines and read a dictionary once")
def _check_cost(context):
    first, second = context.costs
    assert first == second and first[1] == 2, context.costs


@when("the template is filled in with strict_revoke {value}")
def _fill_in(context, value):
    text = _TEMPLATE.read_text()
    known = {"bounds.strict_revoke": value == "true", "advice": False}

    def section(match):
        return match[2] if known.get(match[1]) else ""

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, text, flags=re.S)
    text = re.sub(r"{{[\w.]+\|json}}", '"127.0.0.1:1"', text)
    text = text.replace("{{bounds.revoke_ms}}", "5000")
    text = re.sub(r"{{[\w.]+}}", "1000", text)
    context.settings = peridotsill.decode(
        text.encode(), _settings.JobNodeSettings, strict=False
    )


@then("the settings' bound for removed keys is {bound:d} ms")
def _check_settings(context, bound):
    assert context.settings.bounds.revocation_ms == bound


# With real nodes.


@given("{count:d} job nodes that refuse removed keys after {seconds:g} s")
def _cluster(context, count, seconds):
    bounds = {"max_lease_ms": 6000.0, "revocation_ms": seconds * 1000.0}
    context.cluster = context.stack.enter_context(
        nodes.cluster(
            nodes=count, pools={_POOL: 1}, settings={"bounds": bounds}
        )
    )
    context.cluster.world.configure(2, [_POOL], tenants=[_ALPHA])


def _get(context, node, key, seconds=3.0):
    """Return when a call was sent and its status, 0 without an answer."""
    context.cluster.key = key
    sent_at = time.monotonic()
    reply = context.cluster.call(node, "GET", f"/{_POOL}/", seconds=seconds)
    return sent_at, reply.status if reply else 0


def _wait_status(context, key, status):
    for node in context.cluster.nodes:
        nodes.wait_for(
            lambda node=node: _get(context, node, key)[1] == status,
            3.0,
            f"{key} at node {node.number} is answered {status}",
        )


@given('the key "{key}" is served at every node')
@then('the key "{key}" is served at every node')
def _check_served(context, key):
    _wait_status(context, key, 200)


@when("a node {fault}, and the key is removed")
def _remove_key(context, fault):
    world = context.cluster.world
    context.bad, context.good = context.cluster.nodes
    if fault == "is frozen":
        context.bad.send(signal.SIGSTOP)
    elif fault == "can't read configurations":
        world.store.faults.silent_operators.add(context.bad.store_host)
    else:
        world.store.faults.silent.add(context.bad.store_host)
    # A watch that the store has begun before would still show the removal.
    time.sleep(_WATCH_SECONDS)
    world.configure(3, [_POOL], tenants=[_GAMMA])
    context.removed_at = time.monotonic()


@then(
    "no call that was sent {seconds:g} s after that is answered with success"
)
def _check_revoked(context, seconds):
    wakes_at = context.removed_at + seconds + 0.5
    waker = threading.Timer(
        wakes_at - time.monotonic(), context.bad.send, (signal.SIGCONT,)
    )
    waker.start()
    context.stack.callback(waker.join)
    answers = []
    while time.monotonic() < wakes_at + 1.5:
        wait = context.removed_at + seconds + 0.05 - time.monotonic()
        time.sleep(max(0.02, wait))
        answers.append(_get(context, context.bad, "key-alpha"))
    statuses = [status for _, status in answers]
    assert statuses and 200 not in statuses, statuses
    assert {401, 503} & {*statuses}, statuses


@then("the other node refuses the key with 401")
def _check_other(context):
    assert _get(context, context.good, "key-alpha")[1] == 401


@when("the node is well again")
def _heal(context):
    faults = context.cluster.world.store.faults
    faults.silent_operators.clear()
    faults.silent.clear()


@then("the key is refused with 401 at every node within 3 s")
def _check_refused(context):
    _wait_status(context, "key-alpha", 401)
