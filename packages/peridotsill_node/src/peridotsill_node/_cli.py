"""The `peridotsill` command, by which operators drive the system.

Exit codes: 0 done, 1 refused or failed, 2 bad usage, 4 unknown resource,
5 version conflict, 6 no node answers, 7 a wait ran out.
"""

import collections.abc
import contextlib
import json
import pathlib
import time
import typing
import uuid

import peridotsill
import peridotsill.exceptions
import rich.console
import rich.progress
import rich.table
import typer

from peridotsill_node import _cli_output
from peridotsill_node import _service_cli
import peridotsill_operators
from peridotsill_operators import exceptions as operator_exceptions

_EXIT_CODES: dict[type[Exception], int] = {
    operator_exceptions.NotFound: _cli_output.EXIT_UNKNOWN,
    operator_exceptions.VersionConflict: _cli_output.EXIT_CONFLICT,
    operator_exceptions.NodeUnreachable: _cli_output.EXIT_UNREACHABLE,
}
_POLL_SECONDS = 0.2

app = typer.Typer(help="Pools, VMs, jobs, services, waves and config.")
wave_app = typer.Typer(help="Maintenance waves.")
vm_app = typer.Typer(help="Move and drain VMs.")
config_app = typer.Typer(help="The configuration in force.")
node_app = typer.Typer(help="The nodes of the system.")
app.add_typer(wave_app, name="wave")
app.add_typer(vm_app, name="vm")
app.add_typer(config_app, name="config")
app.add_typer(node_app, name="node")
app.add_typer(_service_cli.service_app, name="service")

Address = typing.Annotated[
    list[str],
    typer.Option(
        "--node",
        envvar="PERIDOTSILL_NODES",
        help="Operators' address of a node; repeat it for more.",
    ),
]
TokenFile = typing.Annotated[
    str,
    typer.Option(
        "--token-file",
        envvar="PERIDOTSILL_TOKEN_FILE",
        help="File with the shared token.",
    ),
]
Output = typing.Annotated[
    str, typer.Option("--output", "-o", help="table or json")
]
IfMatch = typing.Annotated[
    int | None,
    typer.Option("--if-match", help="Only if it is at this version."),
]
Wait = typing.Annotated[
    float, typer.Option("--wait", help="Seconds to wait for the end.")
]


class _Context:
    """The client and output form of one command."""

    def __init__(
        self, *, addresses: list[str], token: str, output: str
    ) -> None:
        self.output = output
        self._clients = [
            peridotsill_operators.OperatorClient(address=each, token=token)
            for each in addresses
        ]

    def call(
        self,
        work: collections.abc.Callable[
            [peridotsill_operators.OperatorClient], typing.Any
        ],
    ) -> typing.Any:
        """Run a call at the first node that answers.

        A write that went unanswered is not sent to another node.
        """
        for client in self._clients[:-1]:
            try:
                client.nodes()
            except operator_exceptions.NodeUnreachable:
                continue
            return work(client)
        return work(self._clients[-1])

    def show(
        self, data: object, columns: list[str], rows: list[list[str]]
    ) -> None:
        """Print a table, or the data as JSON."""
        _cli_output.show(self.output, data, columns, rows)


@app.callback()
def _main(
    context: typer.Context,
    node: Address = ["127.0.0.1:7401"],  # noqa: B006
    token_file: TokenFile = "peridotsill.token",
    output: Output = "table",
) -> None:
    if output not in ("table", "json"):
        raise typer.BadParameter("--output: say table or json")
    if context.invoked_subcommand == "service":
        # It speaks to a platform, not to nodes, and needs no token.
        context.obj = _Context(addresses=[], token="", output=output)
        return
    try:
        token = peridotsill.load_token(token_file)
    except peridotsill.exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_cli_output.EXIT_USAGE) from error
    addresses = [part for each in node for part in each.split(",")]
    context.obj = _Context(addresses=addresses, token=token, output=output)


@contextlib.contextmanager
def _clear_errors() -> collections.abc.Iterator[None]:
    try:
        yield
    except peridotsill.exceptions.PeridotsillError as error:
        typer.echo(f"peridotsill: {error}", err=True)
        code = _EXIT_CODES.get(type(error), _cli_output.EXIT_FAILED)
        raise typer.Exit(code) from error


def _context(context: typer.Context) -> _Context:
    return typing.cast(_Context, context.obj)


def _brief(value: object) -> str:
    if isinstance(value, (dict, list)):
        return json.dumps(value)
    return "" if value is None else str(value)


def _show_rows(
    ctx: _Context, rows: tuple[peridotsill.Row, ...], data: object
) -> None:
    names = [name for row in rows[:1] for name in row.value]
    lines = [
        [*(_brief(row.value.get(name)) for name in names), str(row.version)]
        for row in rows
    ]
    ctx.show(data, [*names, "version"], lines)


@app.command("list")
def list_resources(context: typer.Context, kind: str) -> None:
    """List the resources of a kind."""
    ctx = _context(context)
    with _clear_errors():
        scan = ctx.call(lambda client: client.list(kind))
        _show_rows(ctx, scan.rows, scan)


@app.command("get")
def get_resource(context: typer.Context, kind: str, name: str) -> None:
    """Show one resource."""
    ctx = _context(context)
    with _clear_errors():
        row = ctx.call(lambda client: client.get(kind, name))
        fields = [[key, _brief(value)] for key, value in row.value.items()]
        fields.append(["(version)", str(row.version)])
        ctx.show(row, ["field", "value"], fields)


@app.command()
def watch(
    context: typer.Context,
    kind: str,
    since: typing.Annotated[
        int | None, typer.Option(help="Version to start after.")
    ] = None,
    seconds: typing.Annotated[
        float, typer.Option(help="How long to watch.")
    ] = 3600.0,
) -> None:
    """Print changes of a kind as they come, one JSON object a line."""
    ctx = _context(context)
    until = time.monotonic() + seconds
    with _clear_errors():
        version = since
        if version is None:
            version = ctx.call(lambda client: client.list(kind)).revision
        while time.monotonic() < until:
            left = min(10.0, until - time.monotonic())
            start = version
            changes = ctx.call(
                lambda client: client.watch(kind, start, max(left, 0.0))
            )
            for change in changes:
                typer.echo(peridotsill.encode(change).decode())
                version = max(version, change.version)


@app.command()
def apply(
    context: typer.Context,
    file: typing.Annotated[
        str, typer.Argument(help="JSON: {kind: [document, ...], ...}")
    ],
    if_match: IfMatch = None,
) -> None:
    """Create or replace the resources of a file; repeats are harmless."""
    ctx = _context(context)
    with _clear_errors():
        documents = _read_documents(file)
        rows = []
        results = []
        for kind, document in documents:
            name = str(document.get("name", ""))
            applied = ctx.call(
                lambda client: client.apply(
                    kind, name, document, if_match=if_match
                )
            )
            state = "changed" if applied.changed else "unchanged"
            rows.append([f"{kind}/{name}", state, str(applied.version)])
            results.append(applied)
        ctx.show(results, ["resource", "state", "version"], rows)


def _read_documents(file: str) -> list[tuple[str, dict[str, typing.Any]]]:
    try:
        text = pathlib.Path(file).read_bytes()
    except OSError as error:
        raise peridotsill.exceptions.InvalidResource(
            (f"{file}: {error.strerror}",)
        ) from error
    data = peridotsill.decode_plain(text)
    if not isinstance(data, dict):
        raise peridotsill.exceptions.InvalidResource(
            (f"{file}: expected an object of lists by kind",)
        )
    found = []
    for kind, documents in data.items():
        if not isinstance(documents, list) or not all(
            isinstance(each, dict) for each in documents
        ):
            raise peridotsill.exceptions.InvalidResource(
                (f"{file}: {kind}: expected a list of objects",)
            )
        found += [(kind, document) for document in documents]
    return found


@app.command()
def delete(
    context: typer.Context, kind: str, name: str, if_match: IfMatch = None
) -> None:
    """Delete a resource; one that is gone is no error."""
    ctx = _context(context)
    with _clear_errors():
        applied = ctx.call(
            lambda client: client.delete(kind, name, if_match=if_match)
        )
        state = "deleted" if applied.changed else "was not there"
        ctx.show(applied, ["resource", "state"], [[f"{kind}/{name}", state]])


@app.command()
def explain(context: typer.Context, subject: str) -> None:
    """Show the decisions about a request id, decision id or resource."""
    ctx = _context(context)
    with _clear_errors():
        found = ctx.call(lambda client: client.explain(subject))
        rows = [
            [
                each.id,
                each.kind,
                each.choice,
                each.reason,
                "; ".join(
                    f"{other.name}: {other.reason}"
                    for other in each.candidates
                ),
                f"config {each.config_version}",
            ]
            for each in found.decisions
        ]
        columns = ["id", "kind", "choice", "reason", "weighed", "version"]
        ctx.show(found, columns, rows)
        if found.missing:
            typer.echo(found.missing, err=True)
            raise typer.Exit(_cli_output.EXIT_UNKNOWN)


@app.command("cancel")
def cancel_jobs(context: typer.Context, jobs: list[str]) -> None:
    """Cancel jobs, all in one request."""
    ctx = _context(context)
    order = peridotsill_operators.Cancellation(jobs=tuple(jobs))
    with _clear_errors():
        applied = ctx.call(lambda client: client.cancel_jobs(order))
        ctx.show(applied, ["cancelled"], [[str(len(jobs))]])


@wave_app.command("start")
def wave_start(
    context: typer.Context,
    name: str,
    pool: str,
    max_parallel: typing.Annotated[
        int, typer.Option(help="VMs at once after the first.")
    ] = 2,
    wait: Wait = 0.0,
) -> None:
    """Start a maintenance wave over a pool."""
    ctx = _context(context)
    document = {"name": name, "pool": pool, "max_parallel": max_parallel}
    with _clear_errors():
        ctx.call(lambda client: client.apply("waves", name, document))
        if wait:
            _wait_for_wave(ctx, name, wait)
        _show_wave(ctx, name)


def _wait_for_wave(ctx: _Context, name: str, seconds: float) -> None:
    until = time.monotonic() + seconds
    bar = rich.progress.Progress(transient=True)
    with bar:
        task = bar.add_task(f"wave {name}", total=None)
        while time.monotonic() < until:
            wave = _wave(ctx, name)
            total = sum(
                1
                for row in ctx.call(lambda client: client.list("vms")).rows
                if row.value["pool"] == wave.pool
            )
            bar.update(task, completed=len(wave.done), total=total)
            if wave.state is not peridotsill.WaveState.RUNNING:
                return
            time.sleep(_POLL_SECONDS)
    typer.echo(f"wave {name} is not done after {seconds:g} s", err=True)
    raise typer.Exit(_cli_output.EXIT_TIMEOUT)


def _wave(ctx: _Context, name: str) -> peridotsill.Wave:
    row = ctx.call(lambda client: client.get("waves", name))
    return peridotsill.from_plain(row.value, peridotsill.Wave)


def _show_wave(ctx: _Context, name: str) -> None:
    wave = _wave(ctx, name)
    members = [
        row.value
        for row in ctx.call(lambda client: client.list("vms")).rows
        if row.value["pool"] == wave.pool
    ]
    under_way = [vm["name"] for vm in members if vm.get("disruption")]
    end = _estimate(wave, len(members))
    found = ctx.call(lambda client: client.explain(f"waves/{name}"))
    last = found.decisions[-1] if found.decisions else None
    why = wave.reason or (last.reason if last else "")
    rows = [
        ["state", str(wave.state)],
        ["done", f"{len(wave.done)} of {len(members)}"],
        ["under way", ", ".join(under_way)],
        ["failed", ", ".join(wave.failed)],
        ["reason", why],
        ["estimated end", end],
    ]
    ctx.show(wave, ["wave", name], rows)


def _estimate(wave: peridotsill.Wave, total: int) -> str:
    if wave.state is not peridotsill.WaveState.RUNNING or not wave.done:
        return ""
    each = (time.time() - wave.started_at) / len(wave.done)
    end = time.time() + each * max(total - len(wave.done), 0)
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(end))


@wave_app.command("status")
def wave_status(context: typer.Context, name: str) -> None:
    """Show how far a wave is and what it waits for."""
    with _clear_errors():
        _show_wave(_context(context), name)


def _set_wave(
    context: typer.Context, name: str, state: peridotsill.WaveState
) -> None:
    ctx = _context(context)
    order = peridotsill_operators.WaveOrder(state=state)
    with _clear_errors():
        ctx.call(lambda client: client.set_wave(name, order))
        _show_wave(ctx, name)


@wave_app.command("pause")
def wave_pause(context: typer.Context, name: str) -> None:
    """Take no further VM; those under way are finished."""
    _set_wave(context, name, peridotsill.WaveState.PAUSED)


@wave_app.command("resume")
def wave_resume(context: typer.Context, name: str) -> None:
    """Go on with a paused or halted wave."""
    _set_wave(context, name, peridotsill.WaveState.RUNNING)


@wave_app.command("abort")
def wave_abort(context: typer.Context, name: str) -> None:
    """End a wave for good; VMs under way are finished."""
    _set_wave(context, name, peridotsill.WaveState.ABORTED)


@vm_app.command("move")
def vm_move(
    context: typer.Context,
    name: str,
    pool: str,
    operation: typing.Annotated[
        str, typer.Option(help="Name a repeat by the same operation.")
    ] = "",
    wait: Wait = 0.0,
) -> None:
    """Move a VM to another pool: drain, change, undrain."""
    ctx = _context(context)
    order = peridotsill_operators.MoveOrder(
        target_pool=pool, operation=operation or f"move-{uuid.uuid4().hex}"
    )
    with _clear_errors():
        ctx.call(lambda client: client.move_vm(name, order))
        if wait:
            _wait_for_vm(ctx, name, wait, lambda vm: vm["pool"] == pool)
        typer.echo(f"{name}: moving to {pool} as {order.operation}")


def _wait_for_vm(
    ctx: _Context,
    name: str,
    seconds: float,
    reached: collections.abc.Callable[[dict[str, typing.Any]], bool],
) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        vm = ctx.call(lambda client: client.get("vms", name)).value
        if reached(vm):
            return
        time.sleep(_POLL_SECONDS)
    typer.echo(f"{name} is not there after {seconds:g} s", err=True)
    raise typer.Exit(_cli_output.EXIT_TIMEOUT)


@vm_app.command("drain")
def vm_drain(
    context: typer.Context,
    name: str,
    operation: typing.Annotated[
        str, typer.Option(help="Name a repeat by the same operation.")
    ] = "",
    undo: typing.Annotated[
        bool, typer.Option("--undo", help="End the drain instead.")
    ] = False,
    wait: Wait = 0.0,
) -> None:
    """Take a VM out of service within its pool's budget, or put it back."""
    ctx = _context(context)
    with _clear_errors():
        if undo and not operation:
            row = ctx.call(lambda client: client.get("vms", name))
            operation = (row.value.get("disruption") or {}).get("id", "")
        order = peridotsill_operators.DrainOrder(
            operation=operation or f"drain-{uuid.uuid4().hex}",
            drained=not undo,
        )
        ctx.call(lambda client: client.drain_vm(name, order))
        if wait and not undo:
            held = peridotsill.DisruptionStep.HELD
            _wait_for_vm(
                ctx,
                name,
                wait,
                lambda vm: (vm.get("disruption") or {}).get("step") == held,
            )
        typer.echo(f"{name}: {order.operation}")


@config_app.command("apply")
def config_apply(
    context: typer.Context,
    file: str,
    change_id: typing.Annotated[
        str, typer.Option(help="Name a repeat by the same id.")
    ] = "",
    wait: Wait = 0.0,
) -> None:
    """Put the values of a JSON file in force."""
    ctx = _context(context)
    with _clear_errors():
        try:
            text = pathlib.Path(file).read_bytes()
        except OSError as error:
            raise peridotsill.exceptions.InvalidResource(
                (f"{file}: {error.strerror}",)
            ) from error
        change = peridotsill_operators.ConfigChange(
            change_id=change_id or uuid.uuid4().hex,
            values=peridotsill.decode(text, peridotsill.ConfigValues),
        )
        applied = ctx.call(lambda client: client.apply_config(change))
        if wait:
            _wait_for_config(ctx, applied.version, wait)
        ctx.show(applied, ["config version"], [[str(applied.version)]])


def _wait_for_config(ctx: _Context, version: int, seconds: float) -> None:
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        nodes = ctx.call(lambda client: client.nodes())
        if all(node.config_version >= version for node in nodes):
            return
        time.sleep(_POLL_SECONDS)
    typer.echo(f"not in force everywhere after {seconds:g} s", err=True)
    raise typer.Exit(_cli_output.EXIT_TIMEOUT)


@config_app.command("status")
def config_status(context: typer.Context) -> None:
    """Show the configuration and which version each node has."""
    ctx = _context(context)
    with _clear_errors():
        config = ctx.call(lambda client: client.config())
        nodes = ctx.call(lambda client: client.nodes())
        rows = [[node.node, str(node.config_version)] for node in nodes]
        data = {"config": config, "nodes": nodes}
        ctx.show(data, ["node", "config version"], rows)
        if ctx.output == "table":
            text = json.dumps(peridotsill.to_plain(config.values), indent=2)
            typer.echo(f"version {config.version}:\n{text}")


@config_app.command("history")
def config_history(context: typer.Context) -> None:
    """List all versions of the configuration."""
    ctx = _context(context)
    with _clear_errors():
        found = ctx.call(lambda client: client.config_history())
        rows = [
            [str(each.version), each.change_id, _when(each.applied_at)]
            for each in found
        ]
        ctx.show(found, ["version", "change", "applied"], rows)


def _when(seconds: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(seconds))


@node_app.command("status")
def node_status(context: typer.Context) -> None:
    """Show all nodes that the asked one knows."""
    ctx = _context(context)
    with _clear_errors():
        nodes = ctx.call(lambda client: client.nodes())
        rows = [
            [
                node.node,
                node.domain,
                "yes" if node.ready else "no",
                "yes" if node.leaving else "no",
                str(node.config_version),
                str(node.revision),
            ]
            for node in nodes
        ]
        columns = ["node", "domain", "ready", "leaving", "config", "revision"]
        ctx.show(nodes, columns, rows)


def operator_main() -> None:
    """Run the command line of `peridotsill`."""
    app()
