"""The operators' command line, `peridotsill`.

Exit codes: 0 success, 1 refused or failed, 2 usage error, 4 not found,
5 version conflict, 6 no node answered, 7 ``--wait`` timed out.
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
    operator_exceptions.NotFound: _cli_output.EXIT_NOT_FOUND,
    operator_exceptions.VersionConflict: _cli_output.EXIT_CONFLICT,
    operator_exceptions.NodeUnreachable: _cli_output.EXIT_UNREACHABLE,
}
_POLL_SECONDS = 0.2

app = typer.Typer(help="Manage pools, VMs, jobs, services, waves and config.")
wave_app = typer.Typer(help="Run maintenance waves.")
vm_app = typer.Typer(help="Move and drain VMs.")
config_app = typer.Typer(help="Apply and show the configuration.")
node_app = typer.Typer(help="Show the nodes.")
app.add_typer(wave_app, name="wave")
app.add_typer(vm_app, name="vm")
app.add_typer(config_app, name="config")
app.add_typer(node_app, name="node")
app.add_typer(_service_cli.service_app, name="service")

NodeAddresses = typing.Annotated[
    list[str],
    typer.Option(
        "--node",
        envvar="PERIDOTSILL_NODES",
        help="Operators' address of a node; may be repeated.",
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
    typer.Option("--if-match", help="Fail unless at this version."),
]
Wait = typing.Annotated[
    float, typer.Option("--wait", help="Seconds to wait for completion.")
]


class _CommandContext:
    """The clients and the output format of one command."""

    def __init__(
        self, *, addresses: list[str], token: str, output: str
    ) -> None:
        self.output = output
        self._clients = [
            peridotsill_operators.OperatorClient(address=address, token=token)
            for address in addresses
        ]

    def call(
        self,
        send: collections.abc.Callable[
            [peridotsill_operators.OperatorClient], typing.Any
        ],
    ) -> typing.Any:
        """Send a request to the first node that answers.

        All nodes but the last are probed with a read before the request is
        sent: a write without an answer may have been applied, so it isn't
        sent again.
        """
        for client in self._clients[:-1]:
            try:
                client.nodes()
            except operator_exceptions.NodeUnreachable:
                continue
            return send(client)
        return send(self._clients[-1])

    def show(
        self, data: object, columns: list[str], rows: list[list[str]]
    ) -> None:
        """Print the rows as a table, or the data as JSON."""
        _cli_output.show(self.output, data, columns, rows)


@app.callback()
def _main(
    context: typer.Context,
    node: NodeAddresses = ["127.0.0.1:7401"],  # noqa: B006
    token_file: TokenFile = "peridotsill.token",
    output: Output = "table",
) -> None:
    if output not in ("table", "json"):
        raise typer.BadParameter("--output: must be table or json")
    if context.invoked_subcommand == "service":
        # These commands call a platform, not nodes, and need no token.
        context.obj = _CommandContext(addresses=[], token="", output=output)
        return
    try:
        token = peridotsill.load_token(token_file)
    except peridotsill.exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_cli_output.EXIT_USAGE) from error
    addresses = [part for each in node for part in each.split(",")]
    context.obj = _CommandContext(
        addresses=addresses, token=token, output=output
    )


@contextlib.contextmanager
def _errors_as_exit_codes() -> collections.abc.Iterator[None]:
    try:
        yield
    except peridotsill.exceptions.PeridotsillError as error:
        typer.echo(f"peridotsill: {error}", err=True)
        exit_code = _EXIT_CODES.get(type(error), _cli_output.EXIT_FAILED)
        raise typer.Exit(exit_code) from error


def _command_context(context: typer.Context) -> _CommandContext:
    return typing.cast(_CommandContext, context.obj)


def _cell_text(value: object) -> str:
    if isinstance(value, (dict, list)):
        return json.dumps(value)
    return "" if value is None else str(value)


def _show_rows(
    ctx: _CommandContext, rows: tuple[peridotsill.Row, ...], data: object
) -> None:
    names = [name for row in rows[:1] for name in row.value]
    cells = [
        [
            *(_cell_text(row.value.get(name)) for name in names),
            str(row.version),
        ]
        for row in rows
    ]
    ctx.show(data, [*names, "version"], cells)


@app.command("list")
def list_resources(context: typer.Context, kind: str) -> None:
    """List the resources of a kind."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
        scan = ctx.call(lambda client: client.list(kind))
        _show_rows(ctx, scan.rows, scan)


@app.command("get")
def get_resource(context: typer.Context, kind: str, name: str) -> None:
    """Show one resource."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
        row = ctx.call(lambda client: client.get(kind, name))
        fields = [[key, _cell_text(value)] for key, value in row.value.items()]
        fields.append(["(version)", str(row.version)])
        ctx.show(row, ["field", "value"], fields)


@app.command()
def watch(
    context: typer.Context,
    kind: str,
    since: typing.Annotated[
        int | None, typer.Option(help="Start after this version.")
    ] = None,
    seconds: typing.Annotated[
        float, typer.Option(help="Seconds to watch.")
    ] = 3600.0,
) -> None:
    """Print changes to resources of a kind, one JSON object per line."""
    ctx = _command_context(context)
    deadline = time.monotonic() + seconds
    with _errors_as_exit_codes():
        version = since
        if version is None:
            version = ctx.call(lambda client: client.list(kind)).revision
        while time.monotonic() < deadline:
            wait_seconds = min(10.0, deadline - time.monotonic())
            start = version
            changes = ctx.call(
                lambda client: client.watch(
                    kind, start, max(wait_seconds, 0.0)
                )
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
    """Create or replace the resources in a file; safe to repeat."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
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
            (f"{file}: expected an object that maps kinds to lists",)
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
    """Delete a resource; an absent one is no error."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
        applied = ctx.call(
            lambda client: client.delete(kind, name, if_match=if_match)
        )
        state = "deleted" if applied.changed else "was not there"
        ctx.show(applied, ["resource", "state"], [[f"{kind}/{name}", state]])


@app.command()
def explain(context: typer.Context, subject: str) -> None:
    """Show the decisions about a request id, decision id or resource."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
        found = ctx.call(lambda client: client.explain(subject))
        rows = [
            [
                decision.id,
                decision.kind,
                decision.choice,
                decision.reason,
                "; ".join(
                    f"{candidate.name}: {candidate.reason}"
                    for candidate in decision.candidates
                ),
                f"config {decision.config_version}",
            ]
            for decision in found.decisions
        ]
        columns = ["id", "kind", "choice", "reason", "weighed", "version"]
        ctx.show(found, columns, rows)
        if found.missing:
            typer.echo(found.missing, err=True)
            raise typer.Exit(_cli_output.EXIT_NOT_FOUND)


@app.command("cancel")
def cancel_jobs(context: typer.Context, jobs: list[str]) -> None:
    """Cancel jobs, with a single request."""
    ctx = _command_context(context)
    request = peridotsill_operators.CancelJobsRequest(jobs=tuple(jobs))
    with _errors_as_exit_codes():
        applied = ctx.call(lambda client: client.cancel_jobs(request))
        ctx.show(applied, ["cancelled"], [[str(len(jobs))]])


@wave_app.command("start")
def wave_start(
    context: typer.Context,
    name: str,
    pool: str,
    max_parallel: typing.Annotated[
        int, typer.Option(help="VMs in parallel, after the first one.")
    ] = 2,
    wait: Wait = 0.0,
) -> None:
    """Start a maintenance wave over a pool."""
    ctx = _command_context(context)
    document = {"name": name, "pool": pool, "max_parallel": max_parallel}
    with _errors_as_exit_codes():
        ctx.call(lambda client: client.apply("waves", name, document))
        if wait:
            _wait_for_wave(ctx, name, wait)
        _show_wave(ctx, name)


def _wait_for_wave(ctx: _CommandContext, name: str, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    progress_bar = rich.progress.Progress(transient=True)
    with progress_bar:
        task = progress_bar.add_task(f"wave {name}", total=None)
        while time.monotonic() < deadline:
            wave = _get_wave(ctx, name)
            total = sum(
                1
                for row in ctx.call(lambda client: client.list("vms")).rows
                if row.value["pool"] == wave.pool
            )
            progress_bar.update(task, completed=len(wave.done), total=total)
            if wave.state is not peridotsill.WaveState.RUNNING:
                return
            time.sleep(_POLL_SECONDS)
    typer.echo(f"wave {name} is still running after {seconds:g} s", err=True)
    raise typer.Exit(_cli_output.EXIT_TIMEOUT)


def _get_wave(ctx: _CommandContext, name: str) -> peridotsill.Wave:
    row = ctx.call(lambda client: client.get("waves", name))
    return peridotsill.from_plain(row.value, peridotsill.Wave)


def _show_wave(ctx: _CommandContext, name: str) -> None:
    wave = _get_wave(ctx, name)
    members = [
        row.value
        for row in ctx.call(lambda client: client.list("vms")).rows
        if row.value["pool"] == wave.pool
    ]
    disrupted = [vm["name"] for vm in members if vm.get("disruption")]
    end = _estimated_end(wave, len(members))
    found = ctx.call(lambda client: client.explain(f"waves/{name}"))
    last = found.decisions[-1] if found.decisions else None
    reason = wave.reason or (last.reason if last else "")
    rows = [
        ["state", str(wave.state)],
        ["done", f"{len(wave.done)} of {len(members)}"],
        ["under way", ", ".join(disrupted)],
        ["failed", ", ".join(wave.failed)],
        ["reason", reason],
        ["estimated end", end],
    ]
    ctx.show(wave, ["wave", name], rows)


def _estimated_end(wave: peridotsill.Wave, total: int) -> str:
    if wave.state is not peridotsill.WaveState.RUNNING or not wave.done:
        return ""
    seconds_per_vm = (time.time() - wave.started_at) / len(wave.done)
    end = time.time() + seconds_per_vm * max(total - len(wave.done), 0)
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(end))


@wave_app.command("status")
def wave_status(context: typer.Context, name: str) -> None:
    """Show the progress of a wave and what it is waiting for."""
    with _errors_as_exit_codes():
        _show_wave(_command_context(context), name)


def _set_and_show_wave_state(
    context: typer.Context, name: str, state: peridotsill.WaveState
) -> None:
    ctx = _command_context(context)
    request = peridotsill_operators.WaveStateRequest(state=state)
    with _errors_as_exit_codes():
        ctx.call(lambda client: client.set_wave_state(name, request))
        _show_wave(ctx, name)


@wave_app.command("pause")
def wave_pause(context: typer.Context, name: str) -> None:
    """Pause a wave: start no further VM; those in progress finish."""
    _set_and_show_wave_state(context, name, peridotsill.WaveState.PAUSED)


@wave_app.command("resume")
def wave_resume(context: typer.Context, name: str) -> None:
    """Resume a paused or halted wave."""
    _set_and_show_wave_state(context, name, peridotsill.WaveState.RUNNING)


@wave_app.command("abort")
def wave_abort(context: typer.Context, name: str) -> None:
    """Abort a wave; VMs in progress finish. It can't be resumed."""
    _set_and_show_wave_state(context, name, peridotsill.WaveState.ABORTED)


@vm_app.command("move")
def vm_move(
    context: typer.Context,
    name: str,
    pool: str,
    operation: typing.Annotated[
        str, typer.Option(help="Operation id; reuse it to repeat a request.")
    ] = "",
    wait: Wait = 0.0,
) -> None:
    """Move a VM to another pool: drain it, change its pool, restore it."""
    ctx = _command_context(context)
    request = peridotsill_operators.MoveRequest(
        target_pool=pool, operation=operation or f"move-{uuid.uuid4().hex}"
    )
    with _errors_as_exit_codes():
        ctx.call(lambda client: client.move_vm(name, request))
        if wait:
            _wait_for_vm(ctx, name, wait, lambda vm: vm["pool"] == pool)
        typer.echo(f"{name}: moving to {pool} as {request.operation}")


def _wait_for_vm(
    ctx: _CommandContext,
    name: str,
    seconds: float,
    is_reached: collections.abc.Callable[[dict[str, typing.Any]], bool],
) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        vm = ctx.call(lambda client: client.get("vms", name)).value
        if is_reached(vm):
            return
        time.sleep(_POLL_SECONDS)
    typer.echo(
        f"{name} has not reached the state after {seconds:g} s", err=True
    )
    raise typer.Exit(_cli_output.EXIT_TIMEOUT)


@vm_app.command("drain")
def vm_drain(
    context: typer.Context,
    name: str,
    operation: typing.Annotated[
        str, typer.Option(help="Operation id; reuse it to repeat a request.")
    ] = "",
    undo: typing.Annotated[
        bool, typer.Option("--undo", help="Put the VM back in service.")
    ] = False,
    wait: Wait = 0.0,
) -> None:
    """Drain a VM if its pool's availability budget allows, or restore it."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
        if undo and not operation:
            row = ctx.call(lambda client: client.get("vms", name))
            operation = (row.value.get("disruption") or {}).get("id", "")
        request = peridotsill_operators.DrainRequest(
            operation=operation or f"drain-{uuid.uuid4().hex}",
            drained=not undo,
        )
        ctx.call(lambda client: client.drain_vm(name, request))
        if wait and not undo:
            held_step = peridotsill.DisruptionStep.HELD
            _wait_for_vm(
                ctx,
                name,
                wait,
                lambda vm: (
                    (vm.get("disruption") or {}).get("step") == held_step
                ),
            )
        typer.echo(f"{name}: {request.operation}")


@config_app.command("apply")
def config_apply(
    context: typer.Context,
    file: str,
    change_id: typing.Annotated[
        str, typer.Option(help="Change id; reuse it to repeat a request.")
    ] = "",
    wait: Wait = 0.0,
) -> None:
    """Apply the configuration values in a JSON file."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
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


def _wait_for_config(
    ctx: _CommandContext, version: int, seconds: float
) -> None:
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        nodes = ctx.call(lambda client: client.nodes())
        if all(node.config_version >= version for node in nodes):
            return
        time.sleep(_POLL_SECONDS)
    typer.echo(f"not applied on all nodes after {seconds:g} s", err=True)
    raise typer.Exit(_cli_output.EXIT_TIMEOUT)


@config_app.command("status")
def config_status(context: typer.Context) -> None:
    """Show the configuration and the version of it on each node."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
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
    ctx = _command_context(context)
    with _errors_as_exit_codes():
        found = ctx.call(lambda client: client.config_history())
        rows = [
            [
                str(config.version),
                config.change_id,
                _format_time(config.applied_at),
            ]
            for config in found
        ]
        ctx.show(found, ["version", "change", "applied"], rows)


def _format_time(seconds: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(seconds))


@node_app.command("status")
def node_status(context: typer.Context) -> None:
    """Show the nodes that the queried node knows."""
    ctx = _command_context(context)
    with _errors_as_exit_codes():
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
    """Run the `peridotsill` command line."""
    app()
