"""``peridotsill service``: the job service on a platform, for operators.

It reads the platform's rows with the settings of any job node, so it works
while no node does.
"""

import collections.abc
import contextlib
import importlib
import json
import pathlib
import typing

import attrs
import peridotsill
import peridotsill.exceptions
import typer

import peridotsill_jobs
from peridotsill_node import _cli_output

_SUBJECT_FIELDS = ("job", "vm", "runner", "wave", "node")
_PLUMBING = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})

service_app = typer.Typer(help="The job service on a platform.")

Settings = typing.Annotated[
    str,
    typer.Option(
        "--settings",
        envvar="PERIDOTSILL_CONFIG",
        help="Settings file of a job node.",
    ),
]
Adapter = typing.Annotated[
    str,
    typer.Option(
        "--adapter",
        envvar="PERIDOTSILL_ADAPTER",
        help="Module that registers the platform of the settings.",
    ),
]


@attrs.frozen(kw_only=True)
class _Shown:
    inspector: peridotsill_jobs.Inspector | None
    form: str


@service_app.callback()
def _main(
    context: typer.Context, settings: Settings = "", adapter: Adapter = ""
) -> None:
    output = getattr(context.obj, "output", "table")
    if context.invoked_subcommand == "explain":
        context.obj = _Shown(inspector=None, form=output)
        return
    try:
        importlib.import_module(adapter)
        loaded = peridotsill_jobs.load_job_settings(settings)
        ports = peridotsill_jobs.make_ports(loaded)
    except (ImportError, ValueError) as error:
        typer.echo(f"--adapter {adapter!r}: {error}", err=True)
        raise typer.Exit(_cli_output.EXIT_USAGE) from error
    except peridotsill.exceptions.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_cli_output.EXIT_USAGE) from error
    inspector = peridotsill_jobs.Inspector(ports=ports)
    context.obj = _Shown(inspector=inspector, form=output)


@contextlib.contextmanager
def _inspecting(
    context: typer.Context,
) -> collections.abc.Iterator[peridotsill_jobs.Inspector]:
    """Give the inspector, and end with a clear line if nothing answers."""
    assert context.obj.inspector is not None
    try:
        yield context.obj.inspector
    except peridotsill.exceptions.PeridotsillError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_cli_output.EXIT_UNREACHABLE) from error


def _show(
    context: typer.Context, data: object, columns: str, rows: list[list[str]]
) -> None:
    _cli_output.show(context.obj.form, data, columns.split(), rows)


@service_app.command()
def scheduler(context: typer.Context) -> None:
    """Show which node schedules, and under which epoch."""
    with _inspecting(context) as inspector:
        found = inspector.scheduler()
    if found is None:
        typer.echo("no node has scheduled yet", err=True)
        raise typer.Exit(_cli_output.EXIT_UNKNOWN)
    row = [found.holder or "nobody", str(found.epoch)]
    _show(context, found, "node epoch", [row])


@service_app.command()
def jobs(
    context: typer.Context,
    queue: typing.Annotated[str, typer.Option(help="Only this queue.")] = "",
    state: typing.Annotated[str, typer.Option(help="Only this state.")] = "",
) -> None:
    """List the jobs of which a task was started."""
    with _inspecting(context) as inspector:
        found = [
            job
            for job in inspector.jobs()
            if queue in ("", job.queue) and state in ("", job.state)
        ]
    rows = [
        [
            job.id,
            job.queue,
            job.state,
            str(job.count("done")),
            str(len(job.tasks)),
        ]
        for job in found
    ]
    _show(context, found, "job queue state done started", rows)


@service_app.command()
def job(context: typer.Context, queue: str, job_id: str) -> None:
    """Show a job's tasks: where each runs, and how often it was started."""
    with _inspecting(context) as inspector:
        found = inspector.job(queue, job_id)
    if found is None:
        typer.echo(f"{job_id}: nothing of it was started", err=True)
        raise typer.Exit(_cli_output.EXIT_UNKNOWN)
    rows = [
        [each.name, each.phase, str(each.run), each.runner, str(each.failures)]
        for each in found.tasks
    ]
    _show(context, found, "task phase run runner failures", rows)


@service_app.command()
def waves(context: typer.Context) -> None:
    """List the waves that were begun, and how far they are."""
    with _inspecting(context) as inspector:
        found = inspector.waves()
    rows = [
        [
            each.name,
            str(len(each.begun)),
            str(len(each.done)),
            str(len(each.back)),
        ]
        for each in found
    ]
    _show(context, found, "wave begun done back", rows)


@service_app.command()
def vms(context: typer.Context) -> None:
    """List the platform's VMs."""
    with _inspecting(context) as inspector:
        found = inspector.vms()
    rows = [
        [each.name, each.pool, str(each.state), each.rack, each.runner]
        for each in found
    ]
    _show(context, found, "vm pool state rack runner", rows)


@service_app.command()
def explain(
    context: typer.Context, subject: str, logs: list[pathlib.Path]
) -> None:
    """Print the decisions about a job, VM, runner, wave or node, in order.

    They are read from files with the nodes' standard output.
    """
    found = sorted(
        (line for path in logs for line in _lines_about(path, subject)),
        key=lambda line: line.get("timestamp", 0.0),
    )
    if not found:
        typer.echo(f"{subject}: no line names it", err=True)
        raise typer.Exit(_cli_output.EXIT_UNKNOWN)
    rows = [
        [
            f"{line.get('timestamp', 0.0):.3f}",
            str(line.get("message_type", "")),
            _details(line),
        ]
        for line in found
    ]
    _show(context, found, "time decision inputs", rows)


def _lines_about(
    path: pathlib.Path, subject: str
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    try:
        text = path.read_text(errors="replace")
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
        raise typer.Exit(_cli_output.EXIT_USAGE) from error
    for line in text.splitlines():
        # Other programs may write to the same file.
        with contextlib.suppress(ValueError):
            fields = json.loads(line)
            if isinstance(fields, dict) and subject in (
                fields.get(name) for name in _SUBJECT_FIELDS
            ):
                yield fields


def _details(line: dict[str, typing.Any]) -> str:
    kept = {k: v for k, v in line.items() if k not in _PLUMBING}
    return ", ".join(f"{name} {value}" for name, value in kept.items())
